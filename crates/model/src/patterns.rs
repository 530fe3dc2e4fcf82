//! The load patterns that the decisions answer.

use crate::pattern::{CallerGroup, Comeback, Fault, LoadPattern, OrganisationCap, Surge};

const URGENT: CallerGroup = CallerGroup {
    name: "urgent",
    organisation: "dealers",
    urgency: 0,
    per_second: 12.0,
    surge: None,
    own_tokens: 600,
    shared_tokens: 2_400,
    subjects: 40,
    output_tokens: 40,
    target_ms: 400,
    patience_ms: 4_000,
    comeback: Comeback::WhenTold,
};
const STANDARD: CallerGroup = CallerGroup {
    name: "standard",
    organisation: "chain",
    urgency: 1,
    per_second: 12.0,
    target_ms: 800,
    patience_ms: 6_000,
    ..URGENT
};
const DEFERRABLE: CallerGroup = CallerGroup {
    name: "deferrable",
    organisation: "night-work",
    urgency: 2,
    per_second: 6.0,
    target_ms: 3_000,
    patience_ms: 12_000,
    ..URGENT
};
const FLOOD_MS: (u64, u64) = (4_000, 12_000);

fn surge(group: &CallerGroup, times: f64) -> CallerGroup {
    let surge = Surge { from_ms: FLOOD_MS.0, until_ms: FLOOD_MS.1, times };
    CallerGroup { surge: Some(surge), ..group.clone() }
}

fn pattern(name: &'static str, groups: Vec<CallerGroup>) -> LoadPattern {
    LoadPattern {
        name,
        zones: 4,
        relays: 8,
        engines: 8,
        length_ms: 16_000,
        groups,
        caps: Vec::new(),
        faults: Vec::new(),
    }
}

/// All patterns.
pub fn list_patterns() -> Vec<LoadPattern> {
    let calm = vec![URGENT, STANDARD, DEFERRABLE];
    let urgent_flood = vec![surge(&URGENT, 30.0), STANDARD, DEFERRABLE];
    let wave = Fault::EnginesLost { at_ms: 6_000, count: 3 };
    vec![
        pattern("calm", calm.clone()),
        pattern("deferrable-flood", vec![URGENT, STANDARD, surge(&DEFERRABLE, 60.0)]),
        pattern("urgent-flood", urgent_flood.clone()),
        pattern("hot-prefix", hot_prefix()),
        LoadPattern {
            caps: vec![OrganisationCap { organisation: "chain", per_second: 60_000.0 }],
            ..pattern("hot-organisation", vec![URGENT, surge(&STANDARD, 10.0), DEFERRABLE])
        },
        pattern(
            "retry-at-once",
            vec![
                CallerGroup { comeback: Comeback::AtOnce, ..surge(&DEFERRABLE, 60.0) },
                URGENT,
                STANDARD,
            ],
        ),
        LoadPattern { faults: vec![wave], ..pattern("wave-in-flood", urgent_flood.clone()) },
        LoadPattern {
            faults: vec![Fault::ZoneCut { zone: 1, from_ms: 5_000, until_ms: 9_000 }],
            ..pattern("zone-cut", calm.clone())
        },
        LoadPattern {
            faults: vec![Fault::StoreOut { from_ms: 5_000, until_ms: 10_000 }, wave],
            ..pattern("store-outage-in-flood", urgent_flood)
        },
    ]
}

/// One subject gets most of the requests.
fn hot_prefix() -> Vec<CallerGroup> {
    let hot =
        CallerGroup { name: "hot", subjects: 1, shared_tokens: 6_000, ..surge(&STANDARD, 8.0) };
    vec![URGENT, hot, DEFERRABLE]
}

/// The pattern of this name.
pub fn find_pattern(name: &str) -> Option<LoadPattern> {
    list_patterns().into_iter().find(|pattern| pattern.name == name)
}

//! The predefined load patterns.

use crate::pattern::{CallerGroup, Fault, LoadPattern, OrganisationCap, RetryBehaviour, Surge};

const URGENT: CallerGroup = CallerGroup {
    name: "urgent",
    organisation: "dealers",
    urgency: 0,
    requests_per_second: 12.0,
    surge: None,
    own_tokens: 600,
    shared_tokens: 2_400,
    shared_prefixes: 40,
    output_tokens: 40,
    target_ms: 400,
    patience_ms: 4_000,
    retry_behaviour: RetryBehaviour::AfterDelay,
};
const STANDARD: CallerGroup = CallerGroup {
    name: "standard",
    organisation: "chain",
    urgency: 1,
    requests_per_second: 12.0,
    target_ms: 800,
    patience_ms: 6_000,
    ..URGENT
};
const DEFERRABLE: CallerGroup = CallerGroup {
    name: "deferrable",
    organisation: "night-work",
    urgency: 2,
    requests_per_second: 6.0,
    target_ms: 3_000,
    patience_ms: 12_000,
    ..URGENT
};
const SURGE_PERIOD_MS: (u64, u64) = (4_000, 12_000);

fn surge(group: &CallerGroup, rate_factor: f64) -> CallerGroup {
    let surge = Surge { from_ms: SURGE_PERIOD_MS.0, until_ms: SURGE_PERIOD_MS.1, rate_factor };
    CallerGroup { surge: Some(surge), ..group.clone() }
}

fn pattern(name: &'static str, groups: Vec<CallerGroup>) -> LoadPattern {
    LoadPattern {
        name,
        zones: 4,
        relays: 8,
        earlier_relays: 0,
        engines: 8,
        duration_ms: 16_000,
        groups,
        caps: Vec::new(),
        faults: Vec::new(),
    }
}

/// Lists all predefined load patterns.
pub fn list_patterns() -> Vec<LoadPattern> {
    let steady = vec![URGENT, STANDARD, DEFERRABLE];
    let urgent_surge = vec![surge(&URGENT, 30.0), STANDARD, DEFERRABLE];
    let engine_crash = Fault::EngineCrash { at_ms: 6_000, count: 3 };
    vec![
        pattern("calm", steady.clone()),
        pattern("deferrable-flood", vec![URGENT, STANDARD, surge(&DEFERRABLE, 60.0)]),
        pattern("urgent-flood", urgent_surge.clone()),
        pattern("hot-prefix", hot_prefix()),
        LoadPattern {
            caps: vec![OrganisationCap { organisation: "chain", tokens_per_second: 60_000.0 }],
            ..pattern("hot-organisation", vec![URGENT, surge(&STANDARD, 10.0), DEFERRABLE])
        },
        pattern(
            "retry-at-once",
            vec![
                CallerGroup {
                    retry_behaviour: RetryBehaviour::Immediate,
                    ..surge(&DEFERRABLE, 60.0)
                },
                URGENT,
                STANDARD,
            ],
        ),
        LoadPattern {
            faults: vec![engine_crash],
            ..pattern("wave-in-flood", urgent_surge.clone())
        },
        LoadPattern {
            faults: vec![Fault::ZonePartition { zone: 1, from_ms: 5_000, until_ms: 9_000 }],
            ..pattern("zone-cut", steady.clone())
        },
        LoadPattern {
            faults: vec![Fault::StoreOutage { from_ms: 5_000, until_ms: 10_000 }, engine_crash],
            ..pattern("store-outage-in-flood", urgent_surge)
        },
        overload(60),
    ]
}

/// Most requests share a single prompt prefix.
fn hot_prefix() -> Vec<CallerGroup> {
    let hot = CallerGroup {
        name: "hot",
        shared_prefixes: 1,
        shared_tokens: 6_000,
        ..surge(&STANDARD, 8.0)
    };
    vec![URGENT, hot, DEFERRABLE]
}

/// Time of the surge of long requests in [`overload`].
const OVERLOAD_MS: (u64, u64) = (4_000, 8_000);
/// Engines of [`overload`].
const OVERLOAD_ENGINES: usize = 60;

/// Long requests of several organisations and sizes come at 2.3 times their rate for 4 s, while half of the
/// engines are taken away; short requests of the most urgent rank and small ones of the next go on beside. At
/// the usual rate, half of the engines suffice.
pub fn overload(relays: usize) -> LoadPattern {
    let zones = if relays < 8 { 2 } else { 4 };
    let (from_ms, until_ms) = OVERLOAD_MS;
    let question = CallerGroup {
        name: "question",
        requests_per_second: 64.0,
        own_tokens: 600,
        shared_tokens: 200,
        output_tokens: 100,
        patience_ms: 3_200,
        retry_behaviour: RetryBehaviour::OnceAfterDelay,
        ..URGENT
    };
    let label = CallerGroup {
        name: "label",
        organisation: "chain",
        urgency: 1,
        requests_per_second: 72.0,
        own_tokens: 1_200,
        shared_tokens: 600,
        output_tokens: 8,
        patience_ms: 2_500,
        retry_behaviour: RetryBehaviour::OnceAfterDelay,
        ..URGENT
    };
    let surge = Surge { from_ms, until_ms, rate_factor: 2.3 };
    let review = CallerGroup {
        name: "review",
        urgency: 2,
        requests_per_second: 60.0,
        surge: Some(surge),
        own_tokens: 2_400,
        shared_tokens: 3_600,
        output_tokens: 140,
        target_ms: 1_200,
        patience_ms: 4_800,
        retry_behaviour: RetryBehaviour::OnceAfterDelay,
        ..URGENT
    };
    let review_of = |name, organisation, requests_per_second| CallerGroup {
        name,
        organisation,
        requests_per_second,
        ..review.clone()
    };
    let large = CallerGroup {
        own_tokens: 9_000,
        output_tokens: 320,
        ..review_of("large-review", "dealers", 6.0)
    };
    let small = CallerGroup {
        own_tokens: 500,
        shared_tokens: 600,
        output_tokens: 50,
        ..review_of("small-review", "chain", 18.0)
    };
    let groups = vec![
        question,
        label,
        review_of("review", "dealers", 60.0),
        review_of("review-few", "night-work", 6.0),
        review_of("review-some", "chain", 24.0),
        small,
        large,
    ];
    LoadPattern {
        zones,
        relays,
        engines: OVERLOAD_ENGINES,
        duration_ms: 14_000,
        faults: vec![Fault::EngineReclaim {
            from_ms: from_ms - 500,
            until_ms: 12_000,
            count: OVERLOAD_ENGINES / 2,
        }],
        ..pattern("overload", groups)
    }
}

/// Finds a load pattern by its name; `None` for an unknown name.
pub fn find_pattern(name: &str) -> Option<LoadPattern> {
    list_patterns().into_iter().find(|pattern| pattern.name == name)
}

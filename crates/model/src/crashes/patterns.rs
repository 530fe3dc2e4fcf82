//! The predefined patterns of crashing parts.

use super::pattern::{CrashPattern, CrashingPart, Trouble, TroubleStart};

const STEADY: CrashingPart =
    CrashingPart { requests_per_s: 3.0, crashes_from_ms: 0, is_followed: false, is_request: false };
const REQUEST: CrashingPart = CrashingPart { is_request: true, ..STEADY };
const FREQUENT: CrashingPart = CrashingPart { requests_per_s: 30.0, ..STEADY };

fn pattern(name: &'static str, crashing_parts: &[CrashingPart]) -> CrashPattern {
    CrashPattern {
        name,
        instances: 6,
        engines: 4,
        duration_ms: 22_000,
        requests_per_engine_s: 8.0,
        popular_share: 0.0,
        poll_share: 0.0,
        crashing_parts: crashing_parts.to_vec(),
        troubles: Vec::new(),
    }
}

fn troubled(name: &'static str, parts: &[CrashingPart], trouble: Trouble) -> CrashPattern {
    CrashPattern { troubles: vec![trouble], ..pattern(name, parts) }
}

/// Lists all predefined patterns, for six instances.
pub fn list_crash_patterns() -> Vec<CrashPattern> {
    vec![rare(), steady(), frequent(), two_parts(), later(), popular_beside(), followed()]
        .into_iter()
        .chain([small_waves(), large_waves(), spread_waves(), rolling_restart()])
        .chain([faulty_engines(), connection_resets(), zone_cut(), instance_restart()])
        .chain(list_request_patterns())
        .collect()
}

/// Finds a pattern by its name; `None` for an unknown name.
pub fn find_crash_pattern(name: &str) -> Option<CrashPattern> {
    list_crash_patterns().into_iter().find(|pattern| pattern.name == name)
}

/// One request in five seconds crashes an engine: seconds pass between the ends, and each instance sees
/// one at most.
fn rare() -> CrashPattern {
    let part = CrashingPart { requests_per_s: 0.2, ..STEADY };
    CrashPattern { duration_ms: 62_000, ..pattern("rare", &[part]) }
}

/// Three requests a second crash an engine each, at any instance.
fn steady() -> CrashPattern {
    pattern("steady", &[STEADY])
}

/// Thirty requests a second crash an engine each: several are in flight when the first engine ends, and a
/// small fleet has no engine left after a moment.
fn frequent() -> CrashPattern {
    pattern("frequent", &[FREQUENT])
}

/// Two parts with the same first part before them crash engines at the same time.
fn two_parts() -> CrashPattern {
    pattern("two-parts", &[STEADY, CrashingPart { requests_per_s: 1.5, ..STEADY }])
}

/// A part that engines answer at three requests a second begins to crash them after eight seconds.
fn later() -> CrashPattern {
    pattern("later", &[CrashingPart { crashes_from_ms: 8_000, ..STEADY }])
}

/// Half of the sound requests with the first part of the crashing ones share another part, so that it is
/// in flight at most engines that end.
fn popular_beside() -> CrashPattern {
    CrashPattern { popular_share: 0.5, ..pattern("popular-beside", &[STEADY]) }
}

/// A part of sound requests follows the crashing part in its prompts, and is later in them.
fn followed() -> CrashPattern {
    pattern("followed", &[CrashingPart { is_followed: true, ..STEADY }])
}

fn waves(engine_share: f64, spread_ms: u64) -> Trouble {
    Trouble::CrashWaves { from_ms: 4_000, interval_ms: 3_000, waves: 5, engine_share, spread_ms }
}

/// Three requests a second crash an engine each, and 15% of the engines crash together five times for
/// another reason, three seconds apart.
fn small_waves() -> CrashPattern {
    troubled("small-waves", &[STEADY], waves(0.15, 5))
}

/// As the small waves, with 60% of the engines.
fn large_waves() -> CrashPattern {
    troubled("large-waves", &[STEADY], waves(0.6, 5))
}

/// As the large waves, with the crashes of each wave spread over six tenths of a second.
fn spread_waves() -> CrashPattern {
    troubled("spread-waves", &[STEADY], waves(0.6, 600))
}

/// Three requests a second crash an engine each, while each second another engine ends without notice.
fn rolling_restart() -> CrashPattern {
    let trouble = Trouble::RollingRestart { from_ms: 1_500, interval_ms: 1_000 };
    troubled("rolling-restart", &[STEADY], trouble)
}

/// Three requests a second crash an engine each, while three engines of ten break 40% of their requests
/// before their answers are well begun, but go on.
fn faulty_engines() -> CrashPattern {
    let trouble = Trouble::FaultyEngines { from_ms: 1_000, engine_share: 0.3, broken_share: 0.4 };
    troubled("faulty-engines", &[STEADY], trouble)
}

/// Three requests a second crash an engine each, while half of the connections of an instance are reset
/// each second, of another instance each time.
fn connection_resets() -> CrashPattern {
    let trouble = Trouble::ConnectionResets { from_ms: 1_000, interval_ms: 1_000 };
    troubled("connection-resets", &[STEADY], trouble)
}

/// Thirty requests a second crash an engine each; with the fifth end, a zone is cut off for five seconds.
fn zone_cut() -> CrashPattern {
    let trouble = Trouble::ZoneCut { start: TroubleStart::FifthCrash, duration_ms: 5_000 };
    troubled("zone-cut", &[FREQUENT], trouble)
}

/// Thirty requests a second crash an engine each; all instances restart at once after fifteen seconds, and
/// again four seconds later.
fn instance_restart() -> CrashPattern {
    CrashPattern {
        troubles: [15_000, 19_000].map(|at_ms| Trouble::InstanceRestart { at_ms }).to_vec(),
        ..pattern("instance-restart", &[FREQUENT])
    }
}

fn polled(name: &'static str, parts: &[CrashingPart], troubles: &[Trouble]) -> CrashPattern {
    CrashPattern { poll_share: 0.5, troubles: troubles.to_vec(), ..pattern(name, parts) }
}

/// Lists the patterns with plain requests that come again and again, one of which crashes engines. Half of
/// the sound requests are polls, which come again and again, too.
fn list_request_patterns() -> Vec<CrashPattern> {
    let rare = CrashingPart { requests_per_s: 0.3, ..REQUEST };
    let frequent = CrashingPart { requests_per_s: 30.0, ..REQUEST };
    let later = CrashingPart { crashes_from_ms: 8_000, ..REQUEST };
    let other = CrashingPart { requests_per_s: 1.5, ..REQUEST };
    let cut = Trouble::ZoneCut { start: TroubleStart::FifthCrash, duration_ms: 5_000 };
    let restarts = [9_000, 15_000].map(|at_ms| Trouble::InstanceRestart { at_ms });
    let rolling = Trouble::RollingRestart { from_ms: 1_500, interval_ms: 1_000 };
    let all_at_once = Trouble::CrashWaves {
        from_ms: 4_000,
        interval_ms: 5_000,
        waves: 2,
        engine_share: 1.0,
        spread_ms: 100,
    };
    vec![
        polled("request", &[REQUEST], &[]),
        CrashPattern { duration_ms: 42_000, ..polled("request-rare", &[rare], &[]) },
        polled("request-frequent", &[frequent], &[]),
        polled("request-later", &[later], &[]),
        polled("request-two", &[REQUEST, other], &[]),
        polled("request-beside-part", &[REQUEST, STEADY], &[]),
        polled("request-small-waves", &[REQUEST], &[waves(0.15, 5)]),
        polled("request-large-waves", &[REQUEST], &[waves(0.6, 5)]),
        polled("request-spread-waves", &[REQUEST], &[waves(0.6, 600)]),
        polled("request-all-at-once", &[REQUEST], &[all_at_once]),
        polled("request-rolling-restart", &[REQUEST], &[rolling]),
        polled("request-zone-cut", &[REQUEST], &[cut]),
        polled("request-instance-restart", &[REQUEST], &restarts),
    ]
}

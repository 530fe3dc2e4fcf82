//! Streams that callers take up again after instances were killed go on in fleets of each size.

use hickorycourse_model::{ResumptionPattern, ResumptionReport, run_resumption};
use proptest::prelude::*;

/// Least share of the streams that go on, as all new ones begin.
const LEAST_SHARE: f64 = 0.95;

/// Streams from which on a share is judged; of fewer ones, chance decides.
const LEAST_JUDGED: usize = 400;

fn check(title: &str, pattern: &ResumptionPattern, seed: u64) -> ResumptionReport {
    let report = run_resumption(pattern, seed);
    println!("{}", report.format_line(title));
    assert_eq!(report.at_other_version, 0, "{title}: {report:?}");
    report
}

// Guards against what began the streams being lost with the last instance that remembers it.
#[test]
fn run_resumption_goes_on_in_fleets_of_each_size() {
    for instances in [7, 60, 295, 1_100] {
        for (title, pattern) in ResumptionPattern::list(instances) {
            let report = check(&title, &pattern, 1);
            assert!(report.taken_up >= 12, "{title}: {report:?}");
            assert!(report.share() >= LEAST_SHARE, "{title}: {report:?}");
        }
    }
}

fn any_pattern(
    versions: impl Strategy<Value = Vec<u64>>,
) -> impl Strategy<Value = (ResumptionPattern, u64)> {
    let kill = (300_u64..900, 1_usize..8, 0_usize..8);
    let kills = proptest::collection::vec(kill, 1..6);
    let fleet = (7_usize..80, any::<bool>());
    (fleet, kills, versions, any::<u64>()).prop_map(|(fleet, kills, versions, seed)| {
        let (instances, is_past_known) = fleet;
        let kills = kills.into_iter().map(|(at, modulus, part)| {
            let killed = (0..instances).filter(|index| index % modulus == part % modulus);
            (at * 10, killed.collect())
        });
        let pattern = ResumptionPattern {
            instances,
            zones: 4,
            streams_per_s: 280.0 / instances as f64,
            kills: kills.collect(),
            versions,
            is_past_known,
        };
        (pattern, seed)
    })
}

fn check_any(pattern: &ResumptionPattern, seed: u64) -> Result<(), TestCaseError> {
    let report = check("any", pattern, seed);
    let is_judged = report.taken_up >= LEAST_JUDGED;
    prop_assert!(!is_judged || report.share() >= LEAST_SHARE, "{report:?} of {pattern:?}");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(40) })]

    // Kills of any instances at any times, with one or several versions, soon after the first start or later.
    #[test]
    fn run_resumption_of_any_kills_goes_on(
        (pattern, seed) in any_pattern((1_usize..4).prop_map(|versions| vec![0; versions])),
    ) {
        check_any(&pattern, seed)?;
    }

    // The same beside a release, which may begin just before a kill.
    #[test]
    fn run_resumption_of_any_kills_beside_release_goes_on(
        (pattern, seed) in any_pattern((0_u64..1_200).prop_map(|at| vec![0, at * 10])),
    ) {
        check_any(&pattern, seed)?;
    }
}

//! Replays claims of many instances against one issuer.

use std::collections::BTreeMap;

use hickorycourse_permits::{
    Claim, Grant, HANDOVER_MS, PermitIssuer, RateLimit, choose_issuer, claim_pause_ms,
};
use proptest::prelude::*;

const WINDOW_MS: u64 = 4_000;

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("the limit is valid")
}

fn claim(urgency: u8, organisation: u64, max_wait_ms: u64) -> Claim {
    Claim { urgency, organisation, max_wait_ms }
}

/// Plays claims with the time of each; returns the times at which the permits are valid.
fn play(per_second: f64, claims: impl Iterator<Item = (u64, Claim)>) -> Vec<(u64, Claim)> {
    let mut issuer = PermitIssuer::default();
    let mut granted = Vec::new();
    for (at_ms, claim) in claims {
        if let Grant::Granted { wait_ms } =
            issuer.claim("i-1", Some(1), limit(per_second), &claim, at_ms)
        {
            assert!(wait_ms <= claim.max_wait_ms);
            granted.push((at_ms + wait_ms, claim));
        }
    }
    granted
}

fn most_in_window(times_ms: &[u64]) -> usize {
    let in_window =
        |from: &u64| times_ms.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
    times_ms.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn claims_many_limit_kept_and_used() {
    for per_second in [0.0, 0.2, 1.0, 7.0, 50.0] {
        let claims = (0..30_000).map(|index| (index, claim(1, index % 5, 150)));
        let granted: Vec<u64> =
            play(per_second, claims).into_iter().map(|(at_ms, _)| at_ms).collect();
        let most = most_in_window(&granted) as f64;
        assert!(most <= 6.0 * per_second + 5.0, "{most} at {per_second} a second");
        let used = granted.len() as f64 / 28.5 / per_second.max(0.25);
        assert!(used >= 0.9, "{used} at {per_second} a second");
    }
}

#[test]
fn claims_urgent_go_first() {
    let claims = (0..20_000).step_by(10).map(|at_ms| (at_ms, claim((at_ms / 10 % 3) as u8, 1, 0)));
    let granted = play(2.0, claims);
    let urgent = granted.iter().filter(|(_, claim)| claim.urgency == 0).count();
    assert!(granted.len() >= 34 && urgent * 10 >= granted.len() * 9, "{urgent} of {granted:?}");
}

#[test]
fn claims_of_organisations_share_permits() {
    // The first organisation claims ten times as often as the others.
    let claims = (0..60_000).step_by(10).map(|at_ms| {
        let organisation = if at_ms % 120 < 100 { 0 } else { 1 + at_ms / 120 % 2 };
        (at_ms, claim(1, organisation, 0))
    });
    let mut granted: BTreeMap<u64, usize> = BTreeMap::new();
    for (_, claim) in play(3.0, claims) {
        *granted.entry(claim.organisation).or_default() += 1;
    }
    let all: usize = granted.values().sum();
    assert!(granted.len() == 3 && granted.values().all(|count| count * 4 >= all), "{granted:?}");
}

#[test]
fn claim_less_urgent_gets_unused_permits() {
    let claims = (0..20_000).step_by(500).map(|at_ms| (at_ms, claim(9, 1, 0)));
    assert!(play(2.0, claims).len() >= 34);
}

#[test]
fn issuer_new_waits_for_handover() {
    let claims = (0..HANDOVER_MS).map(|at_ms| (at_ms, claim(0, 1, 0)));
    assert!(play(50.0, claims).is_empty());
}

#[test]
fn issuer_again_waits_for_handover() {
    let mut issuer = PermitIssuer::default();
    let urgent = claim(0, 1, 0);
    issuer.claim("i-1", None, limit(9.0), &urgent, 0);
    let granted = issuer.claim("i-1", None, limit(9.0), &urgent, HANDOVER_MS);
    assert_eq!(granted, Grant::Granted { wait_ms: 0 });
    issuer.retain(HANDOVER_MS, |_, _| false);
    let again = issuer.claim("i-1", None, limit(9.0), &urgent, HANDOVER_MS + 10);
    assert_eq!(again, Grant::Denied { available_in_ms: HANDOVER_MS });
}

#[test]
fn limit_raised_next_permit_is_near() {
    let mut issuer = PermitIssuer::default();
    let urgent = claim(0, 1, 0);
    issuer.claim("i-1", None, limit(0.0), &urgent, 0);
    issuer.claim("i-1", None, limit(0.0), &urgent, 2_000);
    let later = issuer.claim("i-1", None, limit(20.0), &urgent, 2_100);
    assert!(matches!(later, Grant::Denied { available_in_ms } if available_in_ms <= HANDOVER_MS));
}

#[test]
fn permit_taken_back_is_granted_again() {
    let mut issuer = PermitIssuer::default();
    let urgent = claim(0, 1, 0);
    issuer.claim("i-1", None, limit(0.5), &urgent, 0);
    let grant =
        |issuer: &mut PermitIssuer, at_ms| issuer.claim("i-1", None, limit(0.5), &urgent, at_ms);
    assert_eq!(grant(&mut issuer, 1_500), Grant::Granted { wait_ms: 0 });
    assert!(matches!(grant(&mut issuer, 1_600), Grant::Denied { .. }));
    issuer.take_back("i-1", limit(0.5));
    assert_eq!(grant(&mut issuer, 1_700), Grant::Granted { wait_ms: 0 });
}

#[test]
fn issuer_choice_moves_only_upstreams_of_changed_instance() {
    let names: Vec<String> = (0..40).map(|index| format!("edge-{index}")).collect();
    let choose = |upstream: &str, count: usize| {
        choose_issuer(upstream, Some(3), names[..count].iter().map(String::as_str))
    };
    let upstreams: Vec<String> = (0..400).map(|index| format!("i-{index}")).collect();
    for upstream in &upstreams {
        let (before, after) = (choose(upstream, 39), choose(upstream, 40));
        assert!(before == after || after == Some("edge-39"));
    }
    let moved = upstreams.iter().filter(|u| choose(u, 40) == Some("edge-39")).count();
    assert!((2..=30).contains(&moved), "{moved}");
}

proptest! {
    #[test]
    fn claims_random_limit_kept(
        per_second in 0.0..40.0_f64,
        claims in prop::collection::vec((0_u64..60, 0_u8..4, 0_u64..4, 0_u64..900), 1..1_500),
    ) {
        let mut at_ms = 0;
        let claims = claims.into_iter().map(|(pause_ms, urgency, organisation, max_wait_ms)| {
            at_ms += pause_ms;
            (at_ms, claim(urgency, organisation, max_wait_ms))
        });
        let granted: Vec<u64> =
            play(per_second, claims).into_iter().map(|(valid_at_ms, _)| valid_at_ms).collect();
        prop_assert!(most_in_window(&granted) as f64 <= 6.0 * per_second + 5.0);
    }
}

#[test]
fn claim_pause_bounds_claims_of_large_fleet() {
    // 300 instances, at most four claims for each of 10 permits a second.
    assert!(claim_pause_ms(limit(10.0), 300, 150, 150) >= 1_000);
    assert!(claim_pause_ms(limit(50.0), 6, 150, 150) <= 100);
    // A permit that is far away is not claimed before it can be waited for.
    assert_eq!(claim_pause_ms(limit(50.0), 6, 5_000, 150), 4_850);
}

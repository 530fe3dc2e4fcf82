//! Services that paths have led to, also where all instances are killed beside moves of routes.

use std::collections::BTreeSet;

use hickorycourse_origins::{
    LISTING_RETENTION_MS, ListedVersions, PresentRoute, RouteTargets, VersionRecord, make_prefix,
};
use proptest::prelude::*;

const HOST: &str = "desk.example";
const PATH: &str = "/draft/1/a";
const LASTS_MS: u64 = 25_000;
const WALL_MS: u64 = 1_700_000_000_000;

type Routes<'a> = &'a [(&'a str, &'a str)];

const DESK: Routes<'_> = &[("/draft/", "desk")];
const FILES: Routes<'_> = &[("/draft/", "files")];
const SPLIT: Routes<'_> = &[("/draft/", "desk"), ("/draft/", "files")];
const LONGER: Routes<'_> = &[("/draft/", "desk"), ("/draft/1/", "files")];
const OTHER: Routes<'_> = &[("/draft/", "desk"), ("/look/", "files")];

fn observe(targets: &mut RouteTargets, routes: Routes<'_>, now_ms: u64) {
    observe_open(targets, routes, &[], now_ms);
}

/// Observes routes of which those with the prefixes `open` are open.
fn observe_open(targets: &mut RouteTargets, routes: Routes<'_>, open: &[&str], now_ms: u64) {
    let routes = routes.iter().map(|(prefix, service)| PresentRoute {
        prefix: make_prefix(HOST, prefix),
        service,
        is_open: open.contains(prefix),
    });
    targets.observe(routes, now_ms);
    targets.expire(now_ms);
}

fn sole(targets: &RouteTargets, now_ms: u64) -> Option<&str> {
    targets.sole_since(HOST, PATH, now_ms as i64 - LASTS_MS as i64)
}

/// Targets as an instance knows them that has lived for long, and observes these routes now.
fn lived(routes: Routes<'_>) -> RouteTargets {
    let mut targets = RouteTargets::default();
    targets.record_first_start(0);
    observe(&mut targets, routes, 0);
    observe(&mut targets, routes, 100_000);
    targets
}

/// Targets as an instance knows them that starts `down_ms` after `lived` has written its record, and reads these routes
/// before or after the record.
fn start_after(
    lived: &RouteTargets,
    down_ms: u64,
    routes: Routes<'_>,
    has_routes_first: bool,
) -> RouteTargets {
    let record = lived.make_record(100_000).expect("the routes are known");
    let mut started = RouteTargets::default();
    if has_routes_first {
        observe(&mut started, routes, 50);
    }
    started.merge(&record, down_ms as i64, 50);
    observe(&mut started, routes, 100);
    started
}

#[test]
fn sole_since_unmoved_route_is_known() {
    assert_eq!(sole(&lived(DESK), 100_000), Some("desk"));
    assert_eq!(sole(&lived(LONGER), 100_000), Some("files"));
    assert_eq!(sole(&lived(SPLIT), 100_000), None);
    assert_eq!(lived(DESK).sole_since("DESK.example:80", PATH, 90_000), Some("desk"));
    assert_eq!(lived(DESK).sole_since("other.example", PATH, 90_000), None);
    assert_eq!(lived(DESK).sole_since(HOST, "/look/a", 90_000), None);
}

// Guards against the present service of a route being taken for that of streams that began before it moved.
#[test]
fn sole_since_move_has_no_sole_service() {
    for (before, after, service) in [
        (DESK, FILES, "files"),
        (SPLIT, DESK, "desk"),
        (DESK, LONGER, "files"),
        (LONGER, DESK, "desk"),
    ] {
        let mut targets = lived(before);
        observe(&mut targets, after, 100_000);
        assert_eq!(sole(&targets, 100_000 + LASTS_MS), None, "{before:?} to {after:?}");
        observe(&mut targets, after, 100_001 + LASTS_MS);
        assert_eq!(sole(&targets, 100_001 + LASTS_MS), Some(service), "{before:?} to {after:?}");
    }
    let mut targets = lived(DESK);
    observe(&mut targets, OTHER, 100_000);
    assert_eq!(sole(&targets, 100_000), Some("desk"), "another path is routed");
}

// Guards against a route that is taken to have been there for ever by an instance that has started lately.
#[test]
fn sole_since_unknown_past_has_no_sole_service() {
    let mut targets = RouteTargets::default();
    assert_eq!(sole(&targets, 100_000), None);
    assert_eq!(targets.make_record(0), None);
    observe(&mut targets, DESK, 100);
    assert_eq!(sole(&targets, 100), None);
    assert_eq!(sole(&targets, 99 + LASTS_MS), None);
    assert_eq!(sole(&targets, 100 + LASTS_MS), Some("desk"));
}

// Guards against streams that are refused after a kill of all instances although no route has moved.
#[test]
fn merge_after_restart_of_all_knows_sole_service() {
    for has_routes_first in [false, true] {
        for routes in [DESK, OTHER] {
            let started = start_after(&lived(DESK), 700, routes, has_routes_first);
            assert_eq!(sole(&started, 100), Some("desk"), "{routes:?}");
        }
    }
}

// Guards against a move that instances which start can't see, as all others have been killed.
#[test]
fn merge_after_move_beside_restart_of_all_knows_no_sole_service() {
    for has_routes_first in [false, true] {
        for (before, after) in [(DESK, FILES), (SPLIT, DESK), (DESK, LONGER), (LONGER, DESK)] {
            let down = start_after(&lived(before), 700, after, has_routes_first);
            assert_eq!(sole(&down, 100), None, "while down: {before:?} to {after:?}");
            let mut seen = lived(before);
            observe(&mut seen, after, 100_000);
            let started = start_after(&seen, 700, after, has_routes_first);
            assert_eq!(sole(&started, 100), None, "before: {before:?} to {after:?}");
        }
    }
}

// Guards against origins that are not written although the paths of their streams don't tell the service.
#[test]
fn shared_since_services_of_one_path_are_known() {
    let shared = |targets: &RouteTargets, since_ms: i64| -> Vec<String> {
        targets.shared_since(since_ms).into_iter().map(str::to_owned).collect()
    };
    for routes in [DESK, FILES, LONGER, OTHER] {
        assert!(shared(&lived(routes), 90_000).is_empty(), "{routes:?}");
    }
    assert_eq!(shared(&lived(SPLIT), 90_000), ["desk", "files"]);
    for (before, after) in [(DESK, FILES), (SPLIT, DESK), (DESK, LONGER), (LONGER, DESK)] {
        let mut targets = lived(before);
        observe(&mut targets, after, 100_000);
        observe(&mut targets, after, 130_000);
        assert_eq!(shared(&targets, 100_000), ["desk", "files"], "{before:?} to {after:?}");
        assert!(shared(&targets, 100_001).is_empty(), "{before:?} to {after:?}");
    }
    let mut targets = lived(DESK);
    observe(&mut targets, OTHER, 100_000);
    assert_eq!(shared(&targets, 90_000), ["files"], "a new route may have begun none");
}

// Guards against a service that a route has led to only while the log had a gap being taken for one that it never led to.
#[test]
fn record_gap_knows_sole_service_once_another_instance_tells() {
    let mut targets = lived(DESK);
    targets.record_gap(130_000);
    observe(&mut targets, DESK, 130_000);
    assert_eq!(sole(&targets, 130_000), None);
    assert_eq!(targets.sole_since(HOST, PATH, 130_000), Some("desk"));
    let mut other = lived(FILES);
    observe(&mut other, DESK, 129_000);
    let moved = other.make_record(130_000).expect("the routes are known");
    let unmoved = lived(DESK).make_record(130_000).expect("the routes are known");
    for (record, service) in [(moved, None), (unmoved, Some("desk"))] {
        let mut told = targets.clone();
        told.merge(&record, 0, 130_000);
        observe(&mut told, DESK, 130_000);
        assert_eq!(sole(&told, 130_000), service);
    }
}

// Guards against the absence of what an earlier build does not write being taken for proof that nothing has moved.
#[test]
fn version_record_of_earlier_build_has_no_routes() {
    let mut listed = ListedVersions::default();
    listed.record("desk", Some("v1"), 100);
    let earlier = listed.make_record(WALL_MS, 0, 100);
    let text = serde_json::to_string(&earlier).expect("a record is JSON");
    assert!(!text.contains("routes"));
    let read: VersionRecord = serde_json::from_str(&text).expect("a record");
    assert_eq!(read.routes, None);
    let routes = |targets: &RouteTargets| VersionRecord {
        routes: targets.make_record(100_000),
        ..earlier.clone()
    };
    let known = routes(&lived(DESK));
    let text = serde_json::to_string(&known).expect("a record is JSON");
    assert_eq!(serde_json::from_str::<VersionRecord>(&text).expect("a record"), known);
    assert!(read.is_outdated_by(&known));
    assert!(!known.is_outdated_by(&known));
    assert!(!known.is_outdated_by(&read));
    for moved in [FILES, SPLIT, LONGER] {
        assert!(known.is_outdated_by(&routes(&lived(moved))), "{moved:?}");
    }
}

// Guards against a former service that is forgotten while instances that are cut off from the store can begin streams
// there, and against windows that are never known.
#[test]
fn sole_since_retention_is_known_after_first_start_and_restarts() {
    let since_ms = |now_ms: u64| now_ms as i64 - LISTING_RETENTION_MS;
    let mut targets = lived(DESK);
    assert_eq!(targets.sole_since(HOST, PATH, since_ms(100_000)), Some("desk"));
    for _ in 0..20 {
        targets = start_after(&targets, 700, DESK, true);
        assert_eq!(targets.sole_since(HOST, PATH, since_ms(100)), Some("desk"));
        observe(&mut targets, DESK, 100_000);
    }
    let gone_at_ms = 100_000 + LISTING_RETENTION_MS as u64;
    observe(&mut targets, FILES, gone_at_ms);
    assert_eq!(targets.sole_since(HOST, PATH, since_ms(gone_at_ms)), None);
    observe(&mut targets, FILES, gone_at_ms + 1);
    assert_eq!(targets.sole_since(HOST, PATH, since_ms(gone_at_ms + 1)), Some("files"));
}

fn open_services(targets: &RouteTargets, since_ms: i64) -> Vec<&str> {
    targets.open_since(since_ms).into_iter().collect()
}

// Guards against streams of instances that are cut off from the store being overlooked: they begin by a former route that
// was open, or shorter, also where the present one is not.
#[test]
fn is_open_since_former_route_is_known() {
    let is_open =
        |targets: &RouteTargets, since_ms: i64| targets.is_open_since(HOST, PATH, since_ms);
    let mut targets = RouteTargets::default();
    observe_open(&mut targets, DESK, &["/draft/"], 100);
    observe(&mut targets, DESK, 200);
    assert!(is_open(&targets, 100) && !is_open(&targets, 101));
    assert_eq!(open_services(&targets, 100), ["desk"]);
    assert!(open_services(&targets, 101).is_empty());
    let mut targets = RouteTargets::default();
    observe_open(&mut targets, DESK, &["/draft/"], 100);
    observe_open(&mut targets, LONGER, &["/draft/"], 200);
    assert!(is_open(&targets, 200), "the longer route has come at 200");
    assert_eq!(open_services(&targets, 200), ["desk", "files"]);
    observe_open(&mut targets, LONGER, &["/draft/"], 300);
    assert!(!is_open(&targets, 201), "the open route no longer applies");
    assert_eq!(open_services(&targets, 201), ["desk"]);
    assert!(!targets.is_open_since("other.example", PATH, 0));
    observe(&mut targets, DESK, 300 + LISTING_RETENTION_MS as u64);
    assert!(targets.is_open_since(HOST, "/draft/2", 300));
    observe(&mut targets, DESK, 301 + LISTING_RETENTION_MS as u64);
    assert!(!targets.is_open_since(HOST, "/draft/2", 300), "it is forgotten");
}

// Guards against the windows of open routes at services that have none.
#[test]
fn open_since_routes_that_need_keys_are_not_open() {
    for routes in [DESK, FILES, SPLIT, LONGER, OTHER] {
        assert!(open_services(&lived(routes), 0).is_empty(), "{routes:?}");
        assert!(!lived(routes).is_open_since(HOST, PATH, 0), "{routes:?}");
    }
    let mut targets = RouteTargets::default();
    observe_open(&mut targets, OTHER, &["/look/"], 100);
    assert_eq!(open_services(&targets, 100), ["files"]);
    assert!(!targets.is_open_since(HOST, PATH, 0));
}

// Guards against open routes that are forgotten as all instances are killed.
#[test]
fn merge_open_route_is_known() {
    let mut lived = RouteTargets::default();
    observe_open(&mut lived, DESK, &["/draft/"], 50_000);
    let known = lived.make_record(50_000).expect("the routes are known");
    for has_routes_first in [false, true] {
        let started = start_after(&lived, 700, DESK, has_routes_first);
        // It went 50 s before the record and 0.7 s before the start, but for the allowance for clocks.
        assert!(started.is_open_since(HOST, PATH, 50 - 40_700), "{has_routes_first}");
        assert!(!started.is_open_since(HOST, PATH, 51 - 40_700), "{has_routes_first}");
    }
    observe(&mut lived, DESK, 50_001);
    let closed = lived.make_record(50_001).expect("the routes are known");
    let record = |routes| VersionRecord { routes: Some(routes), ..VersionRecord::default() };
    assert!(record(known).is_outdated_by(&record(closed)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    // Load pattern: an instance that is cut off begins streams by any former configuration; where one of them is open for the
    // path, the path is, and all services that it may have led to are.
    #[test]
    fn is_open_since_random_moves_is_complete(
        steps in proptest::collection::vec((0..CONFIGURATIONS.len(), 1_u64..20_000, any::<[bool; 3]>()), 1..12),
    ) {
        let prefixes = ["/draft/", "/draft/1/", "/look/"];
        let (mut now_ms, mut targets) = (0, RouteTargets::default());
        let mut possible = BTreeSet::new();
        let mut is_open = false;
        for (configuration, pause_ms, open) in steps {
            let open: Vec<&str> =
                prefixes.iter().zip(open).filter(|(_, open)| *open).map(|(prefix, _)| *prefix).collect();
            let routes = CONFIGURATIONS[configuration];
            observe_open(&mut targets, routes, &open, now_ms);
            let longest = routes.iter().filter(|(prefix, _)| PATH.starts_with(prefix));
            let longest = longest.map(|(prefix, _)| *prefix).max().expect("a route");
            is_open |= open.contains(&longest);
            possible.extend(services(routes));
            now_ms += pause_ms;
            observe_open(&mut targets, routes, &open, now_ms);
            prop_assert!(!is_open || targets.is_open_since(HOST, PATH, 0));
            prop_assert!(!is_open || possible.is_subset(&targets.open_since(0)));
        }
    }
}

#[test]
fn expire_removed_route_is_forgotten() {
    let mut targets = lived(LONGER);
    observe(&mut targets, DESK, 100_001);
    observe(&mut targets, DESK, 500_000);
    let record = targets.make_record(500_000).expect("the routes are known");
    assert_eq!(record.prefixes.len(), 1);
    assert_eq!(record.prefixes[&make_prefix(HOST, "/draft/")].len(), 1);
}

const CONFIGURATIONS: [Routes<'_>; 5] = [DESK, FILES, SPLIT, LONGER, OTHER];

fn services(routes: Routes<'_>) -> Vec<&'static str> {
    let all = ["desk", "files"];
    let longest = routes.iter().filter(|(prefix, _)| PATH.starts_with(prefix));
    let longest = longest.map(|(prefix, _)| prefix.len()).max();
    let is_target = |service: &&str| {
        routes.iter().any(|(prefix, target)| {
            PATH.starts_with(prefix) && Some(prefix.len()) == longest && target == service
        })
    };
    all.into_iter().filter(is_target).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    // Load pattern: all instances are killed again and again beside moves of routes; whatever a stream that is taken up
    // can have begun at is the service that is believed, or none is.
    #[test]
    fn sole_since_random_moves_and_kills_is_never_wrong(
        steps in proptest::collection::vec((0..CONFIGURATIONS.len(), 1_u64..20_000, any::<bool>()), 1..12),
        has_routes_first in any::<bool>(),
    ) {
        // Times of the fleet, and those at which the routes came into force.
        let (mut now_ms, mut boot_ms) = (0, 0);
        let mut in_force = vec![(0, 0)];
        let mut targets = RouteTargets::default();
        targets.record_first_start(0);
        observe(&mut targets, CONFIGURATIONS[0], 0);
        for (configuration, pause_ms, is_kill) in steps {
            let former = in_force[in_force.len() - 1].1;
            now_ms += pause_ms;
            observe(&mut targets, CONFIGURATIONS[former], now_ms - boot_ms);
            if is_kill {
                // The change comes while all are down.
                let record = targets.make_record(now_ms - boot_ms).expect("the routes are known");
                now_ms += 500;
                boot_ms = now_ms;
                targets = RouteTargets::default();
                if has_routes_first {
                    observe(&mut targets, CONFIGURATIONS[configuration], 0);
                }
                targets.merge(&record, 500, 0);
            }
            in_force.push((now_ms, configuration));
            observe(&mut targets, CONFIGURATIONS[configuration], now_ms - boot_ms);
            let since_ms = now_ms.saturating_sub(LASTS_MS);
            let ends = in_force.iter().skip(1).map(|(at_ms, _)| *at_ms).chain([u64::MAX]);
            let lately = in_force.iter().zip(ends).filter(|(_, end_ms)| *end_ms >= since_ms);
            let mut possible: Vec<&str> =
                lately.flat_map(|((_, index), _)| services(CONFIGURATIONS[*index])).collect();
            possible.sort_unstable();
            possible.dedup();
            let believed = sole(&targets, now_ms - boot_ms);
            prop_assert!(
                believed.is_none() || possible == [believed.unwrap_or_default()],
                "{believed:?} of {possible:?}"
            );
        }
    }
}

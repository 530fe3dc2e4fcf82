//! Route lookup, API keys and the active document.

use std::collections::BTreeMap;

use hickorycourse_routes::{
    Access, ActiveDocument, ApplyOutcome, Organisation, RetrySemantics, Route, RouteDocument,
    RouteTable, RouteTarget,
};
use proptest::prelude::*;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        repeat: RetrySemantics::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        urgency: 1,
        targets: vec![
            RouteTarget { service: "old".to_owned(), weight: 90 },
            RouteTarget { service: "new".to_owned(), weight: 10 },
        ],
        attempt_limit: 2,
        is_public: false,
        has_prompt_parts: false,
        pause_target_ms: None,
    }
}

fn document(version: u64) -> RouteDocument {
    let organisation = Organisation {
        name: "dealer".to_owned(),
        keys: vec!["key".to_owned()],
        ..Organisation::default()
    };
    RouteDocument {
        version,
        routes: vec![route("all", "/a/"), route("part", "/a/b/")],
        services: BTreeMap::new(),
        organisations: Some(vec![organisation]),
        ..RouteDocument::default()
    }
}

#[test]
fn find_route_returns_longest_prefix() {
    let table = RouteTable::new(document(1));
    let name = |host: &str, path: &str| table.find_route(host, path).map(|route| &*route.name);
    assert_eq!(name("desk.example", "/a/b/c"), Some("part"));
    assert_eq!(name("Desk.Example:80", "/a/c"), Some("all"));
    assert_eq!(name("desk.example", "/a/b"), Some("all"));
    assert_eq!(name("desk.example", "/ab/"), None);
    assert_eq!(name("other.example", "/a/"), None);
}

#[test]
fn patience_ms_depends_on_retry_semantics() {
    assert_eq!(
        route("look", "/a/").patience_ms(),
        1_000,
        "callers wait for a complete response until the deadline"
    );
    let stream = |target_ms: u64, pause_target_ms: Option<u64>| Route {
        repeat: RetrySemantics::Stream,
        target_ms,
        pause_target_ms,
        ..route("chat", "/a/")
    };
    assert_eq!(stream(100, None).patience_ms(), 2_000);
    assert_eq!(stream(800, Some(100)).patience_ms(), 3_200);
    assert_eq!(stream(100, Some(500)).patience_ms(), 4_000);
}

#[test]
fn check_access_requires_known_key_unless_public() {
    let table = RouteTable::new(document(1));
    let closed = route("all", "/a/");
    let open = Route { is_public: true, ..closed.clone() };
    assert!(
        matches!(table.check_access(&closed, Some("key")), Access::Organisation(o) if o.name == "dealer")
    );
    assert_eq!(table.check_access(&closed, Some("other")), Access::Denied);
    assert_eq!(table.check_access(&closed, None), Access::Denied);
    assert_eq!(table.check_access(&open, None), Access::Open);
}

#[test]
fn apply_older_version_is_ignored() {
    let mut active = ActiveDocument::default();
    assert_eq!(active.apply(document(7)), ApplyOutcome::Applied);
    assert_eq!(active.apply(document(5)), ApplyOutcome::NotNewer);
    assert_eq!(active.apply(document(7)), ApplyOutcome::NotNewer);
    assert_eq!(active.version(), Some(7));
}

#[test]
fn attest_freshness_of_other_version_is_ignored() {
    let mut active = ActiveDocument::default();
    active.apply(document(7));
    active.attest_freshness(6, 900);
    assert_eq!(active.staleness_bound_ms(1_000), None);
    active.attest_freshness(7, 900);
    active.attest_freshness(7, 800);
    assert_eq!(active.staleness_bound_ms(1_000), Some(100));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    #[test]
    fn choose_service_for_same_request_is_stable(id in "[0-9a-f]{16}") {
        let route = route("all", "/a/");
        let chosen = RouteTable::choose_service(&route, &id);
        prop_assert!(chosen.is_some());
        prop_assert_eq!(chosen, RouteTable::choose_service(&route, &id));
    }
}

#[test]
fn choose_service_follows_weights() {
    let route = route("all", "/a/");
    let ids = (0..10_000).map(|number| format!("{number:016x}"));
    let new = ids.filter(|id| RouteTable::choose_service(&route, id) == Some("new")).count();
    assert!((900..1_100).contains(&new), "{new} of 10000");
}

#[test]
fn attest_by_store_of_older_version_is_ignored() {
    let mut active = ActiveDocument::default();
    active.apply(document(7));
    active.record_stored_version(Some(5));
    active.attest_by_store(900);
    assert_eq!(active.staleness_bound_ms(1_000), None);
    active.record_stored_version(Some(7));
    active.attest_by_store(900);
    assert_eq!(active.staleness_bound_ms(1_000), Some(100));
}

// A version that was acknowledged and lost before this instance read it may still be missing.
#[test]
fn attest_by_store_after_restore_waits_for_rewritten_versions() {
    let mut active = ActiveDocument::default();
    active.apply(document(7));
    active.record_stored_version(Some(7));
    active.attest_by_store(900);
    active.record_restore(3_000);
    active.record_stored_version(Some(7));
    active.attest_by_store(2_000);
    assert_eq!(active.staleness_bound_ms(2_000), Some(1_100));
    active.attest_by_store(3_000);
    assert_eq!(active.staleness_bound_ms(3_000), Some(0));
    active.record_restore(6_000);
    active.apply(document(8));
    active.record_stored_version(Some(8));
    active.attest_by_store(4_000);
    assert_eq!(active.staleness_bound_ms(4_000), Some(0));
}

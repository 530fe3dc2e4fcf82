//! An accepted settings change is in force on all entries within a bounded time and never reverts.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::{DEALER_KEY, poll_until};
use hickorycourse_testkit::prelude::*;

const DEALERS: &str = "organisation/dealers";
/// The documented bound for a change to be in force on all entries.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

fn dealers_with_share(share: u64) -> Value {
    let mut value = Fleet::build_organisation_settings("dealers", "dealer-1", DEALER_KEY);
    value["policy"] = json!({ "share": share });
    value
}

fn wait_in_force(fleet: &Fleet, revision: u64) -> Duration {
    let started = Instant::now();
    let entries: Vec<usize> = (0..fleet.entries.len()).collect();
    poll_until("the change to be in force", || {
        entries.iter().all(|entry| fleet.active_revision(*entry, DEALERS) >= revision)
    });
    started.elapsed()
}

#[test]
fn settings_concurrent_edits_one_succeeds() {
    let fleet = FleetBuilder::new().start();
    for round in 1..=5 {
        let responses: Vec<HttpResponse> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..4)
                .map(|number| {
                    let fleet = &fleet;
                    scope.spawn(move || {
                        let value = dealers_with_share(10 * round + number);
                        let id = format!("race-{round}-{number}");
                        let entry = number as usize % 2;
                        fleet.set_settings_with_id(entry, DEALERS, round, &value, &id)
                    })
                })
                .collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let succeeded = responses.iter().filter(|response| response.status == 200).count();
        let conflicted =
            responses.iter().filter(|response| response.problem_code() == 5002).count();
        assert_eq!((succeeded, conflicted), (1, 3), "{responses:?}");
        let revision = responses.iter().find(|response| response.status == 200).unwrap().json();
        assert_eq!(revision["revision"], round + 1);
        assert!(wait_in_force(&fleet, round + 1) < IN_FORCE_LIMIT);
    }
}

#[test]
fn settings_lost_response_applied_once() {
    let fleet = FleetBuilder::new().with_timing(json!({ "platform_timeout_ms": 500 })).start();
    fleet.platform.set_faults(&json!({ "lose_write_answers": 1 }));
    let response = fleet.set_settings(0, DEALERS, 1, &dealers_with_share(2));
    assert_eq!((response.status, &response.json()["revision"]), (200, &json!(2)), "{response:?}");
    let repeat = fleet.set_settings(0, DEALERS, 1, &dealers_with_share(2));
    assert_eq!((repeat.status, &repeat.json()["revision"]), (200, &json!(2)), "the same change id");
    let other = fleet.set_settings_with_id(1, DEALERS, 1, &dealers_with_share(3), "other");
    assert_eq!(other.problem_code(), 5002);
    fleet.platform.set_faults(&json!({ "lose_writes": 1 }));
    let response = fleet.set_settings(0, DEALERS, 2, &dealers_with_share(4));
    assert_eq!((response.status, &response.json()["revision"]), (200, &json!(3)), "{response:?}");
}

#[test]
fn settings_invalid_value_rejected_with_path() {
    let fleet = FleetBuilder::new().start();
    let mut value = dealers_with_share(1);
    value["policy"] = json!({ "share": 0 });
    let response = fleet.set_settings(0, DEALERS, 1, &value);
    assert_eq!(response.problem_code(), 5001);
    let detail = response.json()["detail"].as_str().unwrap().to_owned();
    assert!(detail.contains("policy.share") && detail.contains("1 to 10000"), "{detail}");
    value["policy"] = json!({ "shar": 1 });
    let detail = fleet.set_settings(0, DEALERS, 1, &value).json()["detail"].to_string();
    assert!(detail.contains("unknown field `shar`") && detail.contains("`share`"), "{detail}");
    assert_eq!(fleet.active_revision(0, DEALERS), 1);
}

#[test]
fn settings_muted_watches_propagated() {
    let fleet = FleetBuilder::new().with_per_zone(1, 1, 2).start();
    fleet.platform.set_faults(&json!({ "mute_watches": true }));
    let response = fleet.set_settings(3, DEALERS, 1, &dealers_with_share(7));
    assert_eq!(response.status, 200);
    let elapsed = wait_in_force(&fleet, 2);
    assert!(elapsed < IN_FORCE_LIMIT, "{elapsed:?}");
}

#[test]
fn settings_writer_killed_with_muted_watches_propagated() {
    // The change is written by an entry that is killed before it can notify its peers.
    let mut fleet = FleetBuilder::new().with_fault_proxies().start();
    fleet.platform.set_faults(&json!({ "mute_watches": true }));
    fleet.peer_proxies.iter().for_each(|proxy| proxy.set_disconnected(true));
    let response = fleet.set_settings(0, DEALERS, 1, &dealers_with_share(7));
    assert_eq!(response.status, 200);
    fleet.entries[0].process.kill();
    let started = Instant::now();
    poll_until("the other entry to apply the change", || fleet.active_revision(1, DEALERS) == 2);
    assert!(started.elapsed() < IN_FORCE_LIMIT, "{:?}", started.elapsed());
}

#[test]
fn settings_platform_outage_loaded_from_peers() {
    let mut fleet = FleetBuilder::new().start();
    assert_eq!(fleet.set_settings(0, DEALERS, 1, &dealers_with_share(5)).status, 200);
    wait_in_force(&fleet, 2);
    fleet.platform.set_faults(&json!({ "down": true }));
    let rejected = fleet.set_settings(0, DEALERS, 2, &dealers_with_share(6));
    assert_eq!(rejected.problem_code(), 5004, "{rejected:?}");
    fleet.restart_entry(1);
    poll_until("the restarted entry to be ready", || fleet.entries[1].is_ready());
    poll_until("the restarted entry to load all settings", || {
        fleet.active_revision(1, DEALERS) == 2
    });
    // Both entries are restarted, one after the other, while the platform is down.
    fleet.restart_entry(0);
    poll_until("the restarted entry to be ready", || fleet.entries[0].is_ready());
    poll_until("the restarted entry to load all settings", || {
        fleet.active_revision(0, DEALERS) == 2
    });
    let response = fleet.entries[0].send_request("GET", "/orders/1", DEALER_KEY, &[], None);
    assert_eq!(response.status, 200, "calls are served during the outage: {response:?}");
    fleet.platform.set_faults(&json!({}));
    poll_until("changes to be accepted again", || {
        fleet.set_settings(1, DEALERS, 2, &dealers_with_share(6)).status == 200
    });
    assert!(wait_in_force(&fleet, 3) < IN_FORCE_LIMIT);
}

#[test]
fn settings_all_entries_restarted_at_once_reloaded() {
    let mut fleet = FleetBuilder::new().start();
    assert_eq!(fleet.set_settings(0, DEALERS, 1, &dealers_with_share(5)).status, 200);
    for index in 0..fleet.entries.len() {
        fleet.entries[index].process.kill();
    }
    for index in 0..fleet.entries.len() {
        fleet.restart_entry(index);
    }
    poll_until("all entries to be ready", || fleet.entries.iter().all(Entry::is_ready));
    assert!(wait_in_force(&fleet, 2) < IN_FORCE_LIMIT);
}

#[test]
fn settings_partitioned_zone_serves_and_catches_up() {
    let fleet = FleetBuilder::new().with_fault_proxies().start();
    fleet.peer_proxies.iter().for_each(|proxy| proxy.set_disconnected(true));
    fleet.platform_proxies[1].set_disconnected(true);
    assert_eq!(fleet.set_settings(0, DEALERS, 1, &dealers_with_share(9)).status, 200);
    let partitioned = &fleet.entries[1];
    assert_eq!(partitioned.send_request("GET", "/orders/1", DEALER_KEY, &[], None).status, 200);
    let order = partitioned.post_order(Some("cut-off"), "x");
    assert_eq!(order.execution(), "not_run", "the claim can't be recorded: {order:?}");
    assert_eq!(fleet.active_revision(1, DEALERS), 1);
    fleet.peer_proxies.iter().for_each(|proxy| proxy.set_disconnected(false));
    assert!(wait_in_force(&fleet, 2) < IN_FORCE_LIMIT, "over the peer link alone");
    fleet.platform_proxies[1].set_disconnected(false);
    poll_until("orders to be accepted again", || {
        partitioned.post_order(Some("cut-off"), "x").status == 200
    });
}

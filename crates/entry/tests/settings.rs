//! An accepted change is in force everywhere within seconds and never reverts.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::{DEALER_KEY, wait_for};
use hickorycourse_testkit::prelude::*;

const DEALERS: &str = "organisation/dealers";
/// The stated bound for a change to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

fn dealers_with_share(share: u64) -> Value {
    let mut value = Fleet::make_organisation("dealers", "dealer-1", DEALER_KEY);
    value["policy"] = json!({ "share": share });
    value
}

fn wait_in_force(fleet: &Fleet, revision: u64) -> Duration {
    let started = Instant::now();
    let entries: Vec<usize> = (0..fleet.entries.len()).collect();
    wait_for("the change to be in force", || {
        entries.iter().all(|entry| fleet.revision_in_force(*entry, DEALERS) >= revision)
    });
    started.elapsed()
}

#[test]
fn settings_operators_racing_one_wins() {
    let fleet = FleetBuilder::new().start();
    for round in 1..=5 {
        let answers: Vec<Answer> = std::thread::scope(|scope| {
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
        let won = answers.iter().filter(|answer| answer.status == 200).count();
        let lost = answers.iter().filter(|answer| answer.code() == 5002).count();
        assert_eq!((won, lost), (1, 3), "{answers:?}");
        let revision = answers.iter().find(|answer| answer.status == 200).unwrap().json();
        assert_eq!(revision["revision"], round + 1);
        assert!(wait_in_force(&fleet, round + 1) < IN_FORCE_LIMIT);
    }
}

#[test]
fn settings_answer_lost_applied_once() {
    let fleet = FleetBuilder::new().with_timing(json!({ "platform_timeout_ms": 500 })).start();
    fleet.platform.set_faults(&json!({ "lose_write_answers": 1 }));
    let answer = fleet.set_settings(0, DEALERS, 1, &dealers_with_share(2));
    assert_eq!((answer.status, &answer.json()["revision"]), (200, &json!(2)), "{answer:?}");
    let repeat = fleet.set_settings(0, DEALERS, 1, &dealers_with_share(2));
    assert_eq!((repeat.status, &repeat.json()["revision"]), (200, &json!(2)), "the same change id");
    let other = fleet.set_settings_with_id(1, DEALERS, 1, &dealers_with_share(3), "other");
    assert_eq!(other.code(), 5002);
    fleet.platform.set_faults(&json!({ "lose_writes": 1 }));
    let answer = fleet.set_settings(0, DEALERS, 2, &dealers_with_share(4));
    assert_eq!((answer.status, &answer.json()["revision"]), (200, &json!(3)), "{answer:?}");
}

#[test]
fn settings_bad_value_refused_with_path() {
    let fleet = FleetBuilder::new().start();
    let mut value = dealers_with_share(1);
    value["policy"] = json!({ "share": 0 });
    let answer = fleet.set_settings(0, DEALERS, 1, &value);
    assert_eq!(answer.code(), 5001);
    let detail = answer.json()["detail"].as_str().unwrap().to_owned();
    assert!(detail.contains("policy.share") && detail.contains("1 to 10000"), "{detail}");
    value["policy"] = json!({ "shar": 1 });
    let detail = fleet.set_settings(0, DEALERS, 1, &value).json()["detail"].to_string();
    assert!(detail.contains("unknown field `shar`") && detail.contains("`share`"), "{detail}");
    assert_eq!(fleet.revision_in_force(0, DEALERS), 1);
}

#[test]
fn settings_reach_all_past_muted_watches() {
    let fleet = FleetBuilder::new().with_per_zone(1, 1, 2).start();
    fleet.platform.set_faults(&json!({ "mute_watches": true }));
    let answer = fleet.set_settings(3, DEALERS, 1, &dealers_with_share(7));
    assert_eq!(answer.status, 200);
    let elapsed = wait_in_force(&fleet, 2);
    assert!(elapsed < IN_FORCE_LIMIT, "{elapsed:?}");
}

#[test]
fn settings_written_behind_muted_watches_are_found() {
    // The change is written by an entry that dies before it can tell anyone.
    let mut fleet = FleetBuilder::new().with_relays().start();
    fleet.platform.set_faults(&json!({ "mute_watches": true }));
    fleet.peer_relays.iter().for_each(|relay| relay.set_cut(true));
    let answer = fleet.set_settings(0, DEALERS, 1, &dealers_with_share(7));
    assert_eq!(answer.status, 200);
    fleet.entries[0].process.kill();
    let started = Instant::now();
    wait_for("the other entry to find it", || fleet.revision_in_force(1, DEALERS) == 2);
    assert!(started.elapsed() < IN_FORCE_LIMIT, "{:?}", started.elapsed());
}

#[test]
fn settings_outage_fresh_process_takes_from_peers() {
    let mut fleet = FleetBuilder::new().start();
    assert_eq!(fleet.set_settings(0, DEALERS, 1, &dealers_with_share(5)).status, 200);
    wait_in_force(&fleet, 2);
    fleet.platform.set_faults(&json!({ "down": true }));
    let refused = fleet.set_settings(0, DEALERS, 2, &dealers_with_share(6));
    assert_eq!(refused.code(), 5004, "{refused:?}");
    fleet.restart_entry(1);
    wait_for("the fresh process to be ready", || fleet.entries[1].is_ready());
    wait_for("all settings", || fleet.revision_in_force(1, DEALERS) == 2);
    // All replaced, one after the other, while the platform is down.
    fleet.restart_entry(0);
    wait_for("the fresh process to be ready", || fleet.entries[0].is_ready());
    wait_for("all settings", || fleet.revision_in_force(0, DEALERS) == 2);
    let answer = fleet.entries[0].ask("GET", "/orders/1", DEALER_KEY, &[], None);
    assert_eq!(answer.status, 200, "calls are served during the outage: {answer:?}");
    fleet.platform.set_faults(&json!({}));
    wait_for("changes to be taken again", || {
        fleet.set_settings(1, DEALERS, 2, &dealers_with_share(6)).status == 200
    });
    assert!(wait_in_force(&fleet, 3) < IN_FORCE_LIMIT);
}

#[test]
fn settings_all_replaced_at_once() {
    let mut fleet = FleetBuilder::new().start();
    assert_eq!(fleet.set_settings(0, DEALERS, 1, &dealers_with_share(5)).status, 200);
    for index in 0..fleet.entries.len() {
        fleet.entries[index].process.kill();
    }
    for index in 0..fleet.entries.len() {
        fleet.restart_entry(index);
    }
    wait_for("all to be ready", || fleet.entries.iter().all(Entry::is_ready));
    assert!(wait_in_force(&fleet, 2) < IN_FORCE_LIMIT);
}

#[test]
fn settings_zone_cut_off_serves_and_catches_up() {
    let fleet = FleetBuilder::new().with_relays().start();
    fleet.peer_relays.iter().for_each(|relay| relay.set_cut(true));
    fleet.platform_relays[1].set_cut(true);
    assert_eq!(fleet.set_settings(0, DEALERS, 1, &dealers_with_share(9)).status, 200);
    let cut_off = &fleet.entries[1];
    assert_eq!(cut_off.ask("GET", "/orders/1", DEALER_KEY, &[], None).status, 200);
    let order = cut_off.order(Some("cut-off"), "x");
    assert_eq!(order.execution(), "not_run", "no agreement can be had: {order:?}");
    assert_eq!(fleet.revision_in_force(1, DEALERS), 1);
    fleet.peer_relays.iter().for_each(|relay| relay.set_cut(false));
    assert!(wait_in_force(&fleet, 2) < IN_FORCE_LIMIT, "over the peer link alone");
    fleet.platform_relays[1].set_cut(false);
    wait_for("orders to be taken again", || cut_off.order(Some("cut-off"), "x").status == 200);
}

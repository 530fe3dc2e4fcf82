//! Stewards as separate processes in a local cluster.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hickorycourse_testkit::fleet::{MODEL, poll_until};
use hickorycourse_testkit::prelude::*;

fn start_steward(fleet: &Fleet, name: &str) -> Process {
    let entry = fleet.log_dir.join(format!("{}.jsonc", fleet.entries[0].name));
    let arguments = vec![entry.display().to_string()];
    Process::start("hickorycourse-steward", &arguments, name, &fleet.log_dir)
}

fn with_desired_state(fleet: &Fleet) -> Value {
    let mut site = fleet.build_site_settings();
    for upstream in site["upstreams"].as_array_mut().unwrap() {
        if upstream["service"] == "desk" {
            upstream["wish"] = json!({ "model": MODEL, "version": "2" });
            upstream["checks_fencing"] = json!(true);
        }
    }
    site
}

/// Guards against a steward that is suspended as the leader and sends orders after it resumes,
/// although another steward holds the lease by then.
#[test]
fn steward_suspended_leader_replaced_without_stale_orders() {
    let fleet = FleetBuilder::new().with_zones(1).start();
    assert_eq!(fleet.set_settings(0, "site", 1, &with_desired_state(&fleet)).status, 200);
    let engine = &fleet.engines[0];
    let accepted = || engine.stats()["stats"]["orders_taken"].as_u64().unwrap();
    let first = start_steward(&fleet, "steward-1");
    poll_until("the first steward's orders", || accepted() > 0);
    let second = start_steward(&fleet, "steward-2");
    first.suspend();
    let before = accepted();
    poll_until("the second steward's orders", || accepted() > before);
    assert!(second.read_log().contains("Holds the lease"));
    // The steward that was suspended sends no more orders, or they are rejected by their outdated
    // fencing token.
    first.resume();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(first.read_log().matches("Holds the lease").count(), 1);
    assert_eq!(fleet.entries[0].chat(&chat_body(MODEL, "still", 3, false)).status, 200);
}

#[test]
fn steward_leaving_instance_replaced_after_refused_start() {
    let fleet = FleetBuilder::new().with_zones(1).start();
    let steward = start_steward(&fleet, "steward");
    poll_until("the lease", || steward.read_log().contains("Holds the lease"));
    fleet.platform.set_faults(&json!({ "refuse_starts": true }));
    fleet.send_reclaim_notice(&fleet.engines[0].name);
    poll_until("a refused start", || steward.read_log().contains("start failed"));
    fleet.platform.set_faults(&json!({}));
    poll_until("a replacement", || steward.read_log().contains("replaces"));
}

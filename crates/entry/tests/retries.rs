//! Retries don't multiply the load on upstreams that fail.

#![allow(clippy::unwrap_used)]

use hickorycourse_testkit::fleet::MODEL;
use hickorycourse_testkit::prelude::*;

fn count_requests(fleet: &Fleet) -> u64 {
    let stats = fleet.engines.iter().map(|engine| engine.stats());
    stats.map(|stats| stats["stats"]["requests"].as_u64().unwrap()).sum()
}

fn amplify(site: Value) -> f64 {
    const CALLS: u64 = 400;
    let fleet = FleetBuilder::new().with_zones(1).with_per_zone(5, 0, 1).with_site(site).start();
    fleet.engines[0].set_faults(&json!({ "status": 500 }));
    let entry = &fleet.entries[0];
    std::thread::scope(|scope| {
        for worker in 0..8 {
            scope.spawn(move || {
                for number in 0..CALLS / 8 {
                    // Long enough to have a start of its own, so that all engines get some.
                    let prompt = format!("question {worker} {number} ").repeat(20);
                    assert_eq!(entry.chat(&chat_body(MODEL, &prompt, 2, false)).status, 200);
                }
            });
        }
    });
    count_requests(&fleet) as f64 / CALLS as f64
}

#[test]
fn retries_when_a_fifth_of_upstreams_fails() {
    let baseline = json!({
        "admission": "first_in_first_out", "router": "round_robin", "retry": "at_once" });
    let with_budget = amplify(json!({}));
    let at_once = amplify(baseline);
    println!("requests for each call: {with_budget:.3} with a budget, {at_once:.3} at once");
    assert!(with_budget <= 1.1, "{with_budget}");
}

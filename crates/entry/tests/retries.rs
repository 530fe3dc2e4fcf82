//! The retry budget limits the extra load on the upstreams when one of them fails.

#![allow(clippy::unwrap_used)]

use hickorycourse_testkit::fleet::MODEL;
use hickorycourse_testkit::prelude::*;

fn count_requests(fleet: &Fleet) -> u64 {
    let stats = fleet.engines.iter().map(|engine| engine.stats());
    stats.map(|stats| stats["stats"]["requests"].as_u64().unwrap()).sum()
}

fn measure_requests_per_call(site: Value) -> f64 {
    const CALLS: u64 = 400;
    let fleet =
        FleetBuilder::new().with_zones(1).with_per_zone(5, 0, 1).with_site_settings(site).start();
    fleet.engines[0].set_faults(&json!({ "status": 500 }));
    let entry = &fleet.entries[0];
    std::thread::scope(|scope| {
        for worker in 0..8 {
            scope.spawn(move || {
                for number in 0..CALLS / 8 {
                    // Long enough for a distinct prefix, so that calls are spread over all engines.
                    let prompt = format!("question {worker} {number} ").repeat(20);
                    assert_eq!(entry.chat(&chat_body(MODEL, &prompt, 2, false)).status, 200);
                }
            });
        }
    });
    count_requests(&fleet) as f64 / CALLS as f64
}

#[test]
fn retries_one_of_five_upstreams_failing_within_budget() {
    let baseline = json!({
        "admission": "first_in_first_out", "router": "round_robin", "retry": "at_once" });
    let with_budget = measure_requests_per_call(json!({}));
    let immediate = measure_requests_per_call(baseline);
    println!(
        "requests per call: {with_budget:.3} with a budget, {immediate:.3} with immediate retries"
    );
    assert!(with_budget <= 1.1, "{with_budget}");
}

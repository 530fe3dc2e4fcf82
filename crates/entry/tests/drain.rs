//! Drains of real processes: requests that arrive until the end of the process, and work that is
//! still running when the last request has ended.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use hickorycourse_testkit::fleet::DEALER_KEY;
use hickorycourse_testkit::prelude::*;

/// Longer than the grace period and everything that follows it.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
const DRAINING: u64 = 2003;

#[test]
fn drain_orders_forwarded_until_exit_none_cut_off() {
    const INTERVAL: Duration = Duration::from_millis(20);
    /// A little longer than the grace period.
    const SLOW_AFTER: Duration = Duration::from_millis(2_100);
    let mut fleet = FleetBuilder::new().start();
    let ids: Vec<String> = (0..150)
        .map(|_| fleet.entries[0].send_request("POST", "/v1/order-ids", DEALER_KEY, &[], None))
        .map(|issued| issued.json()["order_id"].as_str().unwrap().to_owned())
        .collect();
    fleet.entries[0].process.send_sigterm();
    let started = Instant::now();
    let other = &fleet.entries[1];
    let mut is_slow = false;
    let responses: Vec<(&String, HttpResponse)> = std::thread::scope(|scope| {
        let mut callers = Vec::new();
        for (number, id) in ids.iter().enumerate() {
            let due = INTERVAL * u32::try_from(number).unwrap();
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            if !is_slow && started.elapsed() >= SLOW_AFTER {
                for service in &fleet.services {
                    service.set_faults(&json!({ "delay_after_ms": 2_500 }));
                }
                is_slow = true;
            }
            callers.push(scope.spawn(move || (id, other.post_order(Some(id), "x"))));
        }
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    let status = fleet.entries[0].process.wait(EXIT_TIMEOUT);
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let cut: Vec<_> = responses
        .iter()
        .filter(|(id, response)| response.status != 200 && fleet.count_executions(id) > 0)
        .collect();
    assert!(cut.is_empty(), "{} executed without an answer: {cut:?}", cut.len());
    let answered = responses.iter().filter(|(_, response)| response.status == 200);
    assert!(answered.count() > 50, "orders were forwarded in the grace period");
    let rejected = responses.iter().filter(|(_, response)| response.problem_code() == DRAINING);
    assert!(rejected.count() > 0, "orders were forwarded after the grace period");
}

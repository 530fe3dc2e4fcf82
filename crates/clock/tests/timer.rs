//! Tests of subscriptions to the timer service.

#![allow(clippy::unwrap_used)]

use hickorycourse_clock::prelude::*;

#[test]
fn subscribe_receives_repeated_ticks() {
    let timer = TimerService::start().unwrap();
    let mut ticks = timer.subscribe(5);
    for _ in 0..3 {
        assert_eq!(ticks.blocking_recv(), Some(Tick));
    }
}

#[test]
fn subscribe_dropped_receiver_removes_subscription() {
    let timer = TimerService::start().unwrap();
    let ticks = timer.subscribe(5);
    drop(ticks);
    let mut other = timer.subscribe(5);
    while timer.count_subscriptions() > 1 {
        other.blocking_recv();
    }
    assert_eq!(timer.count_subscriptions(), 1);
}

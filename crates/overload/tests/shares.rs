//! Shares of ranks and sizes, and what bad reports do to them.

use hickorycourse_overload::{
    AdmittedShares, Capacity, ClassDemand, Demand, FleetDemand, OverloadControl, OverloadDecision,
    WorkClass, WorkCounts, WorkRequest,
};
use proptest::prelude::*;

const CAPACITY: Capacity = Capacity { slots: 100.0, upstreams: 10.0, occupied_slots: 75.0 };

fn class(rank: u8, size: u8) -> WorkClass {
    WorkClass { rank, size }
}

fn demand(classes: &[(WorkClass, f64, f64)]) -> Demand {
    let classes = classes.iter().map(|(class, arrivals_per_s, slots)| {
        let demand = ClassDemand {
            arrivals_per_s: *arrivals_per_s,
            slots: *slots,
            prefill_upstreams: slots / 50.0,
        };
        (*class, demand)
    });
    classes.collect()
}

#[test]
fn compute_refuses_less_urgent_rank_first() {
    let demand = demand(&[
        (class(0, 4), 100.0, 30.0),
        (class(1, 4), 100.0, 30.0),
        (class(2, 4), 100.0, 60.0),
    ]);
    let shares = AdmittedShares::compute(&demand, &CAPACITY);
    assert_eq!(shares.share(class(0, 4)), 1.0);
    assert_eq!(shares.share(class(1, 4)), 1.0);
    let least = shares.share(class(2, 4));
    assert!((0.05..0.3).contains(&least), "{least}");
    assert!(shares.share(class(3, 4)) <= least);
}

#[test]
fn compute_prefers_small_requests_and_leaves_no_size_out() {
    let demand = demand(&[(class(2, 3), 100.0, 20.0), (class(2, 6), 20.0, 160.0)]);
    let shares = AdmittedShares::compute(&demand, &CAPACITY);
    let (small, large) = (shares.share(class(2, 3)), shares.share(class(2, 6)));
    assert!(small > large);
    assert!(large >= 0.4 * small, "{small} {large}");
}

#[test]
fn compute_admits_all_within_capacity() {
    let demand = demand(&[(class(0, 4), 100.0, 30.0), (class(2, 4), 100.0, 30.0)]);
    let shares = AdmittedShares::compute(&demand, &CAPACITY);
    assert!(!shares.is_limited());
}

#[test]
fn total_counts_silent_instances_as_the_mean() {
    let own = demand(&[(class(0, 4), 10.0, 2.0)]);
    let mut fleet = FleetDemand::default();
    fleet.set_peer("a", 2, Some(&WorkCounts { instances: 1, ..WorkCounts::of_instance(&own) }), 0);
    fleet.set_peer("b", 1, None, 0);
    assert!((fleet.total(&own, 100)[&class(0, 4)].slots - 8.0).abs() < 1e-9);
    assert!((fleet.total(&own, 6_000)[&class(0, 4)].slots - 2.0).abs() < 1e-9);
}

#[test]
fn decide_admits_the_same_requests_at_all_instances() {
    let request = |hash| WorkRequest { class: class(0, 4), hash, prefill_ms: 500.0 };
    let mut controls = [OverloadControl::default(), OverloadControl::default()];
    for control in &mut controls {
        (0..100).for_each(|hash| control.record_arrival(&request(hash), 50));
        control.update(&CAPACITY, 100);
    }
    let decide = |control: &OverloadControl, hash| control.decide(&request(hash), true);
    let admitted = |control| {
        (0..1_000).filter(|hash| decide(control, *hash) == OverloadDecision::Admitted).count()
    };
    assert!((50..200).contains(&admitted(&controls[0])), "{}", admitted(&controls[0]));
    assert!((0..1_000).all(|hash| decide(&controls[0], hash) == decide(&controls[1], hash)));
}

/// A control whose own arrivals ask for many times `capacity`.
fn overloaded_control(capacity: &Capacity, silent_instances: usize) -> OverloadControl {
    let mut control = OverloadControl::default();
    if silent_instances > 0 {
        control.fleet_mut().set_peer("a", silent_instances, None, 1_000);
    }
    let request = WorkRequest { class: class(1, 4), hash: 7, prefill_ms: 5_000.0 };
    for _ in 0..100 {
        control.record_arrival(&request, 1_000);
    }
    control.update(capacity, 1_000);
    control
}

fn count_refused(control: &OverloadControl) -> usize {
    let requests =
        (0..100).map(|hash| WorkRequest { class: class(1, 4), hash, prefill_ms: 5_000.0 });
    requests.filter(|request| control.decide(request, true).is_refusal()).count()
}

#[test]
fn decide_full_upstreams_refuses() {
    assert!(count_refused(&overloaded_control(&CAPACITY, 0)) > 50);
    // As many instances that state nothing.
    assert!(count_refused(&overloaded_control(&CAPACITY, 1)) > 50);
}

// Guards against the first requests of an idle service being refused.
#[test]
fn decide_idle_upstreams_admits_all() {
    let idle = Capacity { occupied_slots: 49.0, ..CAPACITY };
    assert_eq!(count_refused(&overloaded_control(&idle, 0)), 0);
}

// Guards against one instance beside many of an earlier build that takes its own load for that of all.
#[test]
fn decide_most_instances_silent_admits_all() {
    assert_eq!(count_refused(&overloaded_control(&CAPACITY, 2)), 0);
}

fn any_figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY),
        Just(0.0),
        Just(f64::MAX),
        -1e3..1e6_f64,
    ]
}

proptest! {
    #[test]
    fn compute_any_figures_gives_shares(
        figures in prop::collection::vec((0_u8..4, 0_u8..8, any_figure(), any_figure(), any_figure()), 0..12),
        slots in any_figure(),
        upstreams in any_figure(),
        occupied_slots in any_figure(),
    ) {
        let demand: Demand = figures.into_iter().map(|(rank, size, arrivals_per_s, slots, prefill_upstreams)| {
            (class(rank, size), ClassDemand { arrivals_per_s, slots, prefill_upstreams })
        }).collect();
        let capacity = Capacity { slots, upstreams, occupied_slots };
        let shares = AdmittedShares::compute(&demand, &capacity);
        for class in demand.keys() {
            prop_assert!((0.0..=1.0).contains(&shares.share(*class)));
        }
    }

    #[test]
    fn update_any_reports_gives_decisions(
        counts in prop::collection::vec(any::<(u8, u8, u32, u32, u32)>(), 0..40),
        instances in any::<usize>(),
        prefill_ms in any_figure(),
        now_ms in 0_u64..20_000,
    ) {
        let mut control = OverloadControl::default();
        let work = WorkCounts { instances, classes: counts };
        control.fleet_mut().set_peer("a", instances, Some(&work), 5_000);
        let request = WorkRequest { class: class(1, 4), hash: 7, prefill_ms };
        control.record_arrival(&request, now_ms);
        control.update(&CAPACITY, now_ms);
        control.decide(&request, true);
        let state = control.state();
        prop_assert!(state.demand_slots.is_finite());
        prop_assert!(state.shares.values().all(|share| (0.0..=1.0).contains(share)));
    }
}

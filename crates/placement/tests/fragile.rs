//! Placement at upstreams that can turn few requests away.

use hickorycourse_placement::{
    AdmitAll, AttemptOutcome, ExpectedWait, Placement, PlacementOptions, PlacementRequest,
    PlacementTable,
};
use hickorycourse_routes::UpstreamEntry;

const REQUEST: PlacementRequest<'_> = PlacementRequest {
    parts: &[],
    prompt_tokens: 0,
    urgency: 1,
    seed: 0,
    excluded: &[],
    version: None,
    streamed: None,
};
const SERVICE_MS: u64 = 100;
const SECOND_MS: u64 = 1_000;
/// Time from which use counts, after the upstreams said that they can turn few requests away.
const CONTACT_MS: u64 = 3_000;
/// Share of the slots that is used while there is demand.
const MIN_USE: f64 = 0.9;

fn table(upstreams: usize, slots: u64, instance: usize, instances: usize) -> PlacementTable {
    let entries: Vec<UpstreamEntry> = (0..upstreams)
        .map(|id| {
            let address = format!("127.0.0.1:{}", 9_000 + id).parse().expect("an address");
            UpstreamEntry::ready(&format!("i-{id}"), "desk", address, "east", slots)
        })
        .collect();
    let options = PlacementOptions::default();
    let mut table =
        PlacementTable::new("east", options, Box::new(ExpectedWait), Box::new(AdmitAll));
    table.set_upstreams(entries.iter());
    set_instances(&mut table, instance, 0..instances);
    table
}

fn set_instances(table: &mut PlacementTable, own: usize, all: std::ops::Range<usize>) {
    let names: Vec<String> =
        all.filter(|index| *index != own).map(|index| format!("edge-{index}")).collect();
    table.set_instances(&format!("edge-{own}"), names.iter().map(String::as_str));
}

/// Places requests until none is accepted; returns the upstreams.
fn fill(table: &mut PlacementTable, now_ms: u64) -> Vec<Placement> {
    let mut placed = Vec::new();
    while let Some(placement) = table.choose(&REQUEST, now_ms) {
        table.begin_attempt(&placement, &REQUEST, now_ms);
        placed.push(placement);
        assert!(placed.len() <= 10_000, "no end of placements");
    }
    placed
}

/// Engines that run as many requests as they have slots, and turn the others away.
struct Fleet {
    tables: Vec<PlacementTable>,
    slots: u64,
    /// Requests at each engine: end and instance.
    running: Vec<Vec<(u64, usize, Placement)>>,
    turned_away_at_ms: Vec<Vec<u64>>,
    busy_ms: u64,
}

impl Fleet {
    fn new(instances: usize, engines: usize, slots: u64) -> Self {
        Self {
            tables: (0..instances).map(|index| table(engines, slots, index, instances)).collect(),
            slots,
            running: (0..engines).map(|_| Vec::new()).collect(),
            turned_away_at_ms: vec![Vec::new(); engines],
            busy_ms: 0,
        }
    }

    fn set_tolerance(&mut self, engines: std::ops::Range<usize>, tolerated: u64) {
        for table in &mut self.tables {
            for engine in engines.clone() {
                table.set_tolerance(&format!("i-{engine}"), Some(tolerated));
            }
        }
    }

    /// Plays until `until_ms`. Each instance with demand tries to place a request in each step.
    fn play(
        &mut self,
        from_ms: u64,
        until_ms: u64,
        step_ms: u64,
        has_demand: impl Fn(usize, u64) -> bool,
    ) {
        for now_ms in (from_ms..until_ms).step_by(step_ms as usize) {
            self.end_requests(now_ms);
            for instance in 0..self.tables.len() {
                if has_demand(instance, now_ms) {
                    self.send(instance, now_ms);
                }
            }
            self.busy_ms += step_ms * self.running.iter().map(Vec::len).sum::<usize>() as u64;
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        for (engine, running) in self.running.iter_mut().enumerate() {
            let ended: Vec<_> = running.extract_if(.., |(end_ms, ..)| *end_ms <= now_ms).collect();
            let left = running.len() as u64;
            for (_, instance, placement) in ended {
                let table = &mut self.tables[instance];
                table.record_load_report(&format!("i-{engine}"), left + 1, 0, now_ms);
                table.record_first_byte(&placement, now_ms);
                table.end_attempt(&placement, true, AttemptOutcome::Answered, now_ms);
            }
        }
    }

    fn send(&mut self, instance: usize, now_ms: u64) {
        let table = &mut self.tables[instance];
        let request = PlacementRequest { seed: now_ms * 1_000 + instance as u64, ..REQUEST };
        let Some(placement) = table.choose(&request, now_ms) else { return };
        table.begin_attempt(&placement, &request, now_ms);
        let engine: usize = placement.upstream[2..].parse().expect("the id has a number");
        let running = &mut self.running[engine];
        if (running.len() as u64) < self.slots {
            running.push((now_ms + SERVICE_MS + now_ms % 7, instance, placement));
            return;
        }
        self.turned_away_at_ms[engine].push(now_ms);
        table.record_load_report(&placement.upstream, running.len() as u64, 0, now_ms);
        table.end_attempt(&placement, false, AttemptOutcome::Refused, now_ms);
    }

    /// Most requests that an engine turned away in a second.
    fn most_turned_away(&self, engines: std::ops::Range<usize>) -> usize {
        let most = |times: &Vec<u64>| {
            let in_second = |from: &u64| {
                times.iter().filter(|at| *at >= from && **at < from + SECOND_MS).count()
            };
            times.iter().map(in_second).max().unwrap_or(0)
        };
        self.turned_away_at_ms[engines].iter().map(most).max().unwrap_or(0)
    }

    fn use_since(&self, from_ms: u64, until_ms: u64) -> f64 {
        let slots = self.slots * self.running.len() as u64;
        self.busy_ms as f64 / (slots * (until_ms - from_ms)) as f64
    }
}

#[test]
fn fragile_slots_divided_among_instances() {
    for (instances, slots) in [(1, 6), (6, 6), (7, 6), (7, 128), (76, 6), (295, 128), (1_100, 6)] {
        let mut total = 0;
        for instance in 0..instances {
            let mut table = table(2, slots, instance, instances);
            table.set_tolerance("i-0", Some(0));
            table.set_tolerance("i-1", Some(0));
            let placed = fill(&mut table, 0);
            let at_most = slots as usize / instances + 1;
            for id in ["i-0", "i-1"] {
                let count = placed.iter().filter(|placement| placement.upstream == id).count();
                assert!(count <= at_most, "{count} of {slots} slots, {instances} instances");
                total += count;
            }
        }
        assert_eq!(total as u64, 2 * slots, "{instances} instances");
    }
}

#[test]
fn fragile_engines_saturated_are_used_and_not_overrun() {
    for (instances, engines, slots, step_ms) in
        [(6, 4, 6, 1), (7, 4, 6, 1), (7, 3, 128, 1), (76, 20, 6, 4), (295, 20, 6, 10)]
    {
        let tolerances: &[u64] = if instances < 10 { &[0, 2, 50, 1_000_000] } else { &[0, 50] };
        for tolerated in tolerances.iter().copied() {
            let mut fleet = Fleet::new(instances, engines, slots);
            fleet.set_tolerance(0..engines, tolerated);
            fleet.play(0, CONTACT_MS, step_ms, |_, _| true);
            fleet.turned_away_at_ms = vec![Vec::new(); engines];
            fleet.busy_ms = 0;
            let until_ms = CONTACT_MS + 2 * SECOND_MS;
            fleet.play(CONTACT_MS, until_ms, step_ms, |_, _| true);
            let most = fleet.most_turned_away(0..engines);
            let used = fleet.use_since(CONTACT_MS, until_ms);
            let title = format!("{instances} instances, {slots} slots, tolerance {tolerated}");
            println!("{title}: {most} turned away, {used:.3} used");
            assert!(most as u64 <= tolerated, "{title}: {most} turned away in a second");
            assert!(used >= MIN_USE, "{title}: {used:.3} used");
        }
    }
}

#[test]
fn fragile_engines_with_uneven_traffic_not_overrun() {
    for tolerated in [0, 2, 12, 50] {
        let mut fleet = Fleet::new(7, 4, 6);
        fleet.set_tolerance(0..4, tolerated);
        // The instances that press change each second.
        let until_ms = 8 * SECOND_MS;
        let has_demand =
            |instance: usize, now_ms: u64| (instance as u64 + now_ms / SECOND_MS) % 7 < 3;
        fleet.play(0, until_ms, 1, has_demand);
        let most = fleet.most_turned_away(0..4);
        println!("{tolerated}: {most} turned away, {:.3} used", fleet.use_since(0, until_ms));
        assert!(most as u64 <= tolerated, "tolerance {tolerated}: {most} turned away in a second");
    }
}

#[test]
fn some_fragile_engines_not_overrun() {
    let mut fleet = Fleet::new(7, 4, 6);
    fleet.set_tolerance(0..2, 2);
    for table in &mut fleet.tables {
        table.set_tolerance("i-2", None);
        table.set_tolerance("i-3", None);
    }
    fleet.play(0, 3 * SECOND_MS, 1, |_, _| true);
    assert!(fleet.most_turned_away(0..2) <= 2);
}

#[test]
fn fragile_time_ended_slots_are_not_divided() {
    let mut table = table(1, 6, 0, 7);
    table.set_tolerance("i-0", Some(0));
    assert!(fill(&mut table, 0).len() <= 1);
    table.set_tolerance("i-0", None);
    assert!(table.choose(&REQUEST, 10).is_some());
    assert!(!table.awaits_slot(&REQUEST, 10));
}

// Guards against a herd that meets an engine that is back under the same id.
#[test]
fn fragile_engine_restarted_slots_stay_divided_until_it_responds() {
    let mut table = table(2, 6, 0, 6);
    table.set_tolerance("i-0", Some(50));
    table.set_tolerance("i-1", Some(50));
    table.reset_upstream("i-1");
    let placed = fill(&mut table, 0);
    assert_eq!(placed.iter().filter(|placement| placement.upstream == "i-1").count(), 1);
    table.set_tolerance("i-1", None);
    assert!(table.choose(&REQUEST, 10).is_some());
}

#[test]
fn fragile_instance_joined_uses_slots_after_handover() {
    let mut table = table(1, 12, 0, 6);
    table.set_tolerance("i-0", Some(0));
    assert_eq!(fill(&mut table, 0).len(), 2);
    set_instances(&mut table, 0, 0..2);
    assert_eq!(fill(&mut table, 10).len(), 0);
    assert_eq!(fill(&mut table, 2_100).len(), 4);
}

#[test]
fn fragile_retry_uses_only_own_slots() {
    let mut table = table(2, 6, 0, 2);
    table.set_tolerance("i-0", Some(50));
    table.set_tolerance("i-1", Some(50));
    fill(&mut table, 0);
    let excluded = ["i-0".to_owned()];
    let retry = PlacementRequest { excluded: &excluded, ..REQUEST };
    assert_eq!(table.choose(&retry, 10), None);
    assert!(table.awaits_slot(&REQUEST, 10));
    let retry_after_ms = table.reserve_slot_retry(5_000, 10).expect("the upstreams are full");
    assert!(retry_after_ms >= 200, "{retry_after_ms}");
}

#[test]
fn fragile_engine_with_limit_needs_permit_and_slot() {
    let mut table = table(1, 6, 0, 6);
    table.set_tolerance("i-0", Some(0));
    table.set_limit("i-0", Some((5.0, 0)));
    let placement = table.place_permitted(&REQUEST, "i-0", 200, 0).expect("a slot is free");
    table.begin_attempt(&placement, &REQUEST, 0);
    assert_eq!(table.place_permitted(&REQUEST, "i-0", 200, 0), None);
    assert_eq!(table.find_limited(&REQUEST, 0), None);
}

// Guards against a slot that is used again while the engine still runs the request that was given up.
#[test]
fn fragile_slot_of_cancelled_request_is_kept_for_a_while() {
    let mut table = table(1, 6, 0, 6);
    table.set_tolerance("i-0", Some(0));
    let placed = fill(&mut table, 0);
    table.end_attempt(&placed[0], false, AttemptOutcome::Cancelled, 10);
    assert_eq!(table.choose(&REQUEST, 20), None);
    assert!(table.choose(&REQUEST, 400).is_some());
}

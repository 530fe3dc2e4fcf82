//! Measures the CPU time of the decisions of `hickorycourse-relay` within this process.

use std::collections::BTreeMap;

use hickorycourse_caps::{CapLimits, SharedCap, UsageReport};
use hickorycourse_digest::{MemberDigest, ServiceDigest, ZoneAggregator, ZoneDigest};
use hickorycourse_duties::{
    CapacityCounts, CapacityDemand, CapacityPlanner, CapacityPlannerOptions, FleetUsage,
    UsageSource, WindowCounts, ZoneCapacity,
};
use hickorycourse_placement::{
    ChoiceRule, EvenLoad, ExpectedWait, PlacementOptions, PlacementRequest, PlacementTable,
    PromptPart, TargetAdmission, UpstreamLoad,
};
use hickorycourse_routes::{CapacityLimits, UpstreamEntry};

use crate::cores::{read_memory_kib, time_us};

/// Runs all measurements of this module.
pub fn run() -> eyre::Result<()> {
    println!("choosing among that many upstreams, microseconds, and kibibytes of the book");
    for count in [10, 100, 1_000, 10_000] {
        measure_placement(count, 0, false)?;
        measure_placement(count, 0, true)?;
    }
    println!("choosing among 1,000 upstreams with that many requests waiting, microseconds");
    for waiting in [100, 1_000, 10_000, 100_000] {
        measure_placement(1_000, waiting, false)?;
        measure_placement(1_000, waiting, true)?;
    }
    println!("caps with that many instances: microseconds to take units and to take a report");
    for count in [7, 70, 350, 1_100] {
        measure_caps(count);
    }
    println!("usage of that many instances: microseconds to take a report and to add up a window");
    for count in [7, 70, 350, 1_100] {
        measure_usage(count);
    }
    println!(
        "fleets of that many instances: members and upstreams of a zone; microseconds to record a"
    );
    println!(
        "digest, to sum a zone, to encode and to decode all zones; bytes to and from an aggregator"
    );
    for (instances, zones) in [(24, 4), (76, 4), (295, 6), (1_100, 9)] {
        measure_aggregation(instances, zones)?;
    }
    println!("planning for that many upstreams in nine zones, microseconds");
    for count in [10, 100, 1_000, 10_000] {
        measure_plan(count);
    }
    Ok(())
}

fn make_upstream_entry(number: usize) -> eyre::Result<UpstreamEntry> {
    let address = "127.0.0.1:8000".parse()?;
    let (id, zone) = (format!("engine-{number:05}"), format!("zone-{}", number % 9));
    Ok(UpstreamEntry::ready(&id, "desk", address, &zone, 16))
}

fn measure_placement(count: usize, waiting: u64, is_even: bool) -> eyre::Result<()> {
    let before_kib = read_memory_kib();
    let entries =
        (0..count).map(make_upstream_entry).collect::<eyre::Result<Vec<UpstreamEntry>>>()?;
    let options = PlacementOptions::default();
    let rules = (Box::new(ExpectedWait), Box::new(TargetAdmission::default()));
    let choice_rule = is_even.then(|| Box::new(EvenLoad) as Box<dyn ChoiceRule>);
    let mut table =
        PlacementTable::new("zone-0", options, rules.0, rules.1).with_choice_rule(choice_rule);
    table.set_upstreams(entries.iter());
    for (number, entry) in entries.iter().enumerate() {
        let load = UpstreamLoad { running: number as u64 % 16, ..UpstreamLoad::default() };
        table.set_peer_load("peer", &entry.id, load, 0);
    }
    let mut place_request = |round: u64| {
        let parts = [
            PromptPart { hash: round % 64, tokens: 2_000 },
            PromptPart { hash: 1_000 + round, tokens: 500 },
        ];
        let request = PlacementRequest {
            parts: &parts,
            prompt_tokens: 2_500,
            urgency: (round % 3) as u8,
            seed: round,
            excluded: &[],
            version: None,
            streamed: None,
        };
        if let Some(placement) = table.choose(&request, round / 100) {
            table.begin_attempt(&placement, &request, round / 100);
        }
    };
    (0..waiting).for_each(&mut place_request);
    let kib = read_memory_kib().saturating_sub(before_kib);
    let rounds = (1_000_000 / count.max(1_000)) as u32;
    let us = time_us(rounds, |round| place_request(waiting + u64::from(round)));
    let rule = if is_even { "even load" } else { "lowest cost" };
    println!("{count:>7} upstreams {waiting:>7} waiting {us:>10.2} us {kib:>8} KiB, {rule}");
    Ok(())
}

fn measure_caps(count: usize) {
    let limits = CapLimits {
        per_second: 1e6,
        burst: 1e6,
        allowance: 1e5,
        report_interval_ms: 15 * count as u64,
        window_ms: 8_000,
    };
    let mut cap = SharedCap::new(limits, count, 0);
    let report_us = time_us(20_000, |round| {
        let now_ms = u64::from(round) / 100;
        let name = format!("relay-{}", round as usize % (count - 1));
        let usage = [(0, u64::from(round), 0)];
        let report = UsageReport {
            availability_zone: "zone-0",
            peer: Some((&name, 1)),
            instances: 1,
            usage: &usage,
            reported_at_ms: now_ms,
        };
        cap.apply_report(&report, now_ms);
    });
    let acquire_us = time_us(20_000, |round| {
        let acquired =
            cap.try_acquire(10.0, (round % 3) as u8, count, 200 + u64::from(round) / 100);
        std::hint::black_box(acquired.is_ok());
    });
    println!("{count:>7} instances {acquire_us:>10.2} us {report_us:>10.2} us");
}

fn measure_usage(count: usize) {
    let counts: BTreeMap<String, u64> =
        (0..16).map(|number| (format!("organisation-{number}"), 100)).collect();
    let windows = [WindowCounts { window: 1, counts }];
    let mut usage = FleetUsage::default();
    let merge_us = time_us(20_000, |round| {
        let name = format!("relay-{}", round as usize % count);
        let source = UsageSource { availability_zone: "zone-0", process: Some((&name, 1)) };
        usage.merge(&source, &windows);
    });
    let total_us = time_us(200, |_| {
        std::hint::black_box(usage.total(1));
    });
    println!("{count:>7} instances {merge_us:>10.2} us {total_us:>10.2} us");
}

/// Digest of a member that has placed load on `upstreams` of its zone.
fn make_digest(number: usize, sequence: u64, upstreams: usize) -> eyre::Result<MemberDigest> {
    // A member has a handful of requests in flight.
    let loads = (0..6).map(|offset| {
        let id = format!("i-{:010x}", (number * 7 + offset) % upstreams);
        (id, 2, 1, vec![(0, 1, 900), (1, 1, 4_000)])
    });
    let service = ServiceDigest { loads: loads.collect(), ..ServiceDigest::default() };
    let usage = (0..40).map(|organisation| {
        (format!("hule9{organisation:02}"), vec![(41_000, 90_000, 9_000), (41_001, 90_000, 9_000)])
    });
    Ok(MemberDigest {
        instance: format!("edge-zone-{number}"),
        boot: 1,
        availability_zone: "zone-0".to_owned(),
        peer_address: "127.0.0.1:7000".parse()?,
        sender_wall_ms: 0,
        cap_usage: usage.collect(),
        windows: Vec::new(),
        services: BTreeMap::from([("desk".to_owned(), service)]),
        store_era: 1,
        version: Some(1),
        departures: Vec::new(),
        committed_usage: Vec::new(),
        sequence,
        quarantine: Default::default(),
        limits: Vec::new(),
        is_stopping: false,
        part: Default::default(),
        tolerances: Vec::new(),
        decides_caps: false,
    })
}

fn measure_aggregation(instances: usize, zones: usize) -> eyre::Result<()> {
    let members = instances / zones;
    // As many engines for each instance as the large deployment has.
    let upstreams = members * 6 / 10;
    let mut aggregator = ZoneAggregator::default();
    let mut digests = Vec::new();
    for round in 0..20 {
        for number in 0..members {
            digests.push(make_digest(number, round + 1, upstreams.max(1))?);
        }
    }
    let mut member_bytes = Vec::new();
    ciborium::into_writer(&digests[0], &mut member_bytes)?;
    let count = digests.len() as u32;
    let mut digests = digests.into_iter();
    let record_us = time_us(count, |_| {
        if let Some(digest) = digests.next() {
            std::hint::black_box(aggregator.record(digest, 0));
        }
    });
    let sum = || {
        let mut zone = ZoneDigest::new("zone-0", "edge-zone-0", 1);
        aggregator.sum_into(&mut zone, 0);
        zone
    };
    let sum_us = time_us(200, |_| {
        std::hint::black_box(sum());
    });
    let zone = sum();
    let other = ZoneDigest { members: Vec::new(), ..zone.clone() };
    let all: Vec<ZoneDigest> =
        std::iter::once(zone).chain(std::iter::repeat_n(other, zones - 1)).collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&all, &mut bytes)?;
    let encode_us = time_us(200, |_| {
        let mut encoded = Vec::new();
        std::hint::black_box(ciborium::into_writer(&all, &mut encoded).is_ok());
    });
    let decode_us = time_us(200, |_| {
        let decoded: Result<Vec<ZoneDigest>, _> = ciborium::from_reader(bytes.as_slice());
        std::hint::black_box(decoded.is_ok());
    });
    println!(
        "{instances:>7} instances {members:>5} {upstreams:>5} {record_us:>8.2} us {sum_us:>8.0} us \
         {encode_us:>8.0} us {decode_us:>8.0} us {:>7} B {:>7} B",
        member_bytes.len(),
        bytes.len()
    );
    Ok(())
}

fn measure_plan(count: u32) {
    let names: Vec<String> = (0..9).map(|number| format!("zone-{number}")).collect();
    let limits = CapacityLimits {
        min: 1,
        max: count,
        start_ms: 4_000,
        reclaimable_price: Some(0.2),
        zone_prices: names.iter().map(|name| (name.clone(), 1.0)).collect(),
    };
    let ready = CapacityCounts { on_demand: count / 18, reclaimable: count / 18 };
    let zones = names.into_iter().map(|name| (name, ZoneCapacity { ready })).collect();
    let mut planner = CapacityPlanner::new(CapacityPlannerOptions::default());
    let us = time_us(200, |round| {
        let busy = f64::from(count) / 4.0 + f64::from(round % 10);
        let demand = CapacityDemand { busy_upstreams: Some(busy) };
        let orders = planner.plan(&limits, &zones, demand, u64::from(round) * 500);
        std::hint::black_box(orders);
    });
    println!("{count:>7} upstreams {us:>10.2} us");
}

//! Measures the CPU time of the entry's decisions within this process.

use std::collections::VecDeque;
use std::time::Instant;

use hickorycourse_admission::prelude::*;
use hickorycourse_membership::prelude::*;
use hickorycourse_routing::prelude::*;
use hickorycourse_settings::document::{Document, DocumentName};
use hickorycourse_settings::{MachineClass, UpstreamSettings};

/// Runs all measurements of this module.
pub fn run() -> eyre::Result<()> {
    println!("choosing an upstream, microseconds a call, and kibibytes of the book");
    for count in [10, 100, 1_000, 10_000] {
        measure_routing(count)?;
    }
    println!("offering and taking with that many waiting, microseconds a request");
    for count in [10, 100, 1_000, 10_000] {
        measure_queue(count);
    }
    println!("members: microseconds for a heartbeat and for a share");
    for count in [7, 70, 350, 1_100] {
        measure_members(count)?;
    }
    println!("settings: microseconds to apply one change, kibibytes of the replica");
    for count in [5, 50, 500, 5_000] {
        measure_settings(count);
    }
    Ok(())
}

/// Returns the mean time of one round in microseconds.
pub fn time_us(rounds: u32, mut work: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..rounds).for_each(&mut work);
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Returns the resident set size of this process in kibibytes; 0 if it cannot be read.
pub fn read_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn measure_routing(count: usize) -> eyre::Result<()> {
    let before_kib = read_memory_kib();
    let upstreams = (0..count)
        .map(|number| {
            Ok(UpstreamSettings {
                instance: format!("engine-{number}"),
                service: "desk".to_owned(),
                availability_zone: format!("zone-{}", number % 9),
                address: "127.0.0.1:8000".parse()?,
                concurrency: 32,
                machine_class: MachineClass::Reclaimable,
                checks_fencing: true,
                desired_state: None,
            })
        })
        .collect::<eyre::Result<Vec<UpstreamSettings>>>()?;
    let mut table = UpstreamTable::new("zone-0");
    table.set_upstreams(&upstreams);
    let mut router = PrefixRouter::new();
    let prompts: Vec<PrefixBlocks> = (0..64)
        .map(|number| PrefixBlocks::from_prompt(format!("{number} ").repeat(600).as_bytes()))
        .collect();
    let rounds = 2_000_000 / count.max(100) as u32;
    let us = time_us(rounds, |round| {
        let prefix = &prompts[round as usize % prompts.len()];
        if let Some(index) = table.acquire_slot(&mut router, prefix, &[], u64::from(round)) {
            table.release_slot(index, AttemptOutcome::Answered, u64::from(round));
        }
    });
    let kib = read_memory_kib().saturating_sub(before_kib);
    println!("{count:>7} upstreams {us:>10.2} us {kib:>8} KiB");
    Ok(())
}

fn measure_queue(count: u64) {
    let capacity =
        UpstreamCapacity { slots: 100, free_slots: 0, ms_per_token: 0.001, first_token_ms: 0 };
    let mut queue = FairQueue::new();
    let queued_request = |id: u64| {
        let organisation = format!("organisation-{}", id % 20);
        QueuedRequest::new(id, &organisation, &format!("caller-{}", id % 7), (id % 3) as u8)
            .with_cost(100 + id % 300)
    };
    for id in 0..count {
        let _ = queue.try_enqueue(queued_request(id), 0, capacity);
    }
    let us = time_us(20_000, |round| {
        let _ = queue.try_enqueue(queued_request(count + u64::from(round)), 0, capacity);
        queue.dequeue(0);
    });
    println!("{count:>7} waiting {us:>10.2} us");
}

fn measure_members(count: usize) -> eyre::Result<()> {
    let mut table = MemberTable::new("entry-0", "zone-0", 2_000);
    let heartbeats = (1..count)
        .map(|number| {
            Ok(Heartbeat {
                instance: format!("entry-{number}"),
                incarnation: 1,
                availability_zone: format!("zone-{}", number % 9),
                peer_address: "127.0.0.1:7080".parse()?,
                is_leaving: false,
                settings_digest: 0,
                demands: vec![ServiceDemand { service: "desk".to_owned(), calls: 10 }],
                leaving_instances: Vec::new(),
            })
        })
        .collect::<eyre::Result<Vec<Heartbeat>>>()?;
    let heartbeat_us = time_us(20_000, |round| {
        let heartbeat = &heartbeats[round as usize % heartbeats.len()];
        table.record_heartbeat(heartbeat.clone(), u64::from(round) / 100);
    });
    let share_us = time_us(2_000, |_| {
        std::hint::black_box(table.share_permille("desk", 10, 200));
    });
    println!("{count:>7} members {heartbeat_us:>10.2} us {share_us:>10.2} us");
    Ok(())
}

fn measure_settings(count: u64) {
    let before_kib = read_memory_kib();
    let mut replica = SettingsReplica::new();
    let document = |number: u64, revision: u64| Document {
        revision,
        changes: VecDeque::new(),
        text: format!(
            "{{\"organisation\": \"o{number}\", \"callers\": [{{\"caller\": \"c\", \"key_hash\": \
             \"sha256:{number:064x}\"}}], \"policy\": {{\"share\": {revision}}}}}"
        ),
    };
    let name = |number: u64| DocumentName::Organisation(format!("o{number}"));
    for number in 0..count {
        replica.apply(&name(number), &document(number, 1));
    }
    let kib = read_memory_kib().saturating_sub(before_kib);
    let us = time_us(20, |round| {
        replica.apply(&name(1), &document(1, u64::from(round) + 2));
    });
    println!("{count:>7} organisations {us:>10.1} us {kib:>8} KiB");
}

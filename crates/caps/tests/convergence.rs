//! Replicas of a cap agree on what was used, whoever reports it and in whatever order.

use std::collections::BTreeMap;

use hickorycourse_caps::{CapLimits, SharedCap, UsageReport, epoch_at};
use hickorycourse_digest::{MemberDigest, OwnDigests, ZoneAggregator, ZoneDigest};
use proptest::prelude::*;

const ORGANISATION: &str = "dealer";
const ZONES: usize = 3;
const MEMBERS: usize = 9;
const AGGREGATORS: usize = 2;
const LIMITS: CapLimits = CapLimits {
    per_second: 1e6,
    burst: 1e6,
    allowance: 0.0,
    report_interval_ms: 1_200,
    window_ms: 8_000,
};

struct Member {
    cap: SharedCap,
    boot: u64,
    sequence: u64,
    own: OwnDigests,
    /// Units used by this start, by epoch.
    used: BTreeMap<u16, u64>,
}

impl Member {
    fn new(boot: u64, now_ms: u64) -> Self {
        Self {
            cap: SharedCap::new(LIMITS, MEMBERS, now_ms),
            boot,
            sequence: 0,
            own: OwnDigests::default(),
            used: BTreeMap::new(),
        }
    }
}

#[derive(Clone)]
enum Sent {
    Report(usize, MemberDigest),
    Sums(usize, ZoneDigest, u64),
}

struct Fleet {
    now_ms: u64,
    members: Vec<Member>,
    aggregators: Vec<[ZoneAggregator; AGGREGATORS]>,
    boots: u64,
    /// Messages that may arrive once more, and late.
    sent: Vec<Sent>,
    /// Units of starts that have ended, by epoch.
    ended: BTreeMap<u16, u64>,
    /// Units that those starts had used in the epoch in which they ended.
    lost_at_most: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now_ms: 10_000,
            members: (0..MEMBERS).map(|_| Member::new(1, 0)).collect(),
            aggregators: (0..ZONES).map(|_| Default::default()).collect(),
            boots: 1,
            sent: Vec::new(),
            ended: BTreeMap::new(),
            lost_at_most: 0,
        }
    }

    fn use_units(&mut self, member: usize, units: u64) {
        let member = &mut self.members[member];
        member.cap.set_wall_time(self.now_ms);
        if member.cap.try_acquire(units as f64, 0, MEMBERS, self.now_ms).is_ok() {
            *member.used.entry(epoch_at(self.now_ms)).or_default() += units;
        }
    }

    fn digest(&mut self, number: usize) -> MemberDigest {
        let member = &mut self.members[number];
        member.sequence += 1;
        let digest = MemberDigest {
            instance: format!("relay-{number}"),
            boot: member.boot,
            availability_zone: format!("zone-{}", number % ZONES),
            peer_address: "127.0.0.1:7000".parse().expect("an address"),
            sender_wall_ms: 0,
            cap_usage: BTreeMap::from([(
                ORGANISATION.to_owned(),
                member.cap.broadcast_usage(self.now_ms),
            )]),
            windows: Vec::new(),
            services: BTreeMap::new(),
            store_era: 0,
            version: None,
            departures: Vec::new(),
            committed_usage: Vec::new(),
            // Differs between starts.
            sequence: member.boot * 1_000 + member.sequence,
            quarantine: Default::default(),
            limits: Vec::new(),
            is_stopping: false,
            part: Default::default(),
            tolerances: Vec::new(),
            decides_caps: false,
        };
        member.own.record(digest.clone());
        digest
    }

    fn report(&mut self, number: usize, aggregator: usize) {
        let digest = self.digest(number);
        self.sent.push(Sent::Report(aggregator, digest.clone()));
        self.aggregators[number % ZONES][aggregator].record(digest, self.now_ms);
    }

    /// Sends the sums of an aggregator to all members of a zone.
    fn send_sums(&mut self, zone: usize, aggregator: usize, to_zone: usize) {
        let mut sums = ZoneDigest::new(&format!("zone-{zone}"), &format!("{aggregator}"), 1);
        self.aggregators[zone][aggregator].sum_into(&mut sums, self.now_ms);
        self.sent.push(Sent::Sums(to_zone, sums.clone(), self.now_ms));
        self.apply_sums(to_zone, &sums, self.now_ms);
    }

    fn apply_sums(&mut self, to_zone: usize, sums: &ZoneDigest, made_at_ms: u64) {
        for (number, member) in self.members.iter_mut().enumerate() {
            if number % ZONES != to_zone {
                continue;
            }
            let mut sums = sums.clone();
            let is_own = sums.availability_zone == format!("zone-{to_zone}");
            if is_own && !member.own.subtract_from(&mut sums, &format!("relay-{number}")) {
                continue;
            }
            apply(member, None, &sums.availability_zone, &sums.cap_usage, made_at_ms, self.now_ms);
        }
    }

    /// Sends a member's report to all others.
    fn broadcast(&mut self, number: usize) {
        let digest = self.digest(number);
        for (other, member) in self.members.iter_mut().enumerate() {
            if other != number {
                let peer = Some((digest.instance.as_str(), digest.boot));
                let zone = &digest.availability_zone;
                apply(member, peer, zone, &digest.cap_usage, self.now_ms, self.now_ms);
            }
        }
    }

    fn repeat(&mut self, index: usize) {
        let Some(sent) = self.sent.get(index % self.sent.len().max(1)).cloned() else { return };
        match sent {
            Sent::Report(aggregator, digest) => {
                let zone = digest.availability_zone.trim_start_matches("zone-").parse::<usize>();
                let zone = zone.expect("a number");
                self.aggregators[zone][aggregator].record(digest, self.now_ms);
            }
            Sent::Sums(to_zone, sums, made_at_ms) => self.apply_sums(to_zone, &sums, made_at_ms),
        }
    }

    fn restart(&mut self, number: usize) {
        self.boots += 1;
        let ended =
            std::mem::replace(&mut self.members[number], Member::new(self.boots, self.now_ms));
        self.lost_at_most += ended.used.get(&epoch_at(self.now_ms)).copied().unwrap_or_default();
        for (epoch, units) in ended.used {
            *self.ended.entry(epoch).or_default() += units;
        }
    }

    /// Lets all messages arrive.
    fn settle(&mut self) {
        for number in 0..MEMBERS {
            (0..AGGREGATORS).for_each(|aggregator| self.report(number, aggregator));
        }
        for (zone, to_zone) in (0..ZONES).flat_map(|zone| (0..ZONES).map(move |to| (zone, to))) {
            (0..AGGREGATORS).for_each(|aggregator| self.send_sums(zone, aggregator, to_zone));
        }
    }

    /// Units used, and those that a member knows of, over all epochs.
    fn used_and_known(&self, number: usize) -> (u64, u64) {
        let member = &self.members[number];
        let epochs = 0..=epoch_at(self.now_ms);
        let known: u64 = epochs.map(|epoch| member.cap.peers_used(epoch)).sum();
        let own: u64 = member.used.values().sum();
        let of_all = self.members.iter().flat_map(|member| member.used.values());
        (of_all.chain(self.ended.values()).sum(), known + own)
    }

    fn step(&mut self, (action, number, units): (u8, usize, u64), may_restart: bool) {
        self.now_ms += units % 16;
        let (member, zone) = (number % MEMBERS, number % ZONES);
        let (aggregator, to_zone) = (units as usize % AGGREGATORS, units as usize % ZONES);
        match action {
            0..=2 => self.use_units(member, units),
            3..=5 => self.report(member, aggregator),
            6..=7 => self.send_sums(zone, aggregator, to_zone),
            8 => self.aggregators[zone][aggregator] = ZoneAggregator::default(),
            9 => self.repeat(number),
            10 => self.broadcast(member),
            11 => self.members[member].cap.clear_rates(),
            _ if may_restart => self.restart(member),
            _ => {}
        }
    }
}

fn apply(
    member: &mut Member,
    peer: Option<(&str, u64)>,
    zone: &str,
    usage: &BTreeMap<String, Vec<(u16, u64, u64)>>,
    reported_at_ms: u64,
    now_ms: u64,
) {
    let report = UsageReport {
        availability_zone: zone,
        peer,
        instances: 1,
        usage: usage.get(ORGANISATION).map_or(&[][..], Vec::as_slice),
        reported_at_ms,
    };
    member.cap.apply_report(&report, now_ms);
}

fn steps() -> impl Strategy<Value = Vec<(u8, usize, u64)>> {
    proptest::collection::vec((0_u8..13, 0_usize..1_000, 1_u64..200), 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    // Reports are lost, repeated and reordered, aggregators start anew, and the members switch between
    // reports to all and to aggregators.
    #[test]
    fn replicas_know_all_that_was_used_once_messages_arrive(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step, false);
        }
        fleet.settle();
        for number in 0..MEMBERS {
            let (used, known) = fleet.used_and_known(number);
            prop_assert_eq!(known, used, "member {}", number);
        }
    }

    // Members restart, too. What a start has used in the epoch in which it ended may never be known, and hide
    // as much of the use of others in its zone; nothing is counted twice.
    #[test]
    fn replicas_miss_at_most_the_last_epoch_of_ended_starts(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step, true);
        }
        fleet.settle();
        for number in (0..MEMBERS).filter(|number| fleet.members[*number].boot == 1) {
            let (used, known) = fleet.used_and_known(number);
            prop_assert!(known <= used, "member {}: {} of {}", number, known, used);
            prop_assert!(
                known + 2 * fleet.lost_at_most >= used,
                "member {}: {} of {}, {} lost at most", number, known, used, fleet.lost_at_most
            );
        }
    }
}

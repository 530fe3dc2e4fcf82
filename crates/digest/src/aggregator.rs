//! Sums of the digests of one availability zone.
//!
//! Load pattern: a fleet of hundreds of instances, each of which sees a few requests a second. What one
//! instance observes itself says next to nothing, and digests from each to each other arrive too rarely
//! and cost more with each instance.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use hickorycourse_caps::{CapTotals, DECIDERS_PER_ZONE, EpochUsage};
use hickorycourse_duties::{FleetUsage, UsageSource, WindowCounts};
use hickorycourse_overload::WorkCounts;

use crate::message::{LoadCounts, MemberDigest, MemberMark, ServiceDigest, ZoneDigest};
use crate::ranking::{AGGREGATORS_PER_ZONE, rank_aggregators};

/// Time without a digest after which a member's load no longer counts.
const MEMBER_SILENCE_MS: u64 = 2_500;
/// Time without a digest after which a member does not decide on caps any more. Those who claim from it
/// notice its loss sooner.
const DECIDER_SILENCE_MS: u64 = 6_000;
/// Time without a digest of any member after which most of them may have been silent for another reason than
/// their own.
const STANDSTILL_MS: u64 = 1_000;
/// Time after the first digest, or a standstill, in which not all members have been heard.
const SETTLING_MS: u64 = 1_500;
/// Time without a digest after which a member is forgotten.
const MEMBER_EXPIRY_MS: u64 = 30_000;
/// Time after its last digest for which the use of caps by a start stays in the sums. Those who have
/// received them keep it.
const CAP_USAGE_RETENTION_MS: u64 = 10_000;
/// Starts of a member whose late digests are recognised.
const MAX_STARTS: usize = 5;
/// Earlier starts, of all members together, whose use of caps is kept.
const MAX_FORMER_STARTS: usize = 256;
/// Members that are kept; more than a zone has.
const MAX_MEMBERS: usize = 4_096;
/// Usage windows in a digest: those that a new holder of the duties may still have to report.
const WINDOWS_PER_DIGEST: usize = 6;
/// Windows after which the usage of a member's earlier start is forgotten.
const USAGE_WINDOWS: u64 = 10;
/// Departures and committed reports in a digest.
const MAX_NOTICES: usize = 32;
/// Speeds of upstreams in one digest, by service.
const SPEEDS_PER_DIGEST: usize = 16;
/// Spreads sequence numbers, whatever their steps (Knuth, The Art of Computer Programming, 6.4).
const TURN_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Units by organisation and epoch.
type CapSums<'a> = BTreeMap<&'a str, BTreeMap<u16, CapTotals>>;

/// The latest digest of one start of a member.
#[derive(Clone, Debug)]
struct Start {
    boot: u64,
    sequence: u64,
    received_at_ms: u64,
    cap_usage: BTreeMap<String, Vec<EpochUsage>>,
}

impl Start {
    fn is_cap_usage_sent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_at_ms) < CAP_USAGE_RETENTION_MS
    }
}

#[derive(Clone, Debug)]
struct Member {
    /// The digest that was received last.
    digest: MemberDigest,
    received_at_ms: u64,
    /// The latest starts. The use of caps is kept for each, as a late digest of an earlier start may
    /// arrive after one of the present start.
    starts: VecDeque<Start>,
}

/// Sums of the digests that an aggregator has received from the members of its zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneAggregator {
    members: BTreeMap<String, Member>,
    /// Starts of members that start again and again; their use of caps stays in the sums for a while.
    former_starts: VecDeque<Start>,
    /// Time of the latest digest.
    heard_at_ms: Option<u64>,
    settled_at_ms: u64,
    usage: FleetUsage,
}

impl ZoneAggregator {
    /// Records a digest. Returns false if it is not newer than one of the same start that has been
    /// recorded, or there are too many members.
    pub fn record(&mut self, digest: MemberDigest, now_ms: u64) -> bool {
        if self.heard_at_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > STANDSTILL_MS) {
            self.settled_at_ms = now_ms + SETTLING_MS;
        }
        self.heard_at_ms = Some(now_ms);
        let is_full = self.members.len() >= MAX_MEMBERS;
        let mut starts = match self.members.get_mut(&digest.instance) {
            None if is_full => return false,
            None => VecDeque::new(),
            Some(known) => {
                let is_old =
                    |start: &Start| start.boot == digest.boot && digest.sequence <= start.sequence;
                if known.starts.iter().any(is_old) {
                    return false;
                }
                std::mem::take(&mut known.starts)
            }
        };
        starts.retain(|start| start.boot != digest.boot);
        starts.push_back(Start {
            boot: digest.boot,
            sequence: digest.sequence,
            received_at_ms: now_ms,
            cap_usage: digest.cap_usage.clone(),
        });
        if starts.len() > MAX_STARTS
            && let Some(former) = starts.pop_front()
        {
            self.former_starts.push_back(former);
            if self.former_starts.len() > MAX_FORMER_STARTS {
                self.former_starts.pop_front();
            }
        }
        let source = UsageSource {
            availability_zone: &digest.availability_zone,
            process: Some((&digest.instance, digest.boot)),
        };
        self.usage.merge(&source, &digest.windows);
        let name = digest.instance.clone();
        self.members.insert(name, Member { digest, received_at_ms: now_ms, starts });
        true
    }

    /// Discards members that have been silent for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.members
            .retain(|_, member| now_ms.saturating_sub(member.received_at_ms) < MEMBER_EXPIRY_MS);
        self.former_starts.retain(|start| start.is_cap_usage_sent(now_ms));
        if let Some(newest) = self.usage.newest_window() {
            self.usage.evict_before(newest.saturating_sub(USAGE_WINDOWS));
        }
    }

    /// Chooses the members that decide on caps; none while not all have been heard. Aggregators have enough to
    /// do where there are others.
    fn choose_deciders(&self, now_ms: u64) -> Vec<(String, SocketAddr)> {
        if now_ms < self.settled_at_ms {
            return Vec::new();
        }
        let is_heard =
            |member: &Member| now_ms.saturating_sub(member.received_at_ms) < DECIDER_SILENCE_MS;
        let heard = self.members.iter().filter(|(_, member)| is_heard(member));
        let ranked = rank_aggregators(heard.map(|(name, _)| name.as_str()));
        let skipped = match ranked.len() >= AGGREGATORS_PER_ZONE + DECIDERS_PER_ZONE {
            true => AGGREGATORS_PER_ZONE,
            false => 0,
        };
        let digests = ranked.iter().skip(skipped).filter_map(|name| self.members.get(*name));
        let digests = digests.map(|member| &member.digest).filter(|digest| digest.decides_caps);
        let deciders = digests.map(|digest| (digest.instance.clone(), digest.peer_address));
        deciders.take(DECIDERS_PER_ZONE).collect()
    }

    /// Adds the sums to `digest`, which names the aggregator.
    pub fn sum_into(&self, digest: &mut ZoneDigest, now_ms: u64) {
        let silence_ms = |member: &Member| now_ms.saturating_sub(member.received_at_ms);
        let mut cap_sums = CapSums::new();
        let starts = self.members.values().flat_map(|member| &member.starts);
        for start in self.former_starts.iter().chain(starts) {
            if start.is_cap_usage_sent(now_ms) {
                add_cap_usage(&mut cap_sums, &start.cap_usage);
            }
        }
        let mut services: BTreeMap<&str, ServiceSums<'_>> = BTreeMap::new();
        for member in self.members.values() {
            if silence_ms(member) >= MEMBER_SILENCE_MS {
                continue;
            }
            digest.instances += 1;
            digest.members.push(mark(member, silence_ms(member)));
            digest.store_era = digest.store_era.max(member.digest.store_era);
            add_notices(digest, &member.digest);
            for (service, sums) in &member.digest.services {
                services.entry(service).or_default().add(sums);
            }
        }
        digest.cap_usage = cap_sums
            .into_iter()
            .map(|(organisation, sums)| {
                let usage = sums.into_iter();
                let usage = usage.map(|(epoch, totals)| (epoch, totals.used, totals.refused));
                (organisation.to_owned(), usage.collect())
            })
            .collect();
        digest.deciders = self.choose_deciders(now_ms);
        digest.windows = self.usage.newest_totals(WINDOWS_PER_DIGEST);
        let services = services.into_iter();
        digest.services = services
            .map(|(service, sums)| (service.to_owned(), sums.into_digest(digest.sequence)))
            .collect();
    }
}

fn mark(member: &Member, age_ms: u64) -> MemberMark {
    (member.digest.instance.clone(), member.digest.sequence, age_ms)
}

fn add_notices(digest: &mut ZoneDigest, member: &MemberDigest) {
    for departure in &member.departures {
        if digest.departures.len() < MAX_NOTICES && !digest.departures.contains(departure) {
            digest.departures.push(departure.clone());
        }
    }
    for report in &member.committed_usage {
        let is_known = |known: &WindowCounts| known.window == report.window;
        if digest.committed_usage.len() < MAX_NOTICES
            && !digest.committed_usage.iter().any(is_known)
        {
            digest.committed_usage.push(report.clone());
        }
    }
}

fn add_cap_usage<'a>(sums: &mut CapSums<'a>, usage: &'a BTreeMap<String, Vec<EpochUsage>>) {
    for (organisation, epochs) in usage {
        let sums = sums.entry(organisation).or_default();
        for (epoch, used, refused) in epochs {
            let sum = sums.entry(*epoch).or_default();
            sum.used = sum.used.saturating_add(*used);
            sum.refused = sum.refused.saturating_add(*refused);
        }
    }
}

/// Sums of the load on the upstreams of a service.
#[derive(Default)]
struct ServiceSums<'a> {
    arrived_tokens_per_ms: f64,
    sent_tokens_per_ms: BTreeMap<u8, f64>,
    loads: BTreeMap<&'a str, UpstreamSums>,
    speeds: BTreeMap<&'a str, (u32, i32)>,
    work: Option<WorkCounts>,
}

#[derive(Default)]
struct UpstreamSums {
    running: u64,
    answering: u64,
    waiting: BTreeMap<u8, (u64, u64)>,
}

impl<'a> ServiceSums<'a> {
    fn add(&mut self, digest: &'a ServiceDigest) {
        self.arrived_tokens_per_ms += digest.arrived_tokens_per_ms;
        for (rank, rate) in &digest.sent_tokens_per_ms {
            *self.sent_tokens_per_ms.entry(*rank).or_default() += rate;
        }
        if let Some(work) = &digest.work {
            self.work.get_or_insert_default().add(work);
        }
        for (upstream, running, answering, waiting) in &digest.loads {
            let sums = self.loads.entry(upstream).or_default();
            sums.running = sums.running.saturating_add(*running);
            sums.answering = sums.answering.saturating_add(*answering);
            for (rank, requests, tokens) in waiting {
                let sum = sums.waiting.entry(*rank).or_default();
                *sum = (sum.0.saturating_add(*requests), sum.1.saturating_add(*tokens));
            }
        }
        for (upstream, weight, log_sum) in &digest.speeds {
            let sum = self.speeds.entry(upstream).or_default();
            *sum = (sum.0.saturating_add(*weight), sum.1.saturating_add(*log_sum));
        }
    }

    /// Returns the digest with this sequence number. Speeds are told in turn, as they change slowly and there is
    /// one for each upstream.
    fn into_digest(self, sequence: u64) -> ServiceDigest {
        let turns = self.speeds.len().div_ceil(SPEEDS_PER_DIGEST).max(1);
        let turn = sequence.wrapping_mul(TURN_FACTOR) >> 32;
        let first = (turn % turns as u64) as usize;
        let told = self.speeds.into_iter().skip(first).step_by(turns);
        let into_counts = |(upstream, sums): (&str, UpstreamSums)| -> LoadCounts {
            let waiting = sums.waiting.into_iter();
            let waiting = waiting.map(|(rank, (requests, tokens))| (rank, requests, tokens));
            (upstream.to_owned(), sums.running, sums.answering, waiting.collect())
        };
        ServiceDigest {
            arrived_tokens_per_ms: self.arrived_tokens_per_ms,
            sent_tokens_per_ms: self.sent_tokens_per_ms,
            loads: self.loads.into_iter().map(into_counts).collect(),
            speeds: told
                .map(|(upstream, (weight, log_sum))| (upstream.to_owned(), weight, log_sum))
                .collect(),
            work: self.work,
        }
    }
}

//! Load, health and cache state of one upstream.

use std::cell::Cell;
use std::net::SocketAddr;

use hickorycourse_facts::{IgnoredReport, UpstreamFacts, UpstreamLoad};
use hickorycourse_routes::{UpstreamEntry, UpstreamPhase};
use hickorycourse_routing::PrefixIndex;

use crate::backoff::Backoff;
use crate::health::{AttemptOutcome, Health};
use crate::limit::UpstreamLimit;
use crate::pace::Pace;
use crate::request::PlacementRequest;
use crate::slot_use::SlotUse;
use crate::table::Placement;

/// Capacity of the prefix index of an upstream, in prompt parts; engines cache a few hundred.
const PREFIX_INDEX_CAPACITY: usize = 4_096;
/// Age up to which the upstream's own report advertises the free slots.
const MAX_SLOT_REPORT_AGE_MS: u64 = 300;

/// One upstream of a service.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    pub(crate) availability_zone: String,
    pub(crate) slots: u64,
    pub(crate) is_leaving: bool,
    /// Version of its software, if it is known.
    pub(crate) version: Option<String>,
    /// Its load and speed.
    pub(crate) facts: UpstreamFacts,
    pub(crate) health: Health,
    pub(crate) backoff: Backoff,
    pub(crate) pace: Pace,
    /// Its rate limit, if it has named one.
    pub(crate) limit: Option<UpstreamLimit>,
    /// Use of its slots, which is limited while it can turn few requests away.
    pub(crate) slot_use: SlotUse,
    pub(crate) prefix_index: PrefixIndex,
    /// What it is short of its share in the requests of this instance; `None` before the first.
    pub(crate) credit: Cell<Option<f64>>,
}

impl Upstream {
    /// Creates an upstream without load or history.
    pub(crate) fn new(entry: &UpstreamEntry) -> Self {
        let mut upstream = Self {
            address: entry.address,
            availability_zone: entry.availability_zone.clone(),
            slots: 1,
            is_leaving: false,
            version: None,
            facts: UpstreamFacts::default(),
            health: Health::default(),
            backoff: Backoff::default(),
            pace: Pace::default(),
            limit: None,
            slot_use: SlotUse::default(),
            prefix_index: PrefixIndex::new(PREFIX_INDEX_CAPACITY),
            credit: Cell::default(),
        };
        upstream.update(entry);
        upstream
    }

    /// Applies the fields of its entry that can change during its lifetime.
    pub(crate) fn update(&mut self, entry: &UpstreamEntry) {
        self.slots = entry.slots.max(1);
        self.is_leaving = entry.phase == UpstreamPhase::Leaving;
        self.version.clone_from(&entry.version);
    }

    /// Load from the requests of this instance.
    pub(crate) fn load(&self) -> UpstreamLoad {
        self.facts.load.own()
    }

    /// Records that a request is sent.
    pub(crate) fn begin_request(&mut self, placement: &Placement, now_ms: u64) {
        self.backoff.record_request(now_ms);
        self.facts.load.begin_request(placement.urgency, placement.uncached_tokens);
        self.slot_use.begin(placement.is_lent, now_ms);
    }

    /// Records the first byte of a response.
    pub(crate) fn begin_response(&mut self, is_lent: bool) {
        self.facts.load.begin_response();
        if is_lent {
            self.slot_use.settle_lent();
        }
    }

    /// Records the end of a request whose first byte has arrived if `has_first_byte`.
    pub(crate) fn end_request(
        &mut self,
        placement: &Placement,
        has_first_byte: bool,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        self.facts.load.end_request(has_first_byte);
        self.health.record(outcome, now_ms);
        if placement.is_lent && !has_first_byte {
            self.slot_use.settle_lent();
        }
        let is_given_up = matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::Silent | AttemptOutcome::Unresponsive
        );
        self.slot_use.end(is_given_up, outcome == AttemptOutcome::Refused, now_ms);
    }

    /// Slots that requests of this instance occupy.
    pub(crate) fn occupied(&self, now_ms: u64) -> u64 {
        self.facts.load.running() + self.slot_use.count_lingering(now_ms)
    }

    /// Requests in flight by its latest report, and the time of that; `None` without a recent one.
    pub(crate) fn reported_in_flight(&self, now_ms: u64) -> Option<(u64, u64)> {
        let report = self.facts.load.report()?;
        let is_recent = report.age_ms(now_ms) <= MAX_SLOT_REPORT_AGE_MS;
        let in_flight = self.slot_use.update_reported(report.in_flight());
        is_recent.then_some((in_flight, report.at_ms))
    }

    /// Whether it is neither draining nor ejected, has no probe in flight, has not requested a backoff, and
    /// takes requests without a further permit.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.is_sound(now_ms) && self.has_permit(now_ms)
    }

    /// As [`is_usable`](Self::is_usable), also without a permit.
    pub(crate) fn is_sound(&self, now_ms: u64) -> bool {
        let has_probe_in_flight = self.health.is_probing() && self.facts.load.running() > 0;
        !self.is_leaving
            && !self.health.is_ejected(now_ms)
            && !has_probe_in_flight
            && !self.backoff.is_active(now_ms)
    }

    /// Whether it has named no limit, or a permit is left.
    pub(crate) fn has_permit(&self, now_ms: u64) -> bool {
        self.limit.as_ref().is_none_or(|limit| limit.has_spare(now_ms))
    }

    /// Whether a request may be sent to it at all: it is not draining, has named no limit or a permit is
    /// left, and within a backoff that it has requested a probe is due.
    pub(crate) fn accepts_requests(&self, now_ms: u64) -> bool {
        self.has_permit(now_ms) && self.accepts_permitted(now_ms)
    }

    /// Whether a request with a permit may be sent to it.
    pub(crate) fn accepts_permitted(&self, now_ms: u64) -> bool {
        !self.is_leaving && (!self.backoff.is_active(now_ms) || self.backoff.may_probe(now_ms))
    }

    /// Estimated number of prompt tokens in its prefix cache, counted over the leading cached parts. The
    /// affinity upstream of a shared part is assumed to have it cached, as other instances send their
    /// requests there too.
    pub(crate) fn estimate_cached_tokens(
        &self,
        request: &PlacementRequest<'_>,
        is_affinity_upstream: bool,
    ) -> u64 {
        let shared = request.parts.len().saturating_sub(1);
        request
            .parts
            .iter()
            .enumerate()
            .take_while(|(index, part)| {
                self.prefix_index.contains(part.hash) || (is_affinity_upstream && *index < shared)
            })
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// Records a load report of the upstream itself.
    pub(crate) fn set_report(
        &mut self,
        running: u64,
        waiting: u64,
        now_ms: u64,
    ) -> Option<IgnoredReport> {
        let ignored = self.facts.load.set_report(running, waiting, self.slots, now_ms);
        if ignored.is_none() {
            self.slot_use.record_report(running + waiting, self.slots, now_ms);
        }
        ignored
    }

    /// Discards health, cache contents and load report after the upstream has restarted.
    pub(crate) fn reset(&mut self) {
        self.health = Health::default();
        self.backoff = Backoff::default();
        self.pace = Pace::default();
        self.limit = None;
        self.slot_use.reset();
        self.prefix_index.clear();
        self.credit = Cell::default();
        self.facts.reset();
    }
}

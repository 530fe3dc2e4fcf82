//! Placement by the end of a streamed response rather than its first byte alone.
//!
//! Load pattern: long responses beside short ones on upstreams of different speed. A long response that
//! begins soon at a slow upstream is still being generated at its deadline, while a short one would have ended
//! there in time.

use hickorycourse_completion::{Completion, CompletionModel, UsableHint, WorkEstimate};
use hickorycourse_facts::{LoadEstimate, SpeedShare};

use crate::request::PlacementRequest;
use crate::table::{Placement, PlacementTable};
use crate::upstream::Upstream;

/// Number of upstreams whose speeds an instance reports to its peers.
const MAX_REPORTED_SPEEDS: usize = 16;
/// Smallest weight that is reported to peers.
const MIN_REPORTED_WEIGHT: f64 = 0.25;

/// When the end of a response counts in the choice of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CompletionRule {
    /// Once the upstreams report the pace of their hosts, or have shown uneven speeds.
    #[default]
    Auto,
    /// Never; the baseline.
    Off,
}

/// What of a streamed request its end depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamedWork {
    /// Hash of the route, by which lengths are learned.
    pub route: u64,
    /// The caller's estimate of the number of output tokens; `None` if not stated.
    pub hint_tokens: Option<u64>,
    /// Time until the deadline of the response.
    pub left_ms: u64,
}

impl StreamedWork {
    fn hint(&self) -> Option<UsableHint> {
        self.hint_tokens.and_then(UsableHint::new)
    }
}

/// What is learned of the ends of a service's responses.
#[derive(Debug, Default)]
pub(crate) struct CompletionState {
    rule: CompletionRule,
    model: CompletionModel,
    /// Whether an upstream has reported the pace of its host.
    has_reported_pace: bool,
}

impl CompletionState {
    pub(crate) fn record_reported_pace(&mut self) {
        self.has_reported_pace = true;
    }

    fn is_on(&self) -> bool {
        self.rule == CompletionRule::Auto && (self.has_reported_pace || self.model.pace.is_uneven())
    }

    /// Time that prefill takes at an upstream, relative to the usual time; 1 where the end of the response doesn't
    /// count.
    pub(crate) fn speed_factor(
        &self,
        request: &PlacementRequest<'_>,
        upstream: &Upstream,
        now_ms: u64,
    ) -> f64 {
        match request.streamed {
            Some(_) if self.is_on() => upstream.facts.speed.estimate(now_ms).factor(),
            _ => 1.0,
        }
    }

    /// Estimates the work of a request; `None` if its end doesn't count or too little is known.
    pub(crate) fn estimate_work(&self, request: &PlacementRequest<'_>) -> Option<WorkEstimate> {
        let streamed = request.streamed.filter(|_| self.is_on())?;
        let length = self.model.estimate_length(streamed.route, streamed.hint())?;
        Some(WorkEstimate { length, left_ms: streamed.left_ms })
    }

    /// Forecasts the end of this work at an upstream with this load.
    pub(crate) fn forecast(
        &self,
        work: &WorkEstimate,
        upstream: &Upstream,
        load: &LoadEstimate,
        first_byte_ms: f64,
        now_ms: u64,
    ) -> Option<Completion> {
        let fill = (load.running + 1) as f64 / upstream.slots as f64;
        let speed = upstream.facts.speed.estimate(now_ms);
        self.model.forecast(work, first_byte_ms, fill, speed)
    }

    /// Cost of the end in milliseconds. A request that is not at risk pays for a fast upstream as far as others
    /// need one: it delays them there by up to `full_batch_ms`.
    pub(crate) fn cost_ms(&self, completion: &Completion, full_batch_ms: f64) -> f64 {
        let opportunity_ms = match completion.is_at_risk {
            true => 0.0,
            false => {
                let advantage = (1.0 - completion.speed_factor).max(0.0);
                self.model.risk_share() * advantage * full_batch_ms
            }
        };
        completion.risk_ms() + opportunity_ms
    }

    /// Records the forecast of a request that is sent.
    pub(crate) fn record_sent(&mut self, placement: &Placement) {
        if let Some(completion) = &placement.completion {
            self.model.record_risk(completion.is_at_risk);
        }
    }
}

impl PlacementTable {
    /// Sets when the end of a response counts.
    pub fn set_completion_rule(&mut self, rule: CompletionRule) {
        self.completion.rule = rule;
    }

    /// Records the pace of a stream's events in milliseconds per event. Returns whether it was used; one that
    /// can't be right is ignored.
    pub fn record_event_pace(&mut self, upstream: &str, pace_ms: f64, now_ms: u64) -> bool {
        let rate = self.latency.tokens_per_ms;
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return true };
        let load = upstream.facts.load.estimate(0, rate, upstream.slots, now_ms);
        let fill = load.running as f64 / upstream.slots as f64;
        let speed = upstream.facts.speed.estimate(now_ms);
        let log_factor = self.completion.model.pace.record(pace_ms, fill, speed);
        log_factor.is_some_and(|log_factor| upstream.facts.speed.record(log_factor, now_ms))
    }

    /// What this instance has observed of the speeds of upstreams: those that it knows best.
    pub fn own_speeds(&self, now_ms: u64) -> Vec<(&str, SpeedShare)> {
        if self.completion.rule == CompletionRule::Off {
            return Vec::new();
        }
        let known = self.upstreams.iter();
        let known = known.map(|(id, upstream)| (id.as_str(), upstream.facts.speed.own(now_ms)));
        let mut reported: Vec<_> =
            known.filter(|(_, share)| share.weight >= MIN_REPORTED_WEIGHT).collect();
        reported.sort_unstable_by(|(_, one), (_, other)| other.weight.total_cmp(&one.weight));
        reported.truncate(MAX_REPORTED_SPEEDS);
        reported
    }

    /// Records what a peer has observed of the speed of an upstream, itself or as a sum over instances. Returns
    /// whether it can be right; else it is ignored.
    pub fn set_peer_speed(
        &mut self,
        peer: &str,
        upstream: &str,
        share: SpeedShare,
        now_ms: u64,
    ) -> bool {
        let upstream = self.upstreams.get_mut(upstream);
        upstream.is_none_or(|upstream| upstream.facts.speed.set_peer(peer, share, now_ms))
    }

    /// Records the number of events of a response, which is complete or was cut at its deadline. Returns
    /// whether the hint could be right; others are ignored.
    pub fn record_length(&mut self, work: &StreamedWork, events: u64, is_complete: bool) -> bool {
        self.completion.model.record_length(work.route, work.hint(), events, is_complete);
        work.hint_tokens.is_none() || work.hint().is_some()
    }
}

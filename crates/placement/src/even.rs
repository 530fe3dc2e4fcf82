//! Even load over the upstreams of a service, by reports that are old.
//!
//! Load pattern: 6 to 300 instances choose among 4 to 100 upstreams at the same moment, and know the
//! others' requests as of 0.1 to 2 s ago. If each took the upstream with the lowest reported load, that
//! one would be overrun until the next reports arrive, while others idle.
//!
//! What is reported is reduced by what ends meanwhile. Of the requests that others have sent since, only the
//! total is known; they are taken to have filled the least loaded upstreams up to a common level, and new
//! requests are divided in proportion to what upstreams lack to that level
//! (Dahlin, Interpreting Stale Load Information, 2000). With fresh reports the level is just above the
//! lowest load, so that loads are compared directly; with old ones it is above all, and requests are spread
//! over the room that is left.

use hickorycourse_facts::{LoadSource, PresentLoad, REPORT_STALE_AFTER_MS};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::{Candidate, PlacementTable, RequestContext};
use crate::upstream::Upstream;

/// Largest number of upstreams that are compared for a request.
const MAX_CANDIDATES: usize = 64;
/// Weight of one request in the sums of durations, which span about thirty.
const DURATION_WEIGHT: f64 = 0.03;
/// Remaining time of a request in flight until durations have been measured.
const INITIAL_REMAINING_MS: f64 = 500.0;
/// Shortest estimate of the remaining time.
const MIN_REMAINING_MS: f64 = 1.0;
/// Smallest cost of one further request; with 0 an upstream would seem to have any room.
const MIN_STEP_MS: f64 = 0.01;
/// Difference of costs that are taken for equal.
const COST_TOLERANCE_MS: f64 = 1e-6;
/// Bits of a hash beyond the precision of a number from 0 to 1, and the range of the others.
const DRAW_SHIFT: u32 = 11;
const DRAW_RANGE: f64 = (1_u64 << 53) as f64;

/// A candidate upstream, as choice rules compare it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceCandidate {
    /// Cost in milliseconds with the requests that are known to be there, without what its prefix cache
    /// saves.
    pub load_ms: f64,
    /// Milliseconds by which one further request raises that cost.
    pub step_ms: f64,
    /// Milliseconds that its prefix cache saves this request.
    pub saved_ms: f64,
}

/// Rule by which requests are divided over upstreams where loads are known from reports of some age.
pub trait ChoiceRule: Send {
    /// Returns the share of each candidate in requests like this one; the shares add up to 1, or there are
    /// no candidates. `unreported` is the expected number of requests at all candidates together that others
    /// have sent since their reports.
    fn shares(&self, candidates: &[ChoiceCandidate], unreported: f64) -> Vec<f64>;
}

/// Divides requests in proportion to what upstreams lack to the common level.
#[derive(Clone, Copy, Debug, Default)]
pub struct EvenLoad;

impl ChoiceRule for EvenLoad {
    fn shares(&self, candidates: &[ChoiceCandidate], unreported: f64) -> Vec<f64> {
        let Some(level_ms) = find_level_ms(candidates, unreported + 1.0) else { return Vec::new() };
        let cost_ms =
            |candidate: &ChoiceCandidate| candidate.load_ms.max(level_ms) - candidate.saved_ms;
        let lowest_ms = candidates.iter().map(cost_ms).fold(f64::INFINITY, f64::min);
        let is_eligible =
            |candidate: &ChoiceCandidate| cost_ms(candidate) <= lowest_ms + COST_TOLERANCE_MS;
        let room = |candidate: &ChoiceCandidate| match is_eligible(candidate) {
            true => (level_ms - candidate.load_ms).max(0.0) / candidate.step_ms.max(MIN_STEP_MS),
            false => 0.0,
        };
        let total = candidates.iter().map(room).sum::<f64>();
        if total > 0.0 {
            return candidates.iter().map(|candidate| room(candidate) / total).collect();
        }
        only(candidates.len(), candidates.iter().position(is_eligible))
    }
}

/// Takes the lowest known cost, whatever the age of the reports; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LowestKnownCost;

impl ChoiceRule for LowestKnownCost {
    fn shares(&self, candidates: &[ChoiceCandidate], _: f64) -> Vec<f64> {
        let cost_ms = |candidate: &ChoiceCandidate| candidate.load_ms - candidate.saved_ms;
        let costs = candidates.iter().map(cost_ms).enumerate();
        let lowest = costs.min_by(|(_, one), (_, other)| one.total_cmp(other));
        only(candidates.len(), lowest.map(|(index, _)| index))
    }
}

/// Shares of `count` candidates of which one gets all.
fn only(count: usize, chosen: Option<usize>) -> Vec<f64> {
    (0..count).map(|index| f64::from(u8::from(Some(index) == chosen))).collect()
}

/// Returns the cost up to which `requests` fill the candidates, the least loaded ones first; `None` without
/// candidates.
fn find_level_ms(candidates: &[ChoiceCandidate], requests: f64) -> Option<f64> {
    let mut by_load: Vec<(f64, f64)> = candidates
        .iter()
        .map(|candidate| (candidate.load_ms, 1.0 / candidate.step_ms.max(MIN_STEP_MS)))
        .collect();
    by_load.sort_unstable_by(|(one, _), (other, _)| one.total_cmp(other));
    let (mut per_ms, mut below) = (0.0, 0.0);
    let mut level_ms = by_load.first()?.0;
    for (load_ms, requests_per_ms) in by_load {
        if per_ms > 0.0 && load_ms >= level_ms {
            break;
        }
        per_ms += requests_per_ms;
        below += load_ms * requests_per_ms;
        level_ms = (requests + below) / per_ms;
    }
    Some(level_ms)
}

/// How long requests in flight go on, as measured at those of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RemainingTime {
    in_flight: u64,
    changed_at_ms: u64,
    /// Decaying sum of the time that requests were in flight, also of those that still are.
    busy_ms: f64,
    /// Decaying number of requests that have ended.
    ended: f64,
    /// Decaying sums of the durations of those, and of their squares.
    durations_ms: f64,
    squares: f64,
}

impl RemainingTime {
    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.in_flight += 1;
    }

    /// Records the end of a request; `duration_ms` is `None` if it got no response.
    pub(crate) fn end(&mut self, duration_ms: Option<u64>, now_ms: u64) {
        self.advance(now_ms);
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(duration_ms) = duration_ms else { return };
        for sum in [&mut self.busy_ms, &mut self.ended, &mut self.durations_ms, &mut self.squares] {
            *sum *= 1.0 - DURATION_WEIGHT;
        }
        self.ended += 1.0;
        self.durations_ms += duration_ms as f64;
        self.squares += (duration_ms as f64).powi(2);
    }

    fn advance(&mut self, now_ms: u64) {
        self.busy_ms += (self.in_flight * now_ms.saturating_sub(self.changed_at_ms)) as f64;
        self.changed_at_ms = now_ms;
    }

    /// Expected remaining time, in milliseconds, of a request that is found in flight: long ones are found
    /// more often (mean residual life of a renewal process). The mean duration counts requests that have
    /// not ended yet, as the first ones to end are the short ones.
    pub(crate) fn mean_ms(&self) -> f64 {
        if self.durations_ms <= 0.0 {
            return INITIAL_REMAINING_MS;
        }
        let spread = self.squares * self.ended / (2.0 * self.durations_ms.powi(2));
        (self.busy_ms / self.ended * spread).max(MIN_REMAINING_MS)
    }
}

/// What the choice of an upstream was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEvidence {
    /// Where the load of other instances is known from.
    pub source: LoadSource,
    /// Age of that; `None` if it is not known.
    pub age_ms: Option<u64>,
    /// Requests that the upstream was expected to have.
    pub expected_requests: f64,
    /// Standard deviation of that number.
    pub deviation_requests: f64,
    /// Requests that others were expected to have sent to all candidates since their reports.
    pub unreported_requests: f64,
    /// Number of upstreams compared.
    pub candidates: usize,
}

impl PlacementTable {
    /// Chooses among the upstreams that list their slots by this rule. Without a rule, or without such upstreams, the
    /// lowest cost within a sample is chosen.
    pub fn with_choice_rule(mut self, choice_rule: Option<Box<dyn ChoiceRule>>) -> Self {
        self.choice_rule = choice_rule;
        self
    }

    /// As [`with_choice_rule`](Self::with_choice_rule), for a table in use.
    pub fn set_choice_rule(&mut self, choice_rule: Option<Box<dyn ChoiceRule>>) {
        self.choice_rule = choice_rule;
    }

    /// The rule, if it applies.
    pub(crate) fn choice_rule(&self) -> Option<&dyn ChoiceRule> {
        self.choice_rule.as_deref().filter(|_| self.has_slots)
    }

    /// Chooses by a rule among the usable upstreams.
    pub(crate) fn choose_by<'a>(
        &'a self,
        rule: &dyn ChoiceRule,
        context: &RequestContext<'_>,
        open: impl Fn(&(&'a String, &'a Upstream)) -> bool,
    ) -> Option<Candidate<'a>> {
        let usable = self.upstreams.iter().filter(open);
        let usable: Vec<_> =
            usable.filter(|(_, upstream)| upstream.is_usable(context.now_ms)).collect();
        let stride = usable.len().div_ceil(MAX_CANDIDATES).max(1);
        let offset = context.request.seed as usize % stride;
        let is_sampled = |(index, (id, _)): &(usize, (&String, &Upstream))| {
            index % stride == offset || context.affinity_upstream == Some(id.as_str())
        };
        let sampled = usable.into_iter().enumerate().filter(is_sampled);
        let digest_age_ms = self.digest_age_ms(context.now_ms);
        let remaining_ms = self.remaining_time.mean_ms();
        let known: Vec<KnownUpstream<'_>> = sampled
            .map(|(_, (id, upstream))| {
                let facts = &upstream.facts.load;
                let load = facts.present(remaining_ms, digest_age_ms, context.now_ms);
                (id, upstream, load)
            })
            .collect();
        let others_per_slot = find_others_per_slot(&known);
        let unreported = |(_, upstream, load): &KnownUpstream<'_>| {
            load.unreported(others_per_slot * upstream.slots as f64)
        };
        let unreported_requests = known.iter().map(unreported).sum::<f64>();
        let evaluated: Vec<_> = known
            .iter()
            .map(|(id, upstream, load)| self.evaluate_known(id, upstream, load, context))
            .collect();
        let compared: Vec<ChoiceCandidate> =
            evaluated.iter().map(|(_, candidate)| *candidate).collect();
        let shares = rule.shares(&compared, unreported_requests);
        let index = take_turn(&known, &shares, context.request.seed)?;
        let (_, upstream, load) = known.get(index)?;
        let (mut candidate, _) = evaluated.into_iter().nth(index)?;
        let arrived = load.unreported(others_per_slot * upstream.slots as f64);
        candidate.evidence = Some(LoadEvidence {
            source: load.source,
            age_ms: load.age_ms,
            expected_requests: load.known() + arrived,
            deviation_requests: load.deviation(arrived),
            unreported_requests,
            candidates: known.len(),
        });
        Some(candidate)
    }

    /// Evaluates an upstream with the requests that are known to be there.
    fn evaluate_known<'a>(
        &self,
        id: &'a str,
        upstream: &'a Upstream,
        load: &PresentLoad,
        context: &RequestContext<'_>,
    ) -> (Candidate<'a>, ChoiceCandidate) {
        let candidate = self.evaluate_with(id, upstream, Some(load.known()), context);
        let shared = context.request.shared_tokens().min(candidate.cached_tokens) as f64;
        let rate = self.latency.tokens_per_ms;
        let pace = upstream.pace.factor(context.now_ms);
        let saved_ms = pace * candidate.cached_tokens as f64 / rate
            + shared * (self.options.shared_weight - 1.0) / rate;
        let slots = upstream.slots as f64;
        let is_full = load.known() + 1.0 > slots;
        let queued_ms = if is_full { self.latency.idle_first_byte_ms } else { 0.0 };
        let step_ms = pace * (self.options.full_batch_ms + queued_ms) / slots;
        let load_ms = candidate.cost + saved_ms;
        (candidate, ChoiceCandidate { load_ms, step_ms, saved_ms })
    }

    /// Mean age of the latest loads that peers have reported; `None` if none is fresh.
    fn digest_age_ms(&self, now_ms: u64) -> Option<u64> {
        let ages = self.peer_loads_at_ms.values().map(|at_ms| now_ms.saturating_sub(*at_ms));
        let fresh: Vec<u64> = ages.filter(|age_ms| *age_ms < REPORT_STALE_AFTER_MS).collect();
        let total_ms = fresh.iter().sum::<u64>();
        total_ms.checked_div(fresh.len() as u64)
    }
}

type KnownUpstream<'a> = (&'a String, &'a Upstream, PresentLoad);

/// Returns the upstream whose turn it is by the shares (smooth weighted round-robin), which spreads an
/// instance's requests more evenly than independent draws. Instances begin at different turns.
fn take_turn(known: &[KnownUpstream<'_>], shares: &[f64], seed: u64) -> Option<usize> {
    let mut latest: Option<(usize, f64)> = None;
    for (index, ((id, upstream, _), share)) in known.iter().zip(shares).enumerate() {
        if *share <= 0.0 {
            continue;
        }
        let begun = || (xxh3_64_with_seed(id.as_bytes(), seed) >> DRAW_SHIFT) as f64 / DRAW_RANGE;
        let credit = upstream.credit.get().unwrap_or_else(begun) + share;
        upstream.credit.set(Some(credit));
        if latest.is_none_or(|(_, highest)| credit > highest) {
            latest = Some((index, credit));
        }
    }
    let (index, credit) = latest?;
    known[index].1.credit.set(Some(credit - 1.0));
    Some(index)
}

/// Requests of other instances for each slot of an upstream, by the reports.
fn find_others_per_slot(known: &[KnownUpstream<'_>]) -> f64 {
    let reported = known.iter().filter(|(_, _, load)| load.source != LoadSource::Unknown);
    let (requests, slots) = reported.fold((0.0, 0.0), |(requests, slots), (_, upstream, load)| {
        (requests + load.reported, slots + upstream.slots as f64)
    });
    if slots > 0.0 { requests / slots } else { 0.0 }
}

//! Load of one upstream, with the age of each source.

use std::collections::{BTreeMap, HashMap};

/// Age at which a load report, of the upstream itself or of a peer instance, is stale.
pub const REPORT_STALE_AFTER_MS: u64 = 1_500;
/// Requests at work that an upstream may report for each of its slots; the list of upstreams may be older
/// than the report.
const MAX_RUNNING_PER_SLOT: u64 = 4;
/// Waiting requests that an upstream may report.
const MAX_WAITING: u64 = 100_000;

/// Requests whose first byte is still outstanding.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingRequests {
    /// Number of requests.
    pub requests: u64,
    /// Uncached prompt tokens to prefill for them.
    pub tokens: u64,
}

/// Load on an upstream from the requests of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamLoad {
    /// Requests in flight.
    pub running: u64,
    /// Those of them whose first byte has arrived.
    pub answering: u64,
    /// Those of them whose first byte is outstanding, by rank.
    pub waiting: BTreeMap<u8, WaitingRequests>,
}

/// Estimated load on an upstream from all instances, as a new request of some rank finds it.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    /// Requests in flight.
    pub running: u64,
    /// Those of them whose first byte has arrived.
    pub answering: u64,
    /// Queued requests of the same or a more urgent rank, which are prefilled first.
    pub requests_ahead: f64,
    /// Uncached prompt tokens of those requests.
    pub tokens_ahead: f64,
    /// Uncached prompt tokens of queued requests of all ranks.
    pub tokens_of_all_ranks: f64,
}

/// Load report of the upstream itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u64,
    /// Requests that wait there.
    pub waiting: u64,
    /// Time at which the report arrived, in milliseconds.
    pub at_ms: u64,
    /// Requests of this instance at that time.
    pub own: u64,
}

impl LoadReport {
    /// Returns the requests of all instances in flight.
    pub fn in_flight(&self) -> u64 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns its age in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }
}

/// A load report that was not used, as no upstream with these slots can have this load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IgnoredReport {
    /// Whether it is the first one of this start of the upstream.
    pub is_first: bool,
}

/// Where the load of other instances is known from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LoadSource {
    /// No recent report.
    #[default]
    Unknown,
    /// Digests of the other instances.
    Digests,
    /// The latest report of the upstream.
    Upstream,
}

impl LoadSource {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Digests => "digests",
            Self::Upstream => "upstream",
        }
    }
}

/// Estimate of the requests at one upstream, from reports of known age.
///
/// Requests end independently of each other, so that those in flight at the time of a report become fewer
/// exponentially with its age, and new ones take their place (transient of an infinite-server queue).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PresentLoad {
    /// Requests of this instance; exact.
    pub own: u64,
    /// Requests of other instances, by the report.
    pub reported: f64,
    /// Those of them that are expected not to have ended since.
    pub remaining: f64,
    /// Fraction of the requests at the time of the report that is expected not to have ended since; 0
    /// without a report.
    pub remaining_fraction: f64,
    /// Where the load of other instances is known from.
    pub source: LoadSource,
    /// Mean age of the reports; `None` without one.
    pub age_ms: Option<u64>,
}

impl PresentLoad {
    /// Requests that are known to be in flight.
    pub fn known(&self) -> f64 {
        self.own as f64 + self.remaining
    }

    /// Expected number of requests in flight that others have sent since the report, where they usually
    /// have `usual` requests.
    pub fn unreported(&self, usual: f64) -> f64 {
        usual * (1.0 - self.remaining_fraction)
    }

    /// Standard deviation of the requests in flight, of which others have sent `unreported` since the
    /// report.
    pub fn deviation(&self, unreported: f64) -> f64 {
        (self.remaining * (1.0 - self.remaining_fraction) + unreported).sqrt()
    }
}

/// Last load that a peer instance reported.
#[derive(Clone, Debug)]
struct PeerLoad {
    load: UpstreamLoad,
    at_ms: u64,
}

impl PeerLoad {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) < REPORT_STALE_AFTER_MS
    }
}

/// What is known of the requests at one upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadFacts {
    /// Requests of this instance; ranks without requests are kept.
    own: UpstreamLoad,
    peers: HashMap<String, PeerLoad>,
    report: Option<LoadReport>,
    has_ignored_report: bool,
}

impl LoadFacts {
    /// Requests in flight from this instance.
    pub fn running(&self) -> u64 {
        self.own.running
    }

    /// Load from the requests of this instance.
    pub fn own(&self) -> UpstreamLoad {
        let present = self.own.waiting.iter().filter(|(_, waiting)| waiting.requests > 0);
        let waiting = present.map(|(urgency, waiting)| (*urgency, *waiting)).collect();
        UpstreamLoad { waiting, ..self.own }
    }

    /// Records that this instance sends a request.
    pub fn begin_request(&mut self, urgency: u8, uncached_tokens: u64) {
        self.own.running += 1;
        let waiting = self.own.waiting.entry(urgency).or_default();
        waiting.requests += 1;
        waiting.tokens += uncached_tokens;
    }

    /// Records that a request no longer waits for its first byte.
    pub fn end_wait(&mut self, urgency: u8, uncached_tokens: u64) {
        if let Some(waiting) = self.own.waiting.get_mut(&urgency) {
            waiting.requests = waiting.requests.saturating_sub(1);
            waiting.tokens = waiting.tokens.saturating_sub(uncached_tokens);
        }
    }

    /// Records the first byte of a response.
    pub fn begin_response(&mut self) {
        self.own.answering += 1;
    }

    /// Records the end of a request whose first byte has arrived if `has_first_byte`.
    pub fn end_request(&mut self, has_first_byte: bool) {
        self.own.running = self.own.running.saturating_sub(1);
        self.own.answering = self.own.answering.saturating_sub(u64::from(has_first_byte));
    }

    /// Records a load report of the upstream itself, which has this number of slots. One that can't be true is
    /// ignored; the one before holds until it is stale.
    pub fn set_report(
        &mut self,
        running: u64,
        waiting: u64,
        slots: u64,
        now_ms: u64,
    ) -> Option<IgnoredReport> {
        // An upstream that lists no slots counts as one with a single slot, whatever it can run.
        let max_running = match slots {
            0 | 1 => MAX_WAITING,
            _ => slots.saturating_mul(MAX_RUNNING_PER_SLOT),
        };
        if running > max_running || waiting > MAX_WAITING {
            let is_first = !std::mem::replace(&mut self.has_ignored_report, true);
            return Some(IgnoredReport { is_first });
        }
        self.report = Some(LoadReport { running, waiting, at_ms: now_ms, own: self.own.running });
        None
    }

    /// Returns the latest load report of the upstream itself, whatever its age.
    pub fn report(&self) -> Option<LoadReport> {
        self.report
    }

    /// Records the load that a peer instance reported.
    pub fn set_peer(&mut self, peer: &str, load: UpstreamLoad, now_ms: u64) {
        self.peers.insert(peer.to_owned(), PeerLoad { load, at_ms: now_ms });
    }

    /// Discards the load that a peer instance reported.
    pub fn clear_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Discards the load that all peers reported.
    pub fn clear_peers(&mut self) {
        self.peers.clear();
    }

    /// Discards the report of the upstream itself, after it has started again.
    pub fn reset(&mut self) {
        self.report = None;
        self.has_ignored_report = false;
    }

    /// Requests of all instances whose first byte has arrived.
    pub fn count_answering(&self, now_ms: u64) -> u64 {
        self.own.answering + self.fresh_peers(now_ms).map(|peer| peer.load.answering).sum::<u64>()
    }

    /// Names of the peers that have reported requests in flight.
    pub fn loading_peers(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let fresh = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.load.running > 0 && peer.is_fresh(now_ms));
        fresh.map(|(name, _)| name.as_str())
    }

    /// Estimates the load that a new request of this rank finds. Tokens reported by a peer are reduced
    /// by what the upstream can prefill at `rate` (tokens per millisecond) since that report. The
    /// upstream's own report raises the number of running requests by at most one full batch of `slots`.
    pub fn estimate(&self, urgency: u8, rate: f64, slots: u64, now_ms: u64) -> LoadEstimate {
        let ahead = sum_waiting(&self.own.waiting, urgency);
        let mut load = LoadEstimate {
            running: self.own.running,
            answering: self.own.answering,
            requests_ahead: ahead.requests as f64,
            tokens_ahead: ahead.tokens as f64,
            tokens_of_all_ranks: sum_waiting(&self.own.waiting, u8::MAX).tokens as f64,
        };
        for peer in self.fresh_peers(now_ms) {
            let prefilled = now_ms.saturating_sub(peer.at_ms) as f64 * rate;
            let remaining = |tokens: u64| (tokens as f64 - prefilled).max(0.0);
            let ahead = sum_waiting(&peer.load.waiting, urgency);
            let remaining_tokens = remaining(ahead.tokens);
            load.running = load.running.saturating_add(peer.load.running);
            load.answering = load.answering.saturating_add(peer.load.answering);
            load.requests_ahead +=
                ahead.requests as f64 * remaining_tokens / (ahead.tokens as f64).max(1.0);
            load.tokens_ahead += remaining_tokens;
            load.tokens_of_all_ranks += remaining(sum_waiting(&peer.load.waiting, u8::MAX).tokens);
        }
        let reported = self
            .report
            .filter(|report| report.age_ms(now_ms) < REPORT_STALE_AFTER_MS)
            .map_or(0, |report| report.in_flight());
        load.running = load.running.max(reported.min(load.running.saturating_add(slots)));
        load
    }

    /// Estimates the requests at present, of which one in flight goes on for `remaining_ms` on average.
    /// Peers that report no requests here count with the mean age of the latest digests.
    pub fn present(
        &self,
        remaining_ms: f64,
        digest_age_ms: Option<u64>,
        now_ms: u64,
    ) -> PresentLoad {
        let fraction = |age_ms: u64| (-(age_ms as f64) / remaining_ms).exp();
        let own = self.own.running;
        let report = self.report.filter(|report| report.age_ms(now_ms) < REPORT_STALE_AFTER_MS);
        let report = report.filter(|report| {
            digest_age_ms.is_none_or(|digest_age_ms| report.age_ms(now_ms) <= digest_age_ms)
        });
        if let Some(report) = report {
            let age_ms = report.age_ms(now_ms);
            let reported = report.in_flight().saturating_sub(report.own) as f64;
            return PresentLoad {
                own,
                reported,
                remaining: reported * fraction(age_ms),
                remaining_fraction: fraction(age_ms),
                source: LoadSource::Upstream,
                age_ms: Some(age_ms),
            };
        }
        let Some(digest_age_ms) = digest_age_ms else {
            return PresentLoad { own, ..PresentLoad::default() };
        };
        let mut load = PresentLoad {
            own,
            remaining_fraction: fraction(digest_age_ms),
            source: LoadSource::Digests,
            age_ms: Some(digest_age_ms),
            ..PresentLoad::default()
        };
        for peer in self.fresh_peers(now_ms) {
            let requests = peer.load.running as f64;
            load.reported += requests;
            load.remaining += requests * fraction(now_ms.saturating_sub(peer.at_ms));
        }
        load
    }

    fn fresh_peers(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peers.values().filter(move |peer| peer.is_fresh(now_ms))
    }
}

/// Total of this rank and the more urgent ones.
fn sum_waiting(waiting: &BTreeMap<u8, WaitingRequests>, urgency: u8) -> WaitingRequests {
    waiting.range(..=urgency).fold(WaitingRequests::default(), |sum, (_, waiting)| {
        WaitingRequests {
            requests: sum.requests + waiting.requests,
            tokens: sum.tokens + waiting.tokens,
        }
    })
}

//! The instance's own links to the upstreams.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::IteratorRandom;

/// Time after which a peer is asked too while the own dial is pending. Network latency is a few
/// milliseconds.
pub const PEER_DELAY_MS: u64 = 80;
/// Upstreams of a scope whose dials have failed without a success in between, from which the scope counts
/// as cut.
const MIN_FAILING_UPSTREAMS: usize = 2;
/// Time until the first probe of a link that has failed.
const MIN_PROBE_INTERVAL_MS: u64 = 200;
/// Longest interval between probes.
const MAX_PROBE_INTERVAL_MS: u64 = 1_000;
/// Time for which a success shows that the links to an availability zone work.
const SOUND_MS: u64 = 1_000;
/// Time for which a success shows that idle connections to an availability zone are not silent.
const PROVEN_MS: u64 = 200;
/// Time for which an upstream that no peer reaches either is dialled without peers.
const UNREACHABLE_MS: u64 = 1_000;
/// Time for which a new connection stays open before it is taken for more than accepted. A link that resets
/// what it accepts does so within the network latency.
pub const SETTLE_MS: u64 = 50;
/// Time after which a probe's connection that is still open ends a cut, so that one also ends without a
/// request that may be repeated.
pub const HOLD_MS: u64 = 1_000;
/// Time from a dial within which the end of its connection is taken for the link's.
const RESET_WITHIN_MS: u64 = 200;

/// An upstream, as far as its links depend on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamView<'a> {
    /// Identifier of the upstream.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Its availability zone.
    pub availability_zone: &'a str,
}

impl UpstreamView<'_> {
    /// Scopes that the upstream belongs to, the widest first.
    fn scopes(&self) -> [LinkScope; 3] {
        [
            LinkScope::All,
            LinkScope::AvailabilityZone(self.availability_zone.to_owned()),
            LinkScope::Service(self.service.to_owned()),
        ]
    }
}

/// Links that can be cut together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkScope {
    /// The links to all upstreams.
    All,
    /// The links to the upstreams in one availability zone.
    AvailabilityZone(String),
    /// The links to the upstreams of one service.
    Service(String),
    /// The link to one upstream.
    Upstream(String),
}

impl LinkScope {
    /// Returns the kind of the scope and the name within it, for logs.
    pub fn labels(&self) -> (&'static str, &str) {
        match self {
            Self::All => ("all", ""),
            Self::AvailabilityZone(name) => ("availability_zone", name),
            Self::Service(name) => ("service", name),
            Self::Upstream(name) => ("upstream", name),
        }
    }
}

/// A change of what is known of the own links.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// The links of a scope are cut.
    Cut(LinkScope),
    /// The links of a scope work again.
    Restored(LinkScope),
}

/// How an upstream is to be connected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DialPlan {
    /// Directly; peers can't help.
    Direct,
    /// Directly, and through a peer after this time or as soon as the direct dial fails. The first connection
    /// is used.
    DirectThenPeer {
        /// Time until a peer is asked.
        delay_ms: u64,
    },
    /// Directly and through a peer as in `DirectThenPeer`, to find out whether a link that is held cut brings a
    /// response.
    Trial {
        /// Time until a peer is asked.
        delay_ms: u64,
    },
    /// Through a peer.
    PeerFirst {
        /// Whether a direct dial is due beside it, to notice the end of the cut.
        is_probe_due: bool,
        /// Whether a direct dial is made if no peer opens a connection.
        may_dial_directly: bool,
    },
}

/// When a link that has failed is dialled again.
#[derive(Clone, Copy, Debug)]
struct Probe {
    due_at_ms: u64,
    interval_ms: u64,
}

impl Probe {
    fn new(now_ms: u64) -> Self {
        let interval_ms = MIN_PROBE_INTERVAL_MS;
        Self { due_at_ms: now_ms + interval_ms, interval_ms }
    }

    /// Returns whether a probe is due, and schedules the next one. The intervals are jittered, so that
    /// instances that were cut off together do not probe together.
    fn take_due(&mut self, random: &mut impl Rng, now_ms: u64) -> bool {
        if now_ms < self.due_at_ms {
            return false;
        }
        self.interval_ms = (self.interval_ms * 3 / 2).min(MAX_PROBE_INTERVAL_MS);
        self.due_at_ms = now_ms + random.random_range(self.interval_ms / 2..=self.interval_ms);
        true
    }
}

/// Links that are held cut until a connection that was opened afterwards brings a response.
#[derive(Clone, Copy, Debug)]
struct Cut {
    since_ms: u64,
    probe: Probe,
    /// Whether a request that may be repeated may try a link: a probe's connection has stayed open.
    is_trial_due: bool,
}

impl Cut {
    fn new(now_ms: u64) -> Self {
        Self { since_ms: now_ms, probe: Probe::new(now_ms), is_trial_due: false }
    }

    fn plan(
        &mut self,
        may_repeat: bool,
        may_dial_directly: bool,
        random: &mut impl Rng,
        now_ms: u64,
    ) -> DialPlan {
        if may_repeat && std::mem::take(&mut self.is_trial_due) {
            return DialPlan::Trial { delay_ms: PEER_DELAY_MS };
        }
        let is_probe_due = self.probe.take_due(random, now_ms);
        DialPlan::PeerFirst { is_probe_due, may_dial_directly }
    }
}

#[derive(Clone, Debug, Default)]
struct Link {
    /// Set from a failed direct dial until a response.
    failure: Option<Cut>,
    /// Whether the latest request on an open connection got no response in time.
    is_silent: bool,
    /// Time until which no peer is expected to reach the upstream either.
    unreachable_until_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct ScopeState {
    /// Upstreams whose dials have failed since the latest response in this scope.
    failing: BTreeSet<String>,
    /// Upstreams with silent connections since the latest response in this scope.
    silent: BTreeSet<String>,
    /// Set while the scope is cut.
    cut: Option<Cut>,
}

impl ScopeState {
    /// Returns whether what is open in this scope may have fallen silent.
    fn is_doubtful(&self) -> bool {
        self.cut.is_some() || self.silent.len() >= MIN_FAILING_UPSTREAMS
    }

    /// Takes back the failed dials of an upstream, which were not the link's. Returns whether that ends a cut: too few
    /// upstreams have failed without it.
    fn discount(&mut self, upstream: &str) -> bool {
        self.failing.remove(upstream);
        self.failing.len() < MIN_FAILING_UPSTREAMS && self.cut.take().is_some()
    }
}

/// Outcomes of the instance's own dials, by upstream.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<String, Link>,
    scopes: BTreeMap<LinkScope, ScopeState>,
    /// Time of the latest success by availability zone.
    succeeded_at_ms: BTreeMap<String, u64>,
    /// Time at which the open connections of a scope were last taken for silent.
    doubted_at_ms: BTreeMap<LinkScope, u64>,
}

impl LinkTable {
    /// Returns how to connect to an upstream. `has_peers` says whether there is a peer to ask, and `may_repeat`
    /// whether the request may be sent again if its connection is reset.
    pub fn plan(
        &mut self,
        upstream: &UpstreamView<'_>,
        has_peers: bool,
        may_repeat: bool,
        random: &mut impl Rng,
        now_ms: u64,
    ) -> DialPlan {
        if !has_peers {
            return DialPlan::Direct;
        }
        for scope in upstream.scopes() {
            let state = self.scopes.get_mut(&scope);
            if let Some(cut) = state.and_then(|state| state.cut.as_mut()) {
                return cut.plan(may_repeat, false, random, now_ms);
            }
        }
        let Some(link) = self.links.get_mut(upstream.id) else {
            return DialPlan::DirectThenPeer { delay_ms: PEER_DELAY_MS };
        };
        if now_ms < link.unreachable_until_ms {
            return DialPlan::Direct;
        }
        match &mut link.failure {
            Some(cut) => cut.plan(may_repeat, true, random, now_ms),
            None => DialPlan::DirectThenPeer { delay_ms: PEER_DELAY_MS },
        }
    }

    /// Returns which idle direct connections to an upstream may be used: those that were last used at this time
    /// or later; `None` for none. A request that is sent into a silent link is lost.
    pub fn usable_idle_since_ms(&self, upstream: &UpstreamView<'_>) -> Option<u64> {
        let link = self.links.get(upstream.id);
        if link.is_some_and(|link| link.failure.is_some() || link.is_silent) {
            return None;
        }
        let own = LinkScope::Upstream(upstream.id.to_owned());
        let mut since_ms = self.doubted_at_ms.get(&own).copied().unwrap_or(0);
        for scope in upstream.scopes() {
            if self.scopes.get(&scope).is_some_and(ScopeState::is_doubtful) {
                return None;
            }
            since_ms = since_ms.max(self.doubted_at_ms.get(&scope).copied().unwrap_or(0));
        }
        Some(since_ms)
    }

    /// Returns whether the links to several upstreams have fallen silent together, or are cut.
    pub fn is_doubtful(&self, upstream: &UpstreamView<'_>) -> bool {
        self.scopes.get(&LinkScope::All).is_some_and(ScopeState::is_doubtful)
            || self.find_cut(upstream).is_some()
    }

    /// Returns the widest scope of an upstream that is cut, or the upstream itself if its link has failed.
    pub fn find_cut(&self, upstream: &UpstreamView<'_>) -> Option<LinkScope> {
        let is_cut =
            |scope: &LinkScope| self.scopes.get(scope).is_some_and(|state| state.cut.is_some());
        upstream.scopes().into_iter().find(is_cut).or_else(|| {
            let link = self.links.get(upstream.id)?;
            link.failure.map(|_| LinkScope::Upstream(upstream.id.to_owned()))
        })
    }

    /// Returns whether a failed dial is more likely the upstream's fault than that of the own links: others in
    /// its availability zone were reached lately.
    pub fn is_sound(&self, upstream: &UpstreamView<'_>, now_ms: u64) -> bool {
        self.success_age_ms(upstream, now_ms) < SOUND_MS
    }

    /// Returns whether idle connections to an upstream can be relied on: its availability zone has responded
    /// just before. A new connection proves as much.
    pub fn is_proven(&self, upstream: &UpstreamView<'_>, now_ms: u64) -> bool {
        self.success_age_ms(upstream, now_ms) < PROVEN_MS
    }

    fn success_age_ms(&self, upstream: &UpstreamView<'_>, now_ms: u64) -> u64 {
        let at_ms = self.succeeded_at_ms.get(upstream.availability_zone);
        at_ms.map_or(u64::MAX, |at_ms| now_ms.saturating_sub(*at_ms))
    }

    fn record_success(&mut self, upstream: &UpstreamView<'_>, now_ms: u64) {
        match self.succeeded_at_ms.get_mut(upstream.availability_zone) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.succeeded_at_ms.insert(upstream.availability_zone.to_owned(), now_ms);
            }
        }
    }

    /// Returns when the next probe of a cut scope is due that no request needs to ask for; `None` if none is cut.
    pub fn next_probe_at_ms(&self) -> Option<u64> {
        self.probed_cuts().map(|(_, cut)| cut.probe.due_at_ms).min()
    }

    /// Returns an upstream to be probed if a probe of a scope that is cut is due, and schedules the next one. One whose
    /// dials have not failed comes first, as the failing ones may all have ended.
    pub fn take_due_probe<'a>(
        &mut self,
        upstreams: &[UpstreamView<'a>],
        random: &mut impl Rng,
        now_ms: u64,
    ) -> Option<UpstreamView<'a>> {
        let due = self.probed_cuts().find(|(_, cut)| cut.probe.due_at_ms <= now_ms);
        let scope = due.map(|(scope, _)| scope.clone())?;
        let state = self.scopes.get_mut(&scope)?;
        if let Some(cut) = &mut state.cut {
            cut.probe.take_due(random, now_ms);
        }
        let in_scope = || upstreams.iter().filter(|upstream| upstream.scopes().contains(&scope));
        let untried = in_scope().filter(|upstream| !state.failing.contains(upstream.id));
        untried.choose(random).or_else(|| in_scope().choose(random)).copied()
    }

    /// Cuts that are probed: the widest one alone, as the others are looked at after its end.
    fn probed_cuts(&self) -> impl Iterator<Item = (&LinkScope, &Cut)> {
        let cuts =
            self.scopes.iter().filter_map(|(scope, state)| Some((scope, state.cut.as_ref()?)));
        let are_all_cut = self.scopes.get(&LinkScope::All).is_some_and(|state| state.cut.is_some());
        cuts.filter(move |(scope, _)| !are_all_cut || **scope == LinkScope::All)
    }

    /// Records that a direct dial has failed, that its connection was reset before it brought anything, or that
    /// it is pending for so long that a peer was faster.
    pub fn record_dial_failure(
        &mut self,
        upstream: &UpstreamView<'_>,
        now_ms: u64,
    ) -> Vec<LinkChange> {
        let link = self.links.entry(upstream.id.to_owned()).or_default();
        link.failure.get_or_insert_with(|| Cut::new(now_ms)).is_trial_due = false;
        let mut changes = Vec::new();
        for scope in upstream.scopes() {
            let state = self.scopes.entry(scope.clone()).or_default();
            state.failing.insert(upstream.id.to_owned());
            if let Some(cut) = &mut state.cut {
                cut.is_trial_due = false;
            }
            if state.cut.is_none() && state.failing.len() >= MIN_FAILING_UPSTREAMS {
                state.cut = Some(Cut::new(now_ms));
                self.doubted_at_ms.insert(scope.clone(), now_ms);
                changes.push(LinkChange::Cut(scope));
            }
        }
        changes
    }

    /// Records that a direct connection ended before it brought anything. Soon after the dial, that counts as a
    /// failed one.
    pub fn record_break(
        &mut self,
        upstream: &UpstreamView<'_>,
        dialled_at_ms: u64,
        now_ms: u64,
    ) -> Vec<LinkChange> {
        match now_ms.saturating_sub(dialled_at_ms) < RESET_WITHIN_MS {
            true => self.record_dial_failure(upstream, now_ms),
            false => Vec::new(),
        }
    }

    /// Returns for how long a new connection is to stay open before a request is sent: [`SETTLE_MS`] if others have
    /// failed.
    pub fn settle_ms(&self, upstream: &UpstreamView<'_>) -> u64 {
        let is_failing = |scope: &LinkScope| {
            self.scopes.get(scope).is_some_and(|state| !state.failing.is_empty())
        };
        match upstream.scopes().iter().any(is_failing) || self.find_cut(upstream).is_some() {
            true => SETTLE_MS,
            false => 0,
        }
    }

    /// Records that a direct dial has succeeded. While dials of its scopes fail, no link is known to work by it:
    /// it may accept connections and reset them.
    pub fn record_dial_success(&mut self, upstream: &UpstreamView<'_>, now_ms: u64) {
        let mut has_failed = false;
        if let Some(link) = self.links.get_mut(upstream.id) {
            link.unreachable_until_ms = 0;
            has_failed = link.failure.is_some();
        }
        let is_calm =
            |scope: &LinkScope| self.scopes.get(scope).is_none_or(|state| state.failing.is_empty());
        if has_failed || !upstream.scopes().iter().all(is_calm) {
            return;
        }
        self.links.remove(upstream.id);
        for scope in upstream.scopes() {
            if let Some(state) = self.scopes.get_mut(&scope) {
                state.silent.clear();
            }
        }
        self.record_success(upstream, now_ms);
    }

    /// Records that a probe's connection has stayed open for [`SETTLE_MS`], so that a request that may be
    /// repeated may try the links.
    pub fn record_settled(&mut self, upstream: &UpstreamView<'_>) {
        if let Some(failure) =
            self.links.get_mut(upstream.id).and_then(|link| link.failure.as_mut())
        {
            failure.is_trial_due = true;
        }
        for scope in upstream.scopes() {
            if let Some(cut) = self.scopes.get_mut(&scope).and_then(|state| state.cut.as_mut()) {
                cut.is_trial_due = true;
            }
        }
    }

    /// Records that a response has begun on a direct connection that was dialled at `dialled_at_ms`, or that a
    /// probe's connection has stayed open for [`HOLD_MS`]. One from before a cut does not imply anything for new
    /// connections.
    pub fn record_response(
        &mut self,
        upstream: &UpstreamView<'_>,
        dialled_at_ms: u64,
        now_ms: u64,
    ) -> Vec<LinkChange> {
        self.record_success(upstream, now_ms);
        let mut changes = Vec::new();
        if let Some(link) = self.links.get_mut(upstream.id) {
            link.is_silent = false;
            if link.failure.is_some_and(|failure| failure.since_ms < dialled_at_ms) {
                self.links.remove(upstream.id);
                changes.push(LinkChange::Restored(LinkScope::Upstream(upstream.id.to_owned())));
            }
        }
        for scope in upstream.scopes() {
            let Some(state) = self.scopes.get_mut(&scope) else { continue };
            state.silent.clear();
            let Some(cut) = state.cut else {
                state.failing.clear();
                continue;
            };
            if cut.since_ms < dialled_at_ms {
                // The failures were those of the scope; its other links are tried again.
                for id in &state.failing {
                    self.links.remove(id);
                }
                self.scopes.remove(&scope);
                changes.push(LinkChange::Restored(scope));
            }
        }
        changes
    }

    /// Records that a request on a direct connection got no response in time.
    pub fn record_silence(&mut self, upstream: &UpstreamView<'_>, now_ms: u64) {
        self.links.entry(upstream.id.to_owned()).or_default().is_silent = true;
        self.doubted_at_ms.insert(LinkScope::Upstream(upstream.id.to_owned()), now_ms);
        for scope in upstream.scopes() {
            let state = self.scopes.entry(scope.clone()).or_default();
            state.silent.insert(upstream.id.to_owned());
            if state.is_doubtful() {
                self.doubted_at_ms.insert(scope, now_ms);
            }
        }
    }

    /// Records that peers do not reach an upstream either, so that its failures say nothing of the own
    /// links.
    pub fn record_unreachable(
        &mut self,
        upstream: &UpstreamView<'_>,
        now_ms: u64,
    ) -> Vec<LinkChange> {
        let link = self.links.entry(upstream.id.to_owned()).or_default();
        link.failure = None;
        link.unreachable_until_ms = now_ms + UNREACHABLE_MS;
        let mut changes = Vec::new();
        for scope in upstream.scopes() {
            let Some(state) = self.scopes.get_mut(&scope) else { continue };
            if state.discount(upstream.id) {
                changes.push(LinkChange::Restored(scope));
            }
        }
        changes
    }

    /// Forgets an upstream that has ended or started again. Its failed dials say nothing of the own links then.
    pub fn forget(&mut self, upstream: &str) -> Vec<LinkChange> {
        self.links.remove(upstream);
        self.doubted_at_ms.remove(&LinkScope::Upstream(upstream.to_owned()));
        let mut changes = Vec::new();
        self.scopes.retain(|scope, state| {
            if state.discount(upstream) {
                changes.push(LinkChange::Restored(scope.clone()));
            }
            state.silent.remove(upstream);
            state.cut.is_some() || !state.failing.is_empty() || !state.silent.is_empty()
        });
        changes
    }
}

//! The latest starts of each upstream, and the version that a connection leads to.
//!
//! Load pattern: upstreams crash and start again at their addresses with another version, seconds before the platform
//! lists that, while hundreds of streams a second begin, and crash again in their midst.

use std::collections::{HashMap, VecDeque};

/// Starts of an upstream that are kept; the oldest ones are forgotten first.
const MAX_STARTS: usize = 8;
/// Breaks of connections of an upstream that are kept.
const MAX_BREAKS: usize = 32;
/// Time after which an upstream that was not heard of is forgotten; longer than any stream lasts.
const RETENTION_MS: u64 = 300_000;

/// The start of an upstream that accepted a connection, as far as the connection itself tells.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Acceptance {
    /// Wall-clock time of the start that the upstream reported on this connection, in milliseconds since the Unix
    /// epoch; `None` if it has reported none.
    pub reported_start_ms: Option<u64>,
    /// Time before which the connection was not accepted.
    pub dialled_at_ms: u64,
    /// Time at which the connection had been accepted.
    pub opened_at_ms: u64,
}

/// What the platform lists of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedStart<'a> {
    /// Id of the upstream.
    pub upstream: &'a str,
    /// Wall-clock time of the start, in milliseconds since the Unix epoch; `None` if it is not listed.
    pub started_at_ms: Option<u64>,
    /// Version of its software; `None` if it is not listed.
    pub version: Option<&'a str>,
}

/// Version of a start.
#[derive(Clone, Debug, Eq, PartialEq)]
enum StartVersion {
    /// The start has not been listed.
    Unlisted,
    Listed(Option<String>),
    /// It was listed with several versions.
    Ambiguous,
}

impl StartVersion {
    fn record(&mut self, version: Option<&str>) {
        match self {
            Self::Unlisted | Self::Listed(None) => {
                *self = Self::Listed(version.map(str::to_owned));
            }
            // An entry without a version says nothing of it.
            Self::Listed(_) if version.is_none() => {}
            Self::Listed(known) if known.as_deref() != version => *self = Self::Ambiguous,
            Self::Listed(_) | Self::Ambiguous => {}
        }
    }

    fn known(&self) -> Option<&str> {
        match self {
            Self::Listed(version) => version.as_deref(),
            Self::Unlisted | Self::Ambiguous => None,
        }
    }
}

#[derive(Clone, Debug)]
struct Start {
    started_at_ms: Option<u64>,
    version: StartVersion,
    /// Time at which it was first heard of: it has run since then, or had ended before.
    known_at_ms: u64,
    /// Latest time at which it is known to have run still.
    ran_until_ms: u64,
    is_reported: bool,
}

impl Start {
    fn is_listed(&self) -> bool {
        self.version != StartVersion::Unlisted
    }
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    /// In the order in which they became known.
    starts: VecDeque<Start>,
    /// Times at which connections broke lately.
    breaks_ms: VecDeque<u64>,
    heard_at_ms: u64,
}

impl Upstream {
    fn find(&self, started_at_ms: Option<u64>) -> Option<&Start> {
        self.find_position(started_at_ms).map(|index| &self.starts[index])
    }

    fn find_position(&self, started_at_ms: Option<u64>) -> Option<usize> {
        self.starts.iter().position(|start| start.started_at_ms == started_at_ms)
    }

    /// Returns the start, which becomes the latest one if it was not known.
    fn find_or_add(&mut self, started_at_ms: Option<u64>, now_ms: u64) -> &mut Start {
        self.heard_at_ms = now_ms;
        let index = self.find_position(started_at_ms).unwrap_or_else(|| {
            if self.starts.len() == MAX_STARTS {
                self.starts.pop_front();
            }
            self.starts.push_back(Start {
                started_at_ms,
                version: StartVersion::Unlisted,
                known_at_ms: now_ms,
                ran_until_ms: 0,
                is_reported: false,
            });
            self.starts.len() - 1
        });
        &mut self.starts[index]
    }

    fn record_run(&mut self, started_at_ms: Option<u64>, until_ms: u64, now_ms: u64) {
        let start = self.find_or_add(started_at_ms, now_ms);
        start.ran_until_ms = start.ran_until_ms.max(until_ms);
    }

    fn has_reported(&self) -> bool {
        self.starts.iter().any(|start| start.is_reported)
    }

    fn record_break(&mut self, now_ms: u64) {
        if self.breaks_ms.len() == MAX_BREAKS {
            let ran_until_ms = self.starts.back().map_or(0, |start| start.ran_until_ms);
            self.breaks_ms.retain(|broke_at_ms| *broke_at_ms > ran_until_ms);
        }
        if self.breaks_ms.len() == MAX_BREAKS {
            self.breaks_ms.pop_back();
        }
        self.breaks_ms.push_back(now_ms);
    }

    fn has_break(&self, after_ms: u64, until_ms: u64) -> bool {
        let is_between = |broke_at_ms: &u64| *broke_at_ms > after_ms && *broke_at_ms <= until_ms;
        self.breaks_ms.iter().any(is_between)
    }

    /// Returns the latest start that was known before a connection was dialled.
    fn presumed_position(&self, acceptance: &Acceptance) -> Option<usize> {
        self.starts.iter().rposition(|start| start.known_at_ms <= acceptance.dialled_at_ms)
    }

    /// Returns whether another start has been listed since this one became known.
    fn is_followed(&self, position: Option<usize>) -> bool {
        position.is_some_and(|index| self.starts.iter().skip(index + 1).any(Start::is_listed))
    }

    /// Returns the start that accepted a connection, as far as it is proven.
    fn accepting_start(&self, acceptance: &Acceptance) -> Option<usize> {
        if acceptance.reported_start_ms.is_some() {
            let is_reported = |start: &Start| start.started_at_ms == acceptance.reported_start_ms;
            return self.starts.iter().position(is_reported);
        }
        let index = self.presumed_position(acceptance)?;
        // Otherwise, another one may have accepted it: one that became known later, or one that never did.
        (self.starts[index].ran_until_ms >= acceptance.opened_at_ms).then_some(index)
    }
}

/// The latest starts of each upstream.
#[derive(Clone, Debug, Default)]
pub struct StartTable {
    upstreams: HashMap<String, Upstream>,
}

impl StartTable {
    /// Records what the platform lists. With `written_after_ms`, the upstream is known to have written it after that
    /// time.
    pub fn record_listed(
        &mut self,
        listed: &ListedStart<'_>,
        written_after_ms: Option<u64>,
        now_ms: u64,
    ) {
        let upstream = self.upstreams.entry(listed.upstream.to_owned()).or_default();
        upstream.find_or_add(listed.started_at_ms, now_ms).version.record(listed.version);
        if let Some(written_after_ms) = written_after_ms {
            upstream.record_run(listed.started_at_ms, written_after_ms, now_ms);
        }
    }

    /// Records a start that an upstream has reported itself when it was asked at `asked_at_ms`.
    pub fn record_reported(
        &mut self,
        upstream: &str,
        started_at_ms: u64,
        asked_at_ms: u64,
        now_ms: u64,
    ) {
        let upstream = self.upstreams.entry(upstream.to_owned()).or_default();
        upstream.record_run(Some(started_at_ms), asked_at_ms, now_ms);
        upstream.find_or_add(Some(started_at_ms), now_ms).is_reported = true;
    }

    /// Records a response on a connection to a request that was sent at `asked_at_ms`: the start that accepted the
    /// connection ran then.
    pub fn record_response(
        &mut self,
        upstream: &str,
        acceptance: &Acceptance,
        asked_at_ms: u64,
        now_ms: u64,
    ) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        if let Some(index) = upstream.accepting_start(acceptance) {
            let started_at_ms = upstream.starts[index].started_at_ms;
            upstream.record_run(started_at_ms, asked_at_ms, now_ms);
        }
    }

    /// Records that a start ran until a time, as another instance has proven; without effect if the start is not known.
    pub fn record_told_run(
        &mut self,
        upstream: &str,
        started_at_ms: Option<u64>,
        until_ms: u64,
        now_ms: u64,
    ) {
        let known = self.upstreams.get_mut(upstream);
        if let Some(upstream) = known.filter(|known| known.find(started_at_ms).is_some()) {
            upstream.record_run(started_at_ms, until_ms, now_ms);
        }
    }

    /// Returns the latest start of an upstream with the time until which it is known to have run; `None` if nothing
    /// proves that it ran.
    pub fn latest_run(&self, upstream: &str) -> Option<(Option<u64>, u64)> {
        let start = self.upstreams.get(upstream)?.starts.back()?;
        (start.ran_until_ms > 0).then_some((start.started_at_ms, start.ran_until_ms))
    }

    /// Returns whether an upstream has reported its start itself.
    pub fn has_reported(&self, upstream: &str) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(Upstream::has_reported)
    }

    /// Returns whether an upstream has reported a start that is not listed yet.
    pub fn has_unlisted(&self, upstream: &str) -> bool {
        let latest = self.upstreams.get(upstream).and_then(|known| known.starts.back());
        latest.is_some_and(|start| start.version == StartVersion::Unlisted)
    }

    /// Records that a connection has broken: the upstream may have started again since it was last known to run.
    pub fn record_break(&mut self, upstream: &str, now_ms: u64) {
        let upstream = self.upstreams.entry(upstream.to_owned()).or_default();
        upstream.heard_at_ms = now_ms;
        upstream.record_break(now_ms);
    }

    /// Returns whether a connection has broken after this time.
    pub fn has_break_after(&self, upstream: &str, at_ms: u64) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|upstream| upstream.has_break(at_ms, u64::MAX))
    }

    /// Returns the version of the start that accepted a connection; `None` if it is not proven, or not yet.
    pub fn version(&self, upstream: &str, acceptance: &Acceptance) -> Option<&str> {
        let upstream = self.upstreams.get(upstream)?;
        upstream.starts[upstream.accepting_start(acceptance)?].version.known()
    }

    /// Returns the latest start that was listed before a connection was dialled, as its wall-clock time in milliseconds since
    /// the Unix epoch: it has accepted the connection if it has run since. `None` if the entry does not tell it.
    pub fn presumed_start_ms(&self, upstream: &str, acceptance: &Acceptance) -> Option<u64> {
        let mut starts = self.upstreams.get(upstream)?.starts.iter().rev();
        starts.find(|start| start.known_at_ms <= acceptance.dialled_at_ms)?.started_at_ms
    }

    /// Returns the version of a start that is known to have run at a time or later; `None` if that is not proven, or not
    /// yet.
    pub fn version_of_run(&self, upstream: &str, started_at_ms: u64, at_ms: u64) -> Option<&str> {
        let start = self.upstreams.get(upstream)?.find(Some(started_at_ms))?;
        (start.ran_until_ms >= at_ms).then(|| start.version.known()).flatten()
    }

    /// Returns whether a start that had been listed, or has been reported, before `at_ms` can't become known any more to have
    /// run then or later, with its version.
    pub fn has_ended_unproven(&self, upstream: &str, started_at_ms: u64, at_ms: u64) -> bool {
        let Some(upstream) = self.upstreams.get(upstream) else { return false };
        let position = upstream.find_position(Some(started_at_ms));
        let ends_unproven = |start: &Start| match start.version {
            StartVersion::Ambiguous => true,
            StartVersion::Listed(_) => start.ran_until_ms < at_ms && upstream.is_followed(position),
            StartVersion::Unlisted => false,
        };
        if position.is_some_and(|index| ends_unproven(&upstream.starts[index])) {
            return true;
        }
        // One that has run since is the next one, as starts follow each other; their entries are read in that order.
        let mut later = upstream.starts.iter().skip(position.map_or(0, |index| index + 1));
        upstream.find(Some(started_at_ms)).is_none_or(|start| !start.is_listed())
            && later.any(|start| start.is_listed() && start.ran_until_ms >= at_ms)
    }

    /// Returns whether the start that accepted a connection can't be proven any more.
    pub fn is_unprovable(&self, upstream: &str, acceptance: &Acceptance) -> bool {
        if acceptance.reported_start_ms.is_some() {
            return false;
        }
        let Some(upstream) = self.upstreams.get(upstream) else { return false };
        let presumed = upstream.presumed_position(acceptance);
        let is_proven = presumed
            .is_some_and(|index| upstream.starts[index].ran_until_ms >= acceptance.opened_at_ms);
        !is_proven && (presumed.is_none() || upstream.is_followed(presumed))
    }

    /// Returns whether the start that the upstream reports now is the one that accepted a connection.
    pub fn is_accepted_by(
        &self,
        upstream: &str,
        acceptance: &Acceptance,
        started_at_ms: u64,
    ) -> bool {
        match acceptance.reported_start_ms {
            Some(reported_start_ms) => reported_start_ms == started_at_ms,
            None => self
                .upstreams
                .get(upstream)
                .and_then(|known| known.find(Some(started_at_ms)))
                .is_some_and(|start| start.known_at_ms <= acceptance.dialled_at_ms),
        }
    }

    /// Forgets upstreams that are not listed and were not heard of for long.
    pub fn expire(&mut self, now_ms: u64, is_listed: impl Fn(&str) -> bool) {
        self.upstreams.retain(|id, upstream| {
            now_ms.saturating_sub(upstream.heard_at_ms) < RETENTION_MS || is_listed(id)
        });
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}

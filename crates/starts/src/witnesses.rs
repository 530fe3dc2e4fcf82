//! Connections that are kept beside requests to show which start has sent a response: how many, and how often an
//! upstream is asked on them so that it does not close them as idle.
//!
//! Load pattern: hundreds of upstreams that do not report their starts, used in turn by threads of hundreds of instances.
//! Some close idle connections within a fraction of a second and do not say so, while responses last for seconds.

use std::collections::HashMap;

/// Witnesses of a thread that are open at the same time.
pub const MAX_WITNESSES: usize = 64;
/// Shortest interval between two reports that keep a connection open.
pub const MIN_ASK_INTERVAL_MS: u64 = 100;
/// Longest interval.
pub const MAX_ASK_INTERVAL_MS: u64 = 1_000;
/// Intervals in the time for which a connection is kept: a report that is late by one more does not lose it.
const INTERVALS: u64 = 3;
/// Time after which the idle time of an upstream that has closed a connection as idle is looked for again.
const RETRY_MS: u64 = 30_000;
/// Destinations of which the idle time is kept.
const MAX_KNOWN: usize = 4 * MAX_WITNESSES;

/// How long an upstream keeps idle connections, as far as was seen. It is learned on a connection that proves nothing,
/// which may be lost, while the one that is asked is not left alone for longer than a third of that time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IdleTime {
    kept_ms: u64,
    /// Time at which the upstream has closed an idle connection.
    closed_at_ms: Option<u64>,
}

impl IdleTime {
    /// Time in milliseconds after which the upstream has to be asked again on an idle connection.
    pub fn ask_interval_ms(&self) -> u64 {
        (self.kept_ms / INTERVALS).clamp(MIN_ASK_INTERVAL_MS, MAX_ASK_INTERVAL_MS)
    }

    /// Returns whether an idle connection would tell more.
    pub fn is_sought(&self, now_ms: u64) -> bool {
        let is_due = |closed_at_ms: u64| now_ms.saturating_sub(closed_at_ms) >= RETRY_MS;
        self.kept_ms < INTERVALS * MAX_ASK_INTERVAL_MS && self.closed_at_ms.is_none_or(is_due)
    }

    /// Records that a connection was open after it had been idle for this time.
    pub fn record_kept(&mut self, idle_ms: u64) {
        self.kept_ms = self.kept_ms.max(idle_ms);
    }

    /// Records that an idle connection was closed, which was last seen open after it had been idle for this time.
    pub fn record_closed(&mut self, idle_ms: u64, now_ms: u64) {
        self.kept_ms = self.kept_ms.min(idle_ms);
        self.closed_at_ms = Some(now_ms);
    }

    /// Records that the connection which is asked was closed after an idle time. Forgets what was seen if it contradicts that,
    /// as after another start.
    pub fn record_lost(&mut self, idle_ms: u64) {
        if idle_ms <= self.kept_ms {
            *self = Self::default();
        }
    }
}

/// Whether the connection of a witness may be opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Admitted,
    /// It may, in place of the witness of this destination, which has to be closed.
    Replacing(String),
    /// It may not: as many as may be open are in use.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    used_at_ms: u64,
    is_admitted: bool,
    idle_time: IdleTime,
}

/// The witnesses of one thread, by destination.
#[derive(Clone, Debug, Default)]
pub struct WitnessPlan {
    known: HashMap<String, Known>,
}

impl WitnessPlan {
    /// Asks for a place for the witness of a destination. If there is none, the one that was used least recently gives its place
    /// up, unless it is in use: a connection has to be older than the request, so another one can't stand in for it.
    pub fn admit(
        &mut self,
        destination: &str,
        now_ms: u64,
        is_in_use: impl Fn(&str) -> bool,
    ) -> Admission {
        self.record_use(destination, now_ms);
        let is_admitted = |known: &Known| known.is_admitted;
        let mut admission = Admission::Admitted;
        if !self.known.get(destination).is_some_and(is_admitted) && self.admitted() >= MAX_WITNESSES
        {
            let is_free = |id: &str, known: &Known| known.is_admitted && !is_in_use(id);
            let Some(replaced) = self.least_recently_used(is_free) else {
                return Admission::Refused;
            };
            self.release(&replaced);
            admission = Admission::Replacing(replaced);
        }
        if let Some(known) = self.known.get_mut(destination) {
            known.is_admitted = true;
        }
        admission
    }

    /// Records a request to a destination.
    pub fn record_use(&mut self, destination: &str, now_ms: u64) {
        if let Some(known) = self.known.get_mut(destination) {
            known.used_at_ms = now_ms;
            return;
        }
        if self.known.len() >= MAX_KNOWN
            && let Some(forgotten) = self.least_recently_used(|_, known| !known.is_admitted)
        {
            self.known.remove(&forgotten);
        }
        let known = Known { used_at_ms: now_ms, ..Known::default() };
        self.known.insert(destination.to_owned(), known);
    }

    /// Gives up the place of a witness that was closed.
    pub fn release(&mut self, destination: &str) {
        if let Some(known) = self.known.get_mut(destination) {
            known.is_admitted = false;
        }
    }

    /// How long the upstream at a destination keeps idle connections.
    pub fn idle_time(&self, destination: &str) -> IdleTime {
        self.known.get(destination).map(|known| known.idle_time).unwrap_or_default()
    }

    /// As [`idle_time`](Self::idle_time), to record what was seen; `None` if the destination was not used lately.
    pub fn idle_time_mut(&mut self, destination: &str) -> Option<&mut IdleTime> {
        self.known.get_mut(destination).map(|known| &mut known.idle_time)
    }

    /// Number of witnesses that have a place.
    pub fn admitted(&self) -> usize {
        self.known.values().filter(|known| known.is_admitted).count()
    }

    /// Number of destinations that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no destination is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn least_recently_used(&self, is_chosen: impl Fn(&str, &Known) -> bool) -> Option<String> {
        let chosen = self.known.iter().filter(|(id, known)| is_chosen(id, known));
        chosen.min_by_key(|(_, known)| known.used_at_ms).map(|(id, _)| id.clone())
    }
}

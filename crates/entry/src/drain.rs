//! Draining: the process refuses new requests and completes those in flight before it exits.
//!
//! The drain is started by a signal, a reclaim notice, the platform's instance list, a peer's
//! heartbeat or an operator, whichever is first. Readiness fails at once. New requests are still
//! served for a grace period, in which the load balancer observes the failed readiness, and refused
//! after it. The process exits when no request and no job is in flight, or at the drain timeout.
//! The HTTP library's own graceful stop is not used because it aborts streams.
//!
//! Admission and the end of the drain are decided in one state under one lock ([`DrainState`]), so
//! that the process never ends under a request that it has admitted. What it can't admit any more
//! is refused with [`Draining`](hickorycourse_codes::ErrorCode::Draining).

use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_peer::PeerMessage;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::state::Entry;

/// Grace period in which new requests are still served. It is shorter than the 3 s after the notice
/// within which traffic to a leaving instance has to cease.
pub const GRACE_MS: u64 = 2_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The phase of the drain and the number of requests in flight.
#[derive(Debug, Default)]
pub struct DrainState {
    progress: Mutex<Progress>,
    started: Notify,
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A caller, directly or through a peer. Refused after the grace period.
    Caller,
    /// An operator, who may still need to look at the draining entry. Refused once the drain is
    /// complete.
    Operator,
}

#[derive(Debug, Default)]
struct Progress {
    phase: Phase,
    callers_in_flight: u64,
    operators_in_flight: u64,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Serving,
    Draining {
        since_ms: u64,
    },
    /// Nothing is in flight and nothing is admitted any more.
    Complete,
}

impl Progress {
    fn in_flight(&mut self, kind: RequestKind) -> &mut u64 {
        match kind {
            RequestKind::Caller => &mut self.callers_in_flight,
            RequestKind::Operator => &mut self.operators_in_flight,
        }
    }
}

impl DrainState {
    /// Starts the drain; false if it had already started.
    pub fn start(&self, now_ms: u64) -> bool {
        let is_first = {
            let mut progress = self.progress.lock();
            let is_first = progress.phase == Phase::Serving;
            if is_first {
                progress.phase = Phase::Draining { since_ms: now_ms };
            }
            is_first
        };
        // `Notify` stores the permit if no task is waiting yet.
        self.started.notify_one();
        is_first
    }

    /// Waits until the drain starts. Only one task may wait, because the notification wakes only
    /// one.
    pub async fn wait_until_leaving(&self) {
        while !self.is_leaving() {
            self.started.notified().await;
        }
    }

    /// Whether the drain has started.
    pub fn is_leaving(&self) -> bool {
        self.progress.lock().phase != Phase::Serving
    }

    /// Whether the drain is complete.
    pub fn is_complete(&self) -> bool {
        self.progress.lock().phase == Phase::Complete
    }

    /// Number of callers' requests in flight, with detached calls, and calls and jobs received from
    /// peers.
    pub fn in_flight(&self) -> u64 {
        self.progress.lock().callers_in_flight
    }

    /// Counts a new request as in flight, unless the drain refuses it. Each admission is ended by
    /// [`Self::end`].
    pub fn try_admit(&self, kind: RequestKind, now_ms: u64) -> bool {
        let mut progress = self.progress.lock();
        let is_admitted = match progress.phase {
            Phase::Serving => true,
            Phase::Draining { since_ms } => {
                kind == RequestKind::Operator || now_ms < since_ms + GRACE_MS
            }
            Phase::Complete => false,
        };
        *progress.in_flight(kind) += u64::from(is_admitted);
        is_admitted
    }

    /// Counts further work of a request in flight, in any phase.
    pub fn extend(&self, kind: RequestKind) {
        *self.progress.lock().in_flight(kind) += 1;
    }

    /// Ends what [`Self::try_admit`] or [`Self::extend`] has counted.
    pub fn end(&self, kind: RequestKind) {
        *self.progress.lock().in_flight(kind) -= 1;
    }

    /// Completes the drain if its grace period has elapsed and no request is in flight.
    pub fn try_complete(&self, now_ms: u64) -> bool {
        let mut progress = self.progress.lock();
        let is_due = match progress.phase {
            Phase::Serving => false,
            Phase::Draining { since_ms } => now_ms >= since_ms + GRACE_MS,
            Phase::Complete => true,
        };
        let is_idle = progress.callers_in_flight == 0 && progress.operators_in_flight == 0;
        let is_complete = is_due && is_idle;
        if is_complete {
            progress.phase = Phase::Complete;
        }
        is_complete
    }

    /// Completes the drain at its timeout; returns the number of requests that are cut off.
    pub fn abort(&self) -> u64 {
        let mut progress = self.progress.lock();
        progress.phase = Phase::Complete;
        progress.callers_in_flight + progress.operators_in_flight
    }
}

/// Starts the drain, if it has not started yet, and reports it to the peers in a heartbeat.
pub fn start_drain(entry: &Arc<Entry>, reason: &str) {
    if !entry.drain.start(entry.clock.now_ms()) {
        return;
    }
    log::info!(target: "drain", "Drain started: {reason}.");
    if let Some(mesh) = entry.mesh() {
        mesh.broadcast(&PeerMessage::Heartbeat(entry.make_heartbeat()));
    }
}

/// Waits for the drain to start, and then until the grace period has elapsed and no request or job
/// is in flight, or until the drain timeout.
pub async fn wait_until_drained(entry: &Arc<Entry>) {
    entry.drain.wait_until_leaving().await;
    let started_at_ms = entry.clock.now_ms();
    let limit_ms = entry.settings.timing.drain_timeout_ms;
    loop {
        let now_ms = entry.clock.now_ms();
        if try_complete(entry, now_ms) {
            log::info!(target: "drain", "Drain complete: no requests or jobs in flight.");
            return;
        }
        if now_ms >= started_at_ms + limit_ms.max(GRACE_MS) {
            let in_flight = entry.drain.abort();
            let jobs = entry.jobs.lock().count_blocking_drain();
            log::warn!(
                target: "drain",
                "Drain timeout of {limit_ms} ms: aborting {in_flight} requests and {jobs} jobs.",
            );
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Holds the lock of the jobs while it decides, so that none is added in between: jobs are added
/// only by requests in flight or, before the drain is complete, by the job task.
fn try_complete(entry: &Entry, now_ms: u64) -> bool {
    let jobs = entry.jobs.lock();
    jobs.count_blocking_drain() == 0 && entry.drain.try_complete(now_ms)
}

//! Graceful shutdown: the readiness check fails at once, requests in flight are finished, and new
//! requests are rejected once they could not be finished in time.
//!
//! Whether a request is admitted and whether the process may end are decided under one lock: once no
//! request is in flight and the process is about to end, no further request is admitted.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickorycourse_clock::sleep;
use ntex::io::IoRef;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::Notify;

use crate::in_flight::InFlightTable;
use crate::state::Relay;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between the stop signal and the end of the process, for callers that still arrive:
/// the balancer needs two failed checks, a second apart, to detect that this instance is not ready.
const MIN_DRAIN_MS: u64 = 2_800;
/// Time for requests in flight, in percent of `stop_ms`; the rest is for flushing their last bytes.
const DRAIN_TIMEOUT_PERCENT: u64 = 95;
/// Time after which requests without a response are answered that they were not finished, in percent of
/// `stop_ms`: such a response still reaches its caller, where the end of the process would cut it off.
const ANSWER_BY_PERCENT: u64 = 92;
/// Time after which new requests are rejected, in percent of `stop_ms`, so that the shutdown cuts
/// none off.
/// The balancer has detected the shutdown by then; later requests arrive on kept-alive connections.
const REJECT_AFTER_PERCENT: u64 = 36;
/// Share of a route's latest requests that must have ended within the time that is left, for a request
/// that its deadline does not end in time.
const MIN_FINISHED_SHARE: f64 = 0.99;
/// As [`MIN_FINISHED_SHARE`], for a request that is repeated or resumed elsewhere if it is cut off.
const MIN_FINISHED_SHARE_IDEMPOTENT: f64 = 0.9;
/// Rounds in which a worker thread polls its connections after the drain, and the time between them: what
/// had arrived by then is read in the first, and answered before the last.
const POLL_ROUNDS: u32 = 3;
const POLL_ROUND_INTERVAL: Duration = Duration::from_millis(32);
/// Longest wait for the worker threads' rounds.
const POLL_ROUNDS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Lines about single requests that the end of a drain writes.
const MAX_CUT_OFF_LINES: usize = 200;

/// Times of a shutdown, in milliseconds since the stop signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainTimings {
    /// Time for which requests are admitted even if none is in flight.
    pub min_drain_ms: u64,
    /// Time after which no further request is admitted.
    pub reject_after_ms: u64,
    /// Time after which requests whose response has not begun are answered that they were not finished.
    pub answer_by_ms: u64,
    /// Time after which requests in flight are cut off.
    pub drain_timeout_ms: u64,
}

/// What is known of the time that a request takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestForecast {
    /// Time until its deadline.
    pub deadline_in_ms: u64,
    /// Share of the route's latest requests that have ended within the time left; `None` if there were
    /// too few.
    pub finished_share: Option<f64>,
    /// Whether it is repeated or resumed elsewhere if it is cut off.
    pub is_idempotent: bool,
}

impl DrainTimings {
    /// Derives the times from the time after which the platform kills a stopping process.
    pub fn from_stop_ms(stop_ms: u64) -> Self {
        let drain_timeout_ms = stop_ms * DRAIN_TIMEOUT_PERCENT / 100;
        Self {
            min_drain_ms: MIN_DRAIN_MS.min(drain_timeout_ms / 2),
            reject_after_ms: stop_ms * REJECT_AFTER_PERCENT / 100,
            answer_by_ms: stop_ms * ANSWER_BY_PERCENT / 100,
            drain_timeout_ms,
        }
    }

    /// Returns the time that a request may take which arrives `spent_ms` after the stop signal.
    pub fn left_ms(&self, spent_ms: u64) -> u64 {
        self.answer_by_ms.saturating_sub(spent_ms)
    }

    /// Decides whether a request that arrives `spent_ms` after the stop signal is likely to be finished. A
    /// request that is rejected at once is sent elsewhere; one that is cut off may be lost. Without a
    /// forecast it is admitted, as most requests are short.
    pub fn is_finishable(&self, spent_ms: u64, forecast: &RequestForecast) -> bool {
        let min_share = match forecast.is_idempotent {
            true => MIN_FINISHED_SHARE_IDEMPOTENT,
            false => MIN_FINISHED_SHARE,
        };
        spent_ms < self.reject_after_ms
            && (forecast.deadline_in_ms <= self.left_ms(spent_ms)
                || forecast.finished_share.is_none_or(|share| share >= min_share))
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    /// There was no stop signal.
    #[default]
    Serving,
    /// Requests are admitted until the process may end.
    Stopping { since_ms: u64 },
    /// No further request is admitted.
    Closed { since_ms: u64 },
}

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    in_flight: u64,
}

impl State {
    /// Returns whether requests are admitted; ends that when it is due.
    fn is_open(&mut self, now_ms: u64, timings: &DrainTimings) -> bool {
        if let Phase::Stopping { since_ms } = self.phase
            && now_ms >= since_ms + timings.reject_after_ms
        {
            self.phase = Phase::Closed { since_ms };
        }
        !matches!(self.phase, Phase::Closed { .. })
    }

    fn stopping_since_ms(&self) -> Option<u64> {
        match self.phase {
            Phase::Serving => None,
            Phase::Stopping { since_ms } | Phase::Closed { since_ms } => Some(since_ms),
        }
    }
}

/// How a drain has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainEnd {
    /// Time since the stop signal.
    pub spent_ms: u64,
    /// Requests in flight that the end of the process cuts off; above 0 only at the drain timeout.
    pub cut_off: u64,
}

/// Shutdown state of the process, with the number of requests in flight.
#[derive(Debug, Default)]
pub struct DrainState {
    state: Mutex<State>,
    started: Notify,
    /// Notified when requests without a response are to be answered.
    answer_due: Notify,
    /// Notified when the drain has ended.
    ended: Notify,
    workers: Mutex<WorkerRounds>,
    /// The requests in flight, for the log.
    pub requests: InFlightTable,
}

/// Worker threads that poll connections.
#[derive(Debug, Default)]
struct WorkerRounds {
    started: usize,
    /// Those that have polled all connections since the drain ended.
    finished: usize,
}

impl DrainState {
    /// Starts the shutdown; later calls have no effect.
    pub fn start(&self, now_ms: u64) {
        let mut state = self.state.lock();
        if state.phase == Phase::Serving {
            state.phase = Phase::Stopping { since_ms: now_ms };
            drop(state);
            self.started.notify_one();
        }
    }

    /// Returns whether the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.state.lock().phase != Phase::Serving
    }

    /// Returns the time since the stop signal; `None` if there was none.
    pub fn stopping_for_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.state.lock().stopping_since_ms()?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Counts a request that has arrived as in flight, so that the process does not end while its body
    /// is read. Returns false if it came too late to be admitted: such requests don't delay the end.
    pub fn begin_request(&self, now_ms: u64, timings: &DrainTimings) -> bool {
        let mut state = self.state.lock();
        let is_open = state.is_open(now_ms, timings);
        state.in_flight += u64::from(is_open);
        is_open
    }

    /// Ends a request that [`begin_request`](Self::begin_request) has counted.
    pub fn end_request(&self) {
        let mut state = self.state.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.state.lock().in_flight
    }

    /// Decides whether a request that is in flight is admitted. The process does not end before the
    /// drain timeout while an admitted request is in flight.
    pub fn admit(&self, now_ms: u64, timings: &DrainTimings) -> bool {
        self.state.lock().is_open(now_ms, timings)
    }

    /// Ends the drain if no request is in flight and the shortest time has passed, or at the drain
    /// timeout. No request is admitted from then on. Returns `None` while the drain goes on.
    pub fn try_end(&self, now_ms: u64, timings: &DrainTimings) -> Option<DrainEnd> {
        let mut state = self.state.lock();
        let since_ms = state.stopping_since_ms()?;
        let spent_ms = now_ms.saturating_sub(since_ms);
        let is_idle = spent_ms >= timings.min_drain_ms && state.in_flight == 0;
        (is_idle || spent_ms >= timings.drain_timeout_ms).then(|| {
            state.phase = Phase::Closed { since_ms };
            DrainEnd { spent_ms, cut_off: state.in_flight }
        })
    }

    /// Waits until requests without a response are to be answered. Must be called while the request is in
    /// flight.
    pub async fn wait_for_answer_time(&self) {
        self.answer_due.notified().await;
    }

    fn have_workers_polled(&self) -> bool {
        let workers = self.workers.lock();
        workers.finished >= workers.started
    }

    /// Waits for the start of the shutdown; supports a single waiting task.
    pub async fn wait_until_stopping(&self) {
        while !self.is_stopping() {
            self.started.notified().await;
        }
    }
}

/// Waits for the start of the shutdown, and then until no request is in flight or the drain timeout
/// has expired.
pub async fn wait_until_drained(relay: &Arc<Relay>) {
    relay.drain.wait_until_stopping().await;
    relay.log.write_unlimited("stopping", || json!({ "in_flight": relay.drain.in_flight() }));
    let timings = relay.drain_timings();
    let end = loop {
        let now_ms = relay.now_ms();
        if let Some(end) = relay.drain.try_end(now_ms, &timings) {
            break end;
        }
        let spent_ms = relay.drain.stopping_for_ms(now_ms).unwrap_or_default();
        if spent_ms >= timings.answer_by_ms {
            relay.drain.answer_due.notify_waiters();
        }
        sleep(POLL_INTERVAL).await;
    };
    wait_until_polled(relay).await;
    let now_ms = relay.now_ms();
    let cut_off = relay.drain.requests.list();
    for request in cut_off.iter().take(MAX_CUT_OFF_LINES) {
        relay.log.write_unlimited("cut_off", || {
            json!({
                "request": request.request_id, "upstream": request.upstream,
                "age_ms": now_ms.saturating_sub(request.arrived_at_ms),
            })
        });
    }
    relay.log.write_unlimited(
        "stopped",
        || json!({ "spent_ms": end.spent_ms, "cut_off": end.cut_off, "listed": cut_off.len() }),
    );
}

/// Waits until each worker thread has polled its connections: a request that had arrived before the end
/// of the drain is rejected rather than left unread.
async fn wait_until_polled(relay: &Relay) {
    relay.drain.ended.notify_waiters();
    let started = Instant::now();
    while !relay.drain.have_workers_polled() && started.elapsed() < POLL_ROUNDS_TIMEOUT {
        sleep(POLL_ROUND_INTERVAL).await;
    }
}

/// Polls the connections of this worker thread once more after the drain. Spawned at the thread's start.
pub async fn poll_after_drain(relay: Arc<Relay>) {
    let ended = relay.drain.ended.notified();
    relay.drain.workers.lock().started += 1;
    ended.await;
    for _ in 0..POLL_ROUNDS {
        sleep(POLL_ROUND_INTERVAL).await;
    }
    relay.drain.workers.lock().finished += 1;
}

thread_local! {
    /// Open connections of this thread on which a response has announced that they will be closed.
    static CLOSING: RefCell<Vec<IoRef>> = const { RefCell::new(Vec::new()) };
}

/// Notes that a response announces the end of its connection. A caller ignores what follows on the
/// connection (RFC 9112, 9.6).
pub fn mark_closing(connection: &IoRef) {
    CLOSING.with_borrow_mut(|closing| {
        closing.retain(|known| !known.is_closed());
        closing.push(connection.clone());
    });
}

/// Returns whether an earlier response has announced that this connection will be closed.
pub fn is_closing(connection: &IoRef) -> bool {
    CLOSING.with_borrow(|closing| closing.contains(connection))
}

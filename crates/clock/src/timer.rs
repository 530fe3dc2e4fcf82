//! Timer service: one thread that sends ticks to subscribers at their period.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};
use tokio::sync::mpsc;

/// Sent to a subscriber at each end of its period. Ticks that the subscriber has not received in time
/// are coalesced into one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick;

struct Subscription {
    due: Instant,
    period: Duration,
    sender: mpsc::Sender<Tick>,
}

struct Shared {
    started: Instant,
    subscriptions: Mutex<Vec<Subscription>>,
    changed: Condvar,
}

/// Sends ticks to subscribers at their period. Clones share one thread, which ends after the last
/// clone is dropped.
#[derive(Clone)]
pub struct TimerService {
    shared: Arc<Shared>,
}

impl TimerService {
    /// Starts the timer thread.
    ///
    /// # Errors
    /// If the thread can't be spawned.
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            started: Instant::now(),
            subscriptions: Mutex::default(),
            changed: Condvar::new(),
        });
        let weak = Arc::downgrade(&shared);
        thread::Builder::new().name("timer".to_owned()).spawn(move || {
            while let Some(shared) = weak.upgrade() {
                deliver_due_ticks(&shared);
            }
        })?;
        Ok(Self { shared })
    }

    /// Subscribes to a tick every `period_ms` milliseconds; 0 counts as 1. Dropping the receiver ends
    /// the subscription.
    pub fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Tick> {
        let (sender, receiver) = mpsc::channel(1);
        let period = Duration::from_millis(period_ms.max(1));
        let due = next_due(self.shared.started, Instant::now(), period);
        let subscription = Subscription { due, period, sender };
        self.shared.subscriptions.lock().push(subscription);
        self.shared.changed.notify_one();
        receiver
    }

    /// Number of subscriptions. A dropped one counts until the timer thread removes it, within 200 ms.
    pub fn count_subscriptions(&self) -> usize {
        self.shared.subscriptions.lock().len()
    }
}

/// Upper bound on the timer thread's sleep, so that it detects that the service was dropped.
const MAX_SLEEP: Duration = Duration::from_millis(200);

fn deliver_due_ticks(shared: &Shared) {
    let mut subscriptions = shared.subscriptions.lock();
    let now = Instant::now();
    subscriptions.retain_mut(|subscription| deliver_if_due(subscription, shared.started, now));
    let next = subscriptions.iter().map(|subscription| subscription.due).min();
    let until = next.unwrap_or(now + MAX_SLEEP).min(now + MAX_SLEEP);
    shared.changed.wait_until(&mut subscriptions, until);
}

/// Returns the next multiple of the period since the start of the service. Aligned ticks let
/// subscriptions with the same period share one wake-up of the processor.
fn next_due(started: Instant, now: Instant, period: Duration) -> Instant {
    let periods = now.duration_since(started).as_nanos() / period.as_nanos() + 1;
    let since_start = period.saturating_mul(u32::try_from(periods).unwrap_or(u32::MAX));
    started + since_start
}

/// Sends a tick if it is due. Returns false if the subscription has ended.
fn deliver_if_due(subscription: &mut Subscription, started: Instant, now: Instant) -> bool {
    if subscription.sender.is_closed() {
        return false;
    }
    if subscription.due <= now {
        subscription.due = next_due(started, now, subscription.period);
        // A full channel holds a tick that is not yet received, so this one is coalesced with it.
        let _ = subscription.sender.try_send(Tick);
    }
    true
}

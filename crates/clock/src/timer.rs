//! The timer service: one thread that wakes subscribers at their period.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};
use tokio::sync::mpsc;

/// Sent to a subscriber each time its period has passed. Ticks that the subscriber was too busy to
/// take are merged into one.
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

/// Wakes subscribers at their period. Clones share one thread, which ends with the last clone.
#[derive(Clone)]
pub struct TimerService {
    shared: Arc<Shared>,
}

impl TimerService {
    /// Starts the service's thread.
    pub fn start() -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            started: Instant::now(),
            subscriptions: Mutex::default(),
            changed: Condvar::new(),
        });
        let weak = Arc::downgrade(&shared);
        thread::Builder::new().name("timer".to_owned()).spawn(move || {
            while let Some(shared) = weak.upgrade() {
                run_once(&shared);
            }
        })?;
        Ok(Self { shared })
    }

    /// Subscribes to a tick every `period_ms`. Dropping the receiver ends the subscription.
    pub fn subscribe(&self, period_ms: u64) -> mpsc::Receiver<Tick> {
        let (sender, receiver) = mpsc::channel(1);
        let period = Duration::from_millis(period_ms.max(1));
        let due = next_due(self.shared.started, Instant::now(), period);
        let subscription = Subscription { due, period, sender };
        self.shared.subscriptions.lock().push(subscription);
        self.shared.changed.notify_one();
        receiver
    }

    /// How many subscriptions are open.
    pub fn count_subscriptions(&self) -> usize {
        self.shared.subscriptions.lock().len()
    }
}

// The thread looks up at least this often, so that it notices that the service was dropped.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);

fn run_once(shared: &Shared) {
    let mut subscriptions = shared.subscriptions.lock();
    let now = Instant::now();
    subscriptions.retain_mut(|subscription| deliver(subscription, shared.started, now));
    let next = subscriptions.iter().map(|subscription| subscription.due).min();
    let until = next.unwrap_or(now + LONGEST_SLEEP).min(now + LONGEST_SLEEP);
    shared.changed.wait_until(&mut subscriptions, until);
}

/// Ticks fall on multiples of their period from the start of the service, so that those of the same
/// period come together and wake the processor once.
fn next_due(started: Instant, now: Instant, period: Duration) -> Instant {
    let periods = now.duration_since(started).as_nanos() / period.as_nanos() + 1;
    let since_start = period.saturating_mul(u32::try_from(periods).unwrap_or(u32::MAX));
    started + since_start
}

fn deliver(subscription: &mut Subscription, started: Instant, now: Instant) -> bool {
    if subscription.sender.is_closed() {
        return false;
    }
    if subscription.due <= now {
        subscription.due = next_due(started, now, subscription.period);
        // A full channel means that the last tick still waits; one is enough.
        let _ = subscription.sender.try_send(Tick);
    }
    true
}

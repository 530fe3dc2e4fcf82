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

#[derive(Default)]
struct Shared {
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
        let shared = Arc::new(Shared::default());
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
        let subscription = Subscription { due: Instant::now() + period, period, sender };
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
    subscriptions.retain_mut(|subscription| deliver(subscription, now));
    let next = subscriptions.iter().map(|subscription| subscription.due).min();
    let until = next.unwrap_or(now + LONGEST_SLEEP).min(now + LONGEST_SLEEP);
    shared.changed.wait_until(&mut subscriptions, until);
}

fn deliver(subscription: &mut Subscription, now: Instant) -> bool {
    if subscription.sender.is_closed() {
        return false;
    }
    if subscription.due <= now {
        subscription.due = now + subscription.period;
        // A full channel means that the last tick still waits; one is enough.
        let _ = subscription.sender.try_send(Tick);
    }
    true
}

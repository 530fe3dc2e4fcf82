//! Structured event log: one JSON line per event on standard output, rate-limited and non-blocking.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

/// Capacity of the queue to the writer thread. The thread empties it within [`FLUSH_INTERVAL`], so it
/// holds less than one second of lines unless standard output blocks.
const QUEUE_CAPACITY_LINES: usize = 512;
/// Time for which the writer thread waits after the first queued line and then writes all queued lines
/// in one batch, so that not every line wakes it.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a flush tries to enter a queue that is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A message to the writer thread.
enum Message {
    Line(String),
    /// Answered once all lines before it have been written.
    Flush(SyncSender<()>),
}

struct Shared {
    sender: SyncSender<Message>,
    lines_per_second: i64,
    started: Instant,
    /// Lines that the rate limit still admits in the current one-second window; negative if lines were
    /// dropped.
    remaining_lines: AtomicI64,
    /// Start of that window, counted from `started`.
    window_start_ms: AtomicU64,
    /// Dropped lines that no written line has reported yet.
    dropped_lines: AtomicU64,
}

/// Queues lines for the writer thread and never blocks. Lines over the rate limit, or that don't fit
/// into the queue, are dropped; the next written line reports their number as `left_out_before`.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<Shared>,
}

impl EventLog {
    /// Starts the writer thread. At most `lines_per_second` lines are accepted per one-second window.
    ///
    /// # Errors
    /// The thread can't be spawned.
    pub fn start(lines_per_second: u64) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&receiver))?;
        let lines_per_second = i64::try_from(lines_per_second).unwrap_or(i64::MAX);
        Ok(Self {
            shared: Arc::new(Shared {
                sender,
                lines_per_second,
                started: Instant::now(),
                remaining_lines: AtomicI64::new(lines_per_second),
                window_start_ms: AtomicU64::new(0),
                dropped_lines: AtomicU64::new(0),
            }),
        })
    }

    /// Logs one event with the fields of a JSON object. `fields` is only evaluated if the rate limit
    /// admits the line.
    pub fn write(&self, event: &str, fields: impl FnOnce() -> Value) {
        if !self.try_acquire_line() {
            self.shared.dropped_lines.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("hickorycourse_log_lines_left_out_total").increment(1);
            return;
        }
        self.write_unlimited(event, fields);
    }

    /// As [`write`](Self::write), without regard to the rate limit: for the few events that tell how a
    /// process has ended.
    pub fn write_unlimited(&self, event: &str, fields: impl FnOnce() -> Value) {
        let at_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        let mut line = serde_json::json!({ "at_ms": at_ms, "event": event });
        if let (Value::Object(line), Value::Object(fields)) = (&mut line, fields()) {
            line.extend(fields);
            let dropped_lines = self.shared.dropped_lines.swap(0, Ordering::Relaxed);
            if dropped_lines > 0 {
                line.insert("left_out_before".to_owned(), dropped_lines.into());
            }
        }
        if self.shared.sender.try_send(Message::Line(format!("{line}\n"))).is_err() {
            self.shared.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Blocks until all lines that were queued before have been written, at most for `limit`; returns
    /// whether they have. The process may end afterwards.
    pub fn flush(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let (sender, receiver) = sync_channel(1);
        let mut message = Message::Flush(sender);
        loop {
            match self.shared.sender.try_send(message) {
                Ok(()) => break,
                Err(TrySendError::Full(unsent)) if Instant::now() < deadline => {
                    message = unsent;
                    thread::sleep(FLUSH_RETRY_INTERVAL);
                }
                Err(_) => return false,
            }
        }
        receiver.recv_timeout(deadline.saturating_duration_since(Instant::now())).is_ok()
    }

    fn try_acquire_line(&self) -> bool {
        let shared = &self.shared;
        let now_ms = shared.started.elapsed().as_millis() as u64;
        let window_start_ms = shared.window_start_ms.load(Ordering::Relaxed);
        if now_ms >= window_start_ms + 1_000 {
            shared.window_start_ms.store(now_ms, Ordering::Relaxed);
            shared.remaining_lines.store(shared.lines_per_second, Ordering::Relaxed);
        }
        shared.remaining_lines.fetch_sub(1, Ordering::Relaxed) > 0
    }
}

/// Writer thread; returns when all senders have been dropped.
fn write_lines(receiver: &Receiver<Message>) {
    while let Ok(first) = receiver.recv() {
        if matches!(first, Message::Line(_)) {
            thread::sleep(FLUSH_INTERVAL);
        }
        let mut text = String::new();
        let mut flushes = Vec::new();
        for message in std::iter::once(first).chain(receiver.try_iter()) {
            match message {
                Message::Line(line) => text.push_str(&line),
                Message::Flush(sender) => flushes.push(sender),
            }
        }
        // There is nowhere to report an error of standard output.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
        for flush in flushes {
            let _ = flush.try_send(());
        }
    }
}

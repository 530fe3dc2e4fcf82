//! One line for each decision, as JSON on standard output.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

/// Lines that wait for the writer; more than a second of them is never kept.
const LINES_WAITING_MOST: usize = 512;
/// Lines are written together once in this time, so that each costs no wake-up of its own.
const WRITE_EVERY: Duration = Duration::from_millis(100);

struct Shared {
    sender: SyncSender<String>,
    lines_per_second: i64,
    started: Instant,
    /// Lines that may still be written now.
    credit: AtomicI64,
    credited_ms: AtomicU64,
    left_out: AtomicU64,
}

/// Writes lines without ever blocking. Lines over the limit are left out and counted.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<Shared>,
}

impl EventLog {
    /// Starts the thread that writes.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(lines_per_second: u64) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(LINES_WAITING_MOST);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&receiver))?;
        let lines_per_second = i64::try_from(lines_per_second).unwrap_or(i64::MAX);
        Ok(Self {
            shared: Arc::new(Shared {
                sender,
                lines_per_second,
                started: Instant::now(),
                credit: AtomicI64::new(lines_per_second),
                credited_ms: AtomicU64::new(0),
                left_out: AtomicU64::new(0),
            }),
        })
    }

    /// Writes one line; `fields` is called only if the limit allows it.
    pub fn write(&self, event: &str, fields: impl FnOnce() -> Value) {
        if !self.take_credit() {
            self.shared.left_out.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("hickorycourse_log_lines_left_out_total").increment(1);
            return;
        }
        let at_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        let mut line = serde_json::json!({ "at_ms": at_ms, "event": event });
        if let (Value::Object(line), Value::Object(fields)) = (&mut line, fields()) {
            line.extend(fields);
            let left_out = self.shared.left_out.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                line.insert("left_out_before".to_owned(), left_out.into());
            }
        }
        if self.shared.sender.try_send(format!("{line}\n")).is_err() {
            self.shared.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take_credit(&self) -> bool {
        let shared = &self.shared;
        let now_ms = shared.started.elapsed().as_millis() as u64;
        let before_ms = shared.credited_ms.load(Ordering::Relaxed);
        if now_ms >= before_ms + 1_000 {
            shared.credited_ms.store(now_ms, Ordering::Relaxed);
            shared.credit.store(shared.lines_per_second, Ordering::Relaxed);
        }
        shared.credit.fetch_sub(1, Ordering::Relaxed) > 0
    }
}

/// Ends when the last sender is gone.
fn write_lines(receiver: &Receiver<String>) {
    while let Ok(first) = receiver.recv() {
        thread::sleep(WRITE_EVERY);
        let mut text = first;
        while let Ok(line) = receiver.try_recv() {
            text.push_str(&line);
        }
        // Nothing can be told of a standard output that does not take lines.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
    }
}

//! Marks in the platform's store that streams begin at starts whose versions are not known.
//!
//! What instances remember of such streams ends with them. Whoever starts later must not take the version that is
//! listed alone for theirs, so the mark is written before the first event of such a stream is sent to its caller.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickorycourse_clock::{sleep, timeout};
use hickorycourse_store::{KeyValue, PlatformError, SwapOutcome};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::origin_records::{StoredVersions, VERSIONS_KEY};
use crate::state::Relay;

/// Longest time for which the first event of a stream waits for a mark.
const MARK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Marks that wait to be written.
const MAX_QUEUED_MARKS: usize = 1_024;

/// A request to mark a service.
pub struct VersionMark {
    service: String,
    written: oneshot::Sender<()>,
}

impl Relay {
    /// Records that a stream of a service begins at a start whose version is not known; waits until the store holds
    /// that, for a short time.
    pub async fn mark_unknown_version(&self, service: &str) {
        self.listed_versions.lock().record(service, None, self.now_ms());
        if self.has_version_mark(service) {
            return;
        }
        let Some(marks) = self.version_marks.get() else { return };
        let (written, receiver) = oneshot::channel();
        let mark = VersionMark { service: service.to_owned(), written };
        let is_sent = marks.try_send(mark).is_ok();
        // While the store does not take the marks that wait, later streams would wait in vain.
        let is_written = is_sent
            && !self.are_version_marks_late.load(Ordering::Relaxed)
            && matches!(timeout(MARK_TIMEOUT, receiver).await, Ok(Ok(())));
        if is_sent && !is_written {
            self.are_version_marks_late.store(true, Ordering::Relaxed);
        }
        let outcome = if is_written { "written" } else { "late" };
        metrics::counter!("hickorycourse_version_marks_total", "outcome" => outcome).increment(1);
    }

    fn has_version_mark(&self, service: &str) -> bool {
        let wall_ms = self.wall_clock.lock().estimate_ms(self.now_ms());
        let stored = self.stored_versions.lock();
        stored.record.has_unknown_version(service, self.store_era(), wall_ms)
    }
}

/// Returns the queue of marks, to be passed to [`serve_version_marks`].
pub fn open_version_marks(relay: &Relay) -> mpsc::Receiver<VersionMark> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_MARKS);
    // A process opens the queue once.
    let _ = relay.version_marks.set(sender);
    receiver
}

/// Writes marks, one for all that wait, until the queue is closed.
pub async fn serve_version_marks(
    relay: Arc<Relay>,
    key_value: Rc<dyn KeyValue>,
    mut marks: mpsc::Receiver<VersionMark>,
) {
    while let Some(first) = marks.recv().await {
        let mut waiting = vec![first];
        while let Ok(mark) = marks.try_recv() {
            waiting.push(mark);
        }
        let services: BTreeSet<&str> = waiting.iter().map(|mark| mark.service.as_str()).collect();
        while let Err(error) = write_marks(&relay, key_value.as_ref(), &services).await {
            let reason = error.to_string();
            relay.log.write("version_mark_not_stored", || json!({ "reason": reason }));
            sleep(RETRY_DELAY).await;
        }
        relay.are_version_marks_late.store(false, Ordering::Relaxed);
        relay.log.write("versions_marked", || json!({ "services": services }));
        for mark in waiting {
            // The stream may have begun without.
            let _ = mark.written.send(());
        }
    }
}

async fn write_marks(
    relay: &Relay,
    key_value: &dyn KeyValue,
    services: &BTreeSet<&str>,
) -> Result<(), PlatformError> {
    // Another instance may have marked them meanwhile.
    while !services.iter().all(|service| relay.has_version_mark(service)) {
        let now_ms = relay.now_ms();
        relay.observe_versions(now_ms);
        relay.observe_routes(now_ms);
        for service in services {
            relay.listed_versions.lock().record(service, None, now_ms);
        }
        let record = relay.make_version_record(now_ms);
        let revision = relay.stored_versions.lock().revision;
        let value = serde_json::to_vec(&record)
            .map_err(|error| PlatformError::InvalidResponse(error.to_string()))?;
        match key_value.compare_and_swap(VERSIONS_KEY, revision, &value, None).await? {
            SwapOutcome::Swapped { mod_revision } => {
                *relay.stored_versions.lock() = StoredVersions { record, revision: mod_revision };
            }
            SwapOutcome::Conflict { stored } => relay.apply_stored_versions(stored.as_ref()),
        }
    }
    Ok(())
}

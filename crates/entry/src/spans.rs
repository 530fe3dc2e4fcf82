//! The task that exports trace spans.

use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::{Tick, timeout};
use hickorycourse_store::build_client;
use tokio::sync::mpsc;

use crate::state::Entry;

/// Interval between two exports.
pub const EXPORT_INTERVAL_MS: u64 = 1_000;
const EXPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Exports the buffered spans at every tick until the channel closes. Ends at once if the settings
/// have no trace address. A batch that can't be delivered is dropped.
pub async fn export_spans(entry: Arc<Entry>, mut ticks: mpsc::Receiver<Tick>) {
    let Some(address) = entry.settings.trace_address else { return };
    let client = build_client().await;
    let url = format!("http://{address}/v1/traces");
    while ticks.recv().await.is_some() {
        while let Some(batch) = entry.spans.take_batch(&entry.settings.instance) {
            let sent = timeout(EXPORT_TIMEOUT, client.post(&url).send_json(&batch)).await;
            if !matches!(sent, Ok(Ok(ref response)) if response.status().is_success()) {
                log::warn!(
                    target: "span",
                    "Failed to export a batch of spans to {address}; the batch is dropped.",
                );
            }
        }
    }
}

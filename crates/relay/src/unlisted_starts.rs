//! Upstreams whose present start is not the one that is listed.
//!
//! Load pattern: the upstreams of one version are killed together and start again at once, also at each other's addresses.
//! Each of them answers on its connections before its entry is read, and their streams may be resumed nowhere else.

use std::net::SocketAddr;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_routes::UpstreamEntry;

use crate::call::{Call, RetryState};
use crate::state::Relay;

/// Interval between two checks whether another start is listed.
const LISTING_INTERVAL: Duration = Duration::from_millis(50);

/// The start of an upstream that is listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedStart {
    address: SocketAddr,
    started_at_ms: Option<u64>,
}

impl From<&UpstreamEntry> for ListedStart {
    fn from(entry: &UpstreamEntry) -> Self {
        Self { address: entry.address, started_at_ms: entry.started_at_ms }
    }
}

/// An upstream that may be tried again once more is known of its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnidentifiedUpstream {
    /// Id of the upstream.
    pub upstream: String,
    /// The start that was listed when it was tried, if only another one is worth a try.
    pub listed: Option<ListedStart>,
    /// Failed dials that were counted for it.
    pub failed_dials: u32,
}

impl UnidentifiedUpstream {
    fn may_be_tried(&self, relay: &Relay) -> bool {
        let Some(listed) = self.listed else { return true };
        relay.listed_start(&self.upstream).is_some_and(|present| present != listed)
    }
}

impl RetryState {
    /// Allows another try at the upstreams of whose start more may be known by now. Returns whether there are any.
    pub fn retry_unidentified(&mut self, relay: &Relay) -> bool {
        let unidentified = std::mem::take(&mut self.unidentified);
        let (tried, kept): (Vec<_>, _) =
            unidentified.into_iter().partition(|one| one.may_be_tried(relay));
        self.unidentified = kept;
        for one in &tried {
            self.excluded.retain(|upstream| *upstream != one.upstream);
            self.failed_dials = self.failed_dials.saturating_sub(one.failed_dials);
        }
        !tried.is_empty()
    }
}

impl Relay {
    /// Returns the start of an upstream that is listed.
    pub fn listed_start(&self, upstream: &str) -> Option<ListedStart> {
        self.directory.lock().get(upstream).map(ListedStart::from)
    }
}

impl Call {
    /// Waits until upstreams may be tried again of whose start too little was known. Returns false if there are none, or
    /// not by `until_ms`.
    pub(crate) async fn await_starts(&self, retry_state: &mut RetryState, until_ms: u64) -> bool {
        while !retry_state.unidentified.is_empty()
            && self.may_retry(retry_state)
            && self.remaining_ms() > 0
            && self.relay.now_ms() < until_ms
        {
            sleep(LISTING_INTERVAL).await;
            if retry_state.retry_unidentified(&self.relay) {
                return true;
            }
        }
        false
    }
}

//! Reachability of upstreams over an instance's own links and through its peers.
//!
//! Load pattern: an instance loses its links to some or all upstreams for seconds while callers and other
//! instances still reach it. Its failed dials look like those to dead upstreams; only peers can tell the
//! two apart. Reachability is a fact of a pair of an instance and an upstream, so it is kept apart from the
//! upstream's health.

mod link_table;
mod peer_choice;

pub use link_table::{
    DialPlan, HOLD_MS, LinkChange, LinkScope, LinkTable, PEER_DELAY_MS, SETTLE_MS, UpstreamView,
};
pub use peer_choice::{MAX_PEERS_PER_DIAL, PeerCandidate, PeerFault, PeerTable};

//! The heartbeat that entries exchange.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The demand for one service at an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// The name of the service.
    pub service: String,
    /// The number of calls in flight or queued.
    pub calls: u64,
}

/// The state of an entry, broadcast periodically to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The name of the entry.
    pub instance: String,
    /// A random number drawn at process start, which changes when the entry restarts.
    pub incarnation: u64,
    /// Its availability zone.
    pub availability_zone: String,
    /// The address to which other entries connect.
    pub peer_address: SocketAddr,
    /// Whether it is being drained and will leave the fleet.
    pub is_leaving: bool,
    /// Digest of the revisions of all its settings documents, see [`SettingsSnapshot::digest`].
    ///
    /// [`SettingsSnapshot::digest`]: crate::SettingsSnapshot::digest
    pub settings_digest: u64,
    /// Its demand, by service.
    pub demands: Vec<ServiceDemand>,
    /// The names of the instances (entries and upstreams) that this entry knows to be leaving.
    pub leaving_instances: Vec<String>,
}

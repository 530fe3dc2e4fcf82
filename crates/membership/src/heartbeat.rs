//! What entries tell each other at every heartbeat.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An entry's demand on one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: String,
    /// Calls in flight and waiting.
    pub calls: u64,
}

/// One entry's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Its name.
    pub instance: String,
    /// Drawn anew when its process starts.
    pub incarnation: u64,
    /// Its availability zone.
    pub availability_zone: String,
    /// Where other entries connect.
    pub peer_address: SocketAddr,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Digest of the revisions of all settings in force there.
    pub settings_digest: u64,
    /// Its demand by service.
    pub demands: Vec<ServiceDemand>,
    /// Instances, entries and upstreams, that it knows to be leaving.
    pub leaving_instances: Vec<String>,
}

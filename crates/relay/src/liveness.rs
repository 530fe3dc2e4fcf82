//! Whether an upstream lives whose connection has ended.
//!
//! Load pattern: a killed process closes its connections in order, as one does that has finished a response whose end
//! is that of its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_connections::{ConnectionPool, UpstreamConnection};
use ntex::time::sleep;

use crate::call::Call;
use crate::state::Relay;

/// Time in which the ends of all connections of a killed process arrive.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Tells whether the upstream of a connection lives.
pub struct LivenessCheck {
    relay: Arc<Relay>,
    connections: ConnectionPool,
    upstream: String,
    address: SocketAddr,
}

impl LivenessCheck {
    /// Creates the check for the upstream of a connection; `None` if another process carries the connection, whose
    /// links this one does not know.
    pub fn new(
        call: &Call,
        upstream: &str,
        address: SocketAddr,
        connection: &UpstreamConnection,
    ) -> Option<Self> {
        connection.carrier().is_none().then(|| Self {
            relay: Arc::clone(&call.relay),
            connections: call.connections.clone(),
            upstream: upstream.to_owned(),
            address,
        })
    }

    /// Returns whether an idle connection of the upstream stays open, or else whether a new one can be opened.
    pub async fn is_alive(&self) -> bool {
        let ended_at_ms = self.relay.now_ms();
        sleep(SETTLE_TIME).await;
        let now_ms = self.relay.now_ms();
        if self.connections.has_idle(&self.upstream, self.address, ended_at_ms, now_ms) {
            return true;
        }
        match self.connections.open(self.upstream.clone(), self.address, now_ms).await {
            Ok(connection) => {
                self.connections.check_in(connection, now_ms);
                true
            }
            Err(_) => false,
        }
    }
}

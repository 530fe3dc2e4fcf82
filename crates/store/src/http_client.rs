//! Construction of the HTTP clients of all crates.

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::time::Seconds;

/// The library's default limit is eight connections in total.
const MAX_CONNECTIONS: usize = 100_000;
/// Shorter than the idle timeout after which servers commonly close a connection.
const IDLE_CONNECTION_TIMEOUT_S: u16 = 4;

/// Builds a client with its own connection pool and without redirects. The library's timeout is
/// disabled because every request sets its own.
pub async fn build_client() -> Client {
    let connector =
        Connector::new().limit(MAX_CONNECTIONS).keep_alive(Seconds(IDLE_CONNECTION_TIMEOUT_S));
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .build(SharedCfg::default())
        .await
        .expect("a connector without TLS can always be built")
}

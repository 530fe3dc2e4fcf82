//! Construction of HTTP clients, also for other crates.

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::time::Seconds;

/// Maximum connections of a client, in place of the default of ntex, eight in total.
const MAX_CONNECTIONS: usize = 100_000;
/// Time after which an idle connection is closed; shorter than the idle timeout after which HTTP
/// servers commonly close a connection.
const IDLE_CONNECTION_TIMEOUT_S: u16 = 4;

/// Builds a client with its own connection pool and without redirects. The default timeout of
/// ntex is disabled because every request sets its own.
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

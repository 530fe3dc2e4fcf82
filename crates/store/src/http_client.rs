//! The HTTP client as this project uses it.

use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::time::Seconds;

/// The library's own limit is eight connections in all.
const CONNECTION_LIMIT: usize = 100_000;
/// Shorter than the idle time after which servers commonly close a connection.
const IDLE_CONNECTION_S: u16 = 4;

/// Builds a client with a pool of its own, without the library's time limits: every exchange here
/// has limits of its own.
pub async fn build_client() -> Client {
    let connector = Connector::new().limit(CONNECTION_LIMIT).keep_alive(Seconds(IDLE_CONNECTION_S));
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .build(SharedCfg::default())
        .await
        .expect("a connector without TLS can always be built")
}

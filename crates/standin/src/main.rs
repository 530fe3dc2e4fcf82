//! Stand-ins for the systems outside: engines, plain services and the platform.
//!
//! They speak the published protocols as far as this project uses them. Every fault is switched on
//! over HTTP with `POST /faults` and a JSON object; `GET /stats` tells what has happened.

mod engine;
mod engine_call;
mod gate;
mod http;
mod platform;
mod service;

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Stand-ins for tests and trials.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// A model engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::engine_options))] engine::EngineOptions),
    /// A plain service that counts how often each order was executed
    #[bpaf(command)]
    Service {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// The platform: key-value service, instance list, reclaim notices, cloud
    #[bpaf(command)]
    Platform {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Time after which the instance list shows a change
        #[bpaf(argument("MS"), fallback(500))]
        list_lag_ms: u64,
    },
}

#[ntex::main]
async fn main() -> eyre::Result<()> {
    match options().run() {
        Options::Engine(options) => engine::run(options).await?,
        Options::Service { listen } => service::run(listen).await?,
        Options::Platform { listen, list_lag_ms } => platform::run(listen, list_lag_ms).await?,
    }
    Ok(())
}

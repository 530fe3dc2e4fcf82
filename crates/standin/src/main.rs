//! Stand-ins for the external systems, with fault injection: engines, plain services and the platform.
//!
//! They implement the parts of the published protocols that this project uses. `POST /faults` with a JSON
//! object sets the injected faults; `GET /stats` returns counters of the calls.

mod chat_request;
mod engine;
mod http;
mod platform;
mod priority_semaphore;
mod service;

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Stand-ins for engines, plain services and the platform, with fault injection.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// Run an inference engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::engine_options))] engine::EngineOptions),
    /// Run a plain service that counts the executions of each order
    #[bpaf(command)]
    Service {
        /// Address to listen on; port 0 for any free port
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Run the platform: key-value store, instance list, reclaim notices, cloud API
    #[bpaf(command)]
    Platform {
        /// Address to listen on; port 0 for any free port
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Delay in milliseconds until the instance list shows an added or leaving instance; 500 if left out
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

//! `hickorycourse-load`: callers for measurements.
//!
//! `run` sends a written workload in an open loop: calls start when they are due, whatever becomes of
//! those before them. `overhead` compares an entry with a direct call to an engine. `draw` makes a
//! picture of several reports. All random numbers come from the seed.

mod call;
mod draw;
mod overhead;
mod report;
mod run;
mod workload;

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Load for measurements.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// Send a workload in an open loop and report percentiles by rank and organisation
    #[bpaf(command)]
    Run {
        /// Seed of all random numbers
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Name of the run in its report
        #[bpaf(argument("TEXT"), fallback("run".to_owned()))]
        name: String,
        /// Write the report as JSON
        #[bpaf(argument("FILE"))]
        output: Option<PathBuf>,
        /// The workload
        #[bpaf(positional("FILE"))]
        workload: PathBuf,
    },
    /// Compare time to first byte and between tokens of an entry and of a direct call
    #[bpaf(command)]
    Overhead {
        /// An engine's address
        #[bpaf(argument("ADDRESS"))]
        engine: SocketAddr,
        /// An entry's address
        #[bpaf(argument("ADDRESS"))]
        entry: SocketAddr,
        /// A caller's key
        #[bpaf(argument("KEY"))]
        key: String,
        /// The model
        #[bpaf(argument("NAME"))]
        model: String,
        /// Calls in flight
        #[bpaf(argument("COUNT"), fallback(64))]
        in_flight: usize,
        /// Calls of each kind
        #[bpaf(argument("COUNT"), fallback(1_000))]
        calls: usize,
        /// Tokens of each answer
        #[bpaf(argument("COUNT"), fallback(20))]
        tokens: u64,
    },
    /// Draw reports side by side
    #[bpaf(command)]
    Draw {
        /// The picture to write (SVG)
        #[bpaf(argument("FILE"))]
        output: PathBuf,
        /// Reports
        #[bpaf(positional("FILE"), some("one report or more"))]
        reports: Vec<PathBuf>,
    },
}

fn main() -> eyre::Result<()> {
    match options().run() {
        Options::Run { seed, name, output, workload } => {
            run::run(seed, &name, output.as_deref(), &workload)
        }
        Options::Overhead { engine, entry, key, model, in_flight, calls, tokens } => {
            let plan = overhead::Plan { engine, entry, key, model, in_flight, calls, tokens };
            overhead::run(&plan)
        }
        Options::Draw { output, reports } => draw::draw(&output, &reports),
    }
}

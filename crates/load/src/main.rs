//! `hickorycourse-load`: a load generator for latency measurements.
//!
//! `run` sends a workload in an open loop: calls start at their scheduled times, whether or not earlier calls
//! have ended. `overhead` measures the latency that an entry adds to direct calls to an engine. `draw` draws
//! a chart of several reports. The schedule and the prompts depend on the seed only.

mod call;
mod draw;
mod overhead;
mod report;
mod run;
mod workload;

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Generates load and measures latency.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// Send a workload in an open loop and report latencies by rank and organisation
    #[bpaf(command)]
    Run {
        /// Seed of the call schedule and the prompts; 1 if left out
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Name of the run in its report; `run` if left out
        #[bpaf(argument("TEXT"), fallback("run".to_owned()))]
        name: String,
        /// File to write the report to, as JSON
        #[bpaf(argument("FILE"))]
        output: Option<PathBuf>,
        /// Workload file (JSON)
        #[bpaf(positional("FILE"))]
        workload: PathBuf,
    },
    /// Measure how much an entry adds to the time to first token and between tokens of direct calls
    #[bpaf(command)]
    Overhead {
        /// Address of the engine (IP:PORT)
        #[bpaf(argument("ADDRESS"))]
        engine: SocketAddr,
        /// Caller address of the entry (IP:PORT)
        #[bpaf(argument("ADDRESS"))]
        entry: SocketAddr,
        /// Caller key
        #[bpaf(argument("KEY"))]
        key: String,
        /// Name of the model
        #[bpaf(argument("NAME"))]
        model: String,
        /// Number of calls in flight; 64 if left out
        #[bpaf(argument("COUNT"), fallback(64))]
        in_flight: usize,
        /// Number of direct calls, and of calls through the entry; 1000 if left out
        #[bpaf(argument("COUNT"), fallback(1_000))]
        calls: usize,
        /// Length of each answer in tokens; 20 if left out
        #[bpaf(argument("COUNT"), fallback(20))]
        tokens: u64,
    },
    /// Draw a chart that compares reports
    #[bpaf(command)]
    Draw {
        /// Chart file to write (SVG)
        #[bpaf(argument("FILE"))]
        output: PathBuf,
        /// Report files written by `run --output`
        #[bpaf(positional("FILE"), some("at least one report file is required"))]
        reports: Vec<PathBuf>,
    },
}

fn main() -> eyre::Result<()> {
    match options().run() {
        Options::Run { seed, name, output, workload } => {
            run::run(seed, &name, output.as_deref(), &workload)
        }
        Options::Overhead { engine, entry, key, model, in_flight, calls, tokens } => {
            let options =
                overhead::OverheadOptions { engine, entry, key, model, in_flight, calls, tokens };
            overhead::run(&options)
        }
        Options::Draw { output, reports } => draw::draw(&output, &reports),
    }
}

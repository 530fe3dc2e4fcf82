//! Benchmarks of the system with fake upstreams on one machine.
//!
//! Build with `cargo build --release --workspace` and run `target/release/measure COMMAND`.

mod cores;
mod entries;
mod overhead;
mod policies;
mod relay_cores;

use bpaf::Bpaf;

/// Runs benchmarks of the system.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// Measure the latency that one entry adds to a call, and its memory with open streams
    #[bpaf(command)]
    Overhead,
    /// Compare the policies with the baseline under steady load, overload and loss of a zone
    #[bpaf(command)]
    Policies {
        /// Directory for the reports and charts; the directory for temporary files if left out
        #[bpaf(argument("DIR"), fallback(std::env::temp_dir()))]
        output: std::path::PathBuf,
        /// Number of seeds; each scenario runs once for each seed and policy; 3 if left out
        #[bpaf(argument("COUNT"), fallback(3))]
        seeds: u64,
        /// Run only this scenario: calm, deferrable-flood, urgent-flood or zone-reclaim; all if left
        /// out
        #[bpaf(argument("NAME"))]
        scenario: Option<String>,
    },
    /// Measure settings propagation, platform calls, memory, CPU and peer traffic by entry count
    #[bpaf(command)]
    Entries {
        /// Numbers of entries to measure; without any, nothing is measured
        #[bpaf(positional("COUNT"), many)]
        counts: Vec<usize>,
    },
    /// Measure the CPU time of decisions by number of upstreams, members and settings documents
    #[bpaf(command)]
    Cores,
}

fn main() -> eyre::Result<()> {
    match options().run() {
        Options::Overhead => overhead::run(),
        Options::Policies { output, seeds, scenario } => {
            policies::run(&output, seeds, scenario.as_deref())
        }
        Options::Entries { counts } => entries::run(&counts),
        Options::Cores => cores::run().and_then(|()| relay_cores::run()),
    }
}

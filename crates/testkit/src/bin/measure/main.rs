//! Measurements of the whole system with stand-ins on one machine.
//!
//! Build with `cargo build --release --workspace` and run `target/release/measure COMMAND`.

mod cores;
mod entries;
mod overhead;
mod policies;
mod relay_cores;

use bpaf::Bpaf;

/// Measurements.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
    /// What one entry adds to a call, and its memory with open streams
    #[bpaf(command)]
    Overhead,
    /// Each policy against the baseline, in calm and in floods
    #[bpaf(command)]
    Policies {
        /// Write reports and pictures here
        #[bpaf(argument("DIR"), fallback(std::env::temp_dir()))]
        output: std::path::PathBuf,
        /// How many seeds
        #[bpaf(argument("COUNT"), fallback(3))]
        seeds: u64,
        /// Only this scenario
        #[bpaf(argument("NAME"))]
        scenario: Option<String>,
    },
    /// Time to in force, platform calls, memory, processor time and peer bytes by number of entries
    #[bpaf(command)]
    Entries {
        /// Numbers of entries
        #[bpaf(positional("COUNT"), many)]
        counts: Vec<usize>,
    },
    /// Cost of decisions by number of upstreams, members and settings
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

//! `hickorycourse-model`: simulates load patterns with the relay's policies and prints a table of outcomes.

use bpaf::Bpaf;
use hickorycourse_model::{LoadPattern, Policy, list_patterns, run};

/// Simulates load patterns with the chosen policies and with the baseline, and prints the outcomes.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Simulate this load pattern only; all if left out
    #[bpaf(argument("NAME"))]
    pattern: Option<String>,
    /// Number of seeds: each pattern is simulated with the seeds 1 to COUNT; 1 if left out
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// Number of relays, instead of the pattern's
    #[bpaf(argument("COUNT"))]
    relays: Option<usize>,
    /// Number of engines, instead of the pattern's
    #[bpaf(argument("COUNT"))]
    engines: Option<usize>,
}

fn main() -> eyre::Result<()> {
    let options = options().run();
    let chosen: Vec<LoadPattern> = list_patterns()
        .into_iter()
        .filter(|pattern| options.pattern.as_ref().is_none_or(|name| name == pattern.name))
        .collect();
    if chosen.is_empty() {
        let names: Vec<&str> = list_patterns().iter().map(|pattern| pattern.name).collect();
        eyre::bail!("unknown load pattern; known patterns: {}", names.join(", "));
    }
    for pattern in chosen {
        let pattern = LoadPattern {
            relays: options.relays.unwrap_or(pattern.relays),
            engines: options.engines.unwrap_or(pattern.engines),
            ..pattern
        };
        for seed in 1..=options.seeds {
            for (name, policy) in [("chosen", Policy::Chosen), ("baseline", Policy::Baseline)] {
                let report = run(&pattern, policy, seed)?;
                println!(
                    "{}",
                    report.format_table(&format!("{} seed {seed} {name}", pattern.name))
                );
            }
        }
    }
    Ok(())
}

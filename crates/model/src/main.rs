//! `hickorycourse-model`: plays load patterns against the relay's decisions and prints who was served.

use bpaf::Bpaf;
use hickorycourse_model::{LoadPattern, Policy, list_patterns, run};

/// Who is served under a load pattern, with the chosen policies and the baseline.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Only this pattern
    #[bpaf(argument("NAME"))]
    pattern: Option<String>,
    /// Number of seeds, from 1 on
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// Relays in place of the pattern's number
    #[bpaf(argument("COUNT"))]
    relays: Option<usize>,
    /// Engines in place of the pattern's number
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
        eyre::bail!("unknown pattern; there are: {}", names.join(", "));
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
                println!("{}", report.write_table(&format!("{} seed {seed} {name}", pattern.name)));
            }
        }
    }
    Ok(())
}

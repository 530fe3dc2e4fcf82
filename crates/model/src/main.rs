//! `hickorycourse-model`: simulates load patterns with the relay's policies and prints a table of outcomes.

use bpaf::Bpaf;
use hickorycourse_model::{
    CrashPolicy, CutScope, LimitPattern, LimitPolicy, LimitTrouble, LoadPattern, PartitionPattern,
    PeerPolicy, Policy, ResumptionPattern, list_crash_patterns, list_patterns, run, run_crashes,
    run_limits, run_partition, run_resumption,
};

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
    /// Simulate the patterns of crashing parts with this policy only; all if left out
    #[bpaf(argument("NAME"))]
    policy: Option<String>,
    /// Print the verdicts of each run with crashing parts
    verdicts: bool,
    /// Number of relays, instead of the pattern's
    #[bpaf(argument("COUNT"))]
    relays: Option<usize>,
    /// Simulate the patterns of crashing parts, with alternative policies too
    crashes: bool,
    /// Simulate the patterns of crashing parts without crashing parts, with their other faults only
    sound: bool,
    /// Simulate upstreams that name a rate limit, with alternative policies too
    limits: bool,
    /// Simulate instances that are cut off from all upstreams, with alternative policies too
    partitions: bool,
    /// Simulate streams that are taken up again after instances were killed
    resumptions: bool,
    /// Requests a second that a limited upstream takes; several limits if left out
    #[bpaf(argument("RATE"))]
    rate: Option<f64>,
    /// Number of engines, instead of the pattern's
    #[bpaf(argument("COUNT"))]
    engines: Option<usize>,
}

fn main() -> eyre::Result<()> {
    let options = options().run();
    if options.limits {
        return print_limits(&options);
    }
    if options.partitions {
        print_partitions(&options);
        return Ok(());
    }
    if options.resumptions {
        print_resumptions(&options);
        return Ok(());
    }
    if options.crashes || options.sound {
        return print_crashes(&options);
    }
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
            for (name, policy) in [
                ("fleet-admission", Policy::FleetAdmission),
                ("chosen", Policy::Chosen),
                ("baseline", Policy::Baseline),
            ] {
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

/// Simulates upstreams that name a rate limit, under each trouble and with each policy.
fn print_limits(options: &Options) -> eyre::Result<()> {
    let rates = options.rate.map_or_else(|| vec![0.2, 1.0, 5.0, 50.0], |rate| vec![rate]);
    for (trouble_name, trouble) in LimitTrouble::list() {
        if options.pattern.as_ref().is_some_and(|name| name != trouble_name) {
            continue;
        }
        for per_second in &rates {
            let instances = options.relays.unwrap_or(6);
            let pattern = LimitPattern {
                instances,
                upstreams: options.engines.unwrap_or(4),
                per_second: *per_second,
                demand: 3.0,
                trouble,
            };
            for (name, policy) in LimitPolicy::list() {
                if options.policy.as_ref().is_some_and(|chosen| chosen != name) {
                    continue;
                }
                for seed in 1..=options.seeds {
                    let report = run_limits(&pattern, policy, seed)
                        .ok_or_else(|| eyre::eyre!("the rate is invalid"))?;
                    let title =
                        format!("{trouble_name} {instances} at {per_second} {name} seed {seed}");
                    println!("{}", report.format_line(&title));
                }
            }
        }
    }
    Ok(())
}

/// Simulates cuts of each scope with each policy.
fn print_partitions(options: &Options) {
    let sizes = options.relays.map_or_else(|| vec![76, 295, 1_100], |relays| vec![relays]);
    for instances in sizes {
        for (scope_name, scope) in CutScope::list() {
            if options.pattern.as_ref().is_some_and(|name| name != scope_name) {
                continue;
            }
            let pattern = PartitionPattern { instances, per_second: 10.0, room: 64, scope };
            for (name, policy) in PeerPolicy::list() {
                if options.policy.as_ref().is_some_and(|chosen| chosen != name) {
                    continue;
                }
                for seed in 1..=options.seeds {
                    let report = run_partition(&pattern, policy, seed);
                    let title = format!("{scope_name} {instances} {name} seed {seed}");
                    println!("{}", report.format_line(&title));
                }
            }
        }
    }
}

/// Simulates kills of each pattern.
fn print_resumptions(options: &Options) {
    let sizes = options.relays.map_or_else(|| vec![7, 60, 295, 1_100], |relays| vec![relays]);
    for (title, pattern) in sizes.into_iter().flat_map(ResumptionPattern::list) {
        if options.pattern.as_ref().is_some_and(|name| !title.starts_with(name.as_str())) {
            continue;
        }
        for seed in 1..=options.seeds {
            let report = run_resumption(&pattern, seed);
            println!("{}", report.format_line(&format!("{title} seed {seed}")));
        }
    }
}

/// Simulates the patterns of crashing parts with each policy.
fn print_crashes(options: &Options) -> eyre::Result<()> {
    let mut is_known = false;
    for pattern in list_crash_patterns() {
        if options.pattern.as_ref().is_some_and(|name| name != pattern.name) {
            continue;
        }
        is_known = true;
        let mut pattern = pattern.with_instances(options.relays.unwrap_or(6));
        pattern.engines = options.engines.unwrap_or(pattern.engines);
        if options.sound {
            pattern = pattern.without_crashing_parts();
        }
        for (name, policy) in CrashPolicy::list() {
            if options.policy.as_ref().is_some_and(|chosen| chosen != name) {
                continue;
            }
            for seed in 1..=options.seeds {
                let report = run_crashes(&pattern, policy, seed);
                let title = format!("{} seed {seed} {name}", pattern.name);
                println!("{}", report.format_line(&title));
                for verdict in report.verdicts.iter().filter(|_| options.verdicts) {
                    println!("  {verdict:?}");
                }
            }
        }
    }
    match is_known {
        true => Ok(()),
        false => eyre::bail!("unknown pattern of crashing parts"),
    }
}

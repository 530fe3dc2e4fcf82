//! The entry process: a gateway that receives callers' requests and dispatches them to upstreams.
//!
//! Threads: the main thread runs the background tasks that call the platform, record claims (the
//! exclusive rights to run calls that may run at most once) and execute jobs; worker threads serve
//! callers; one thread serves operators; one runs the peer links; one runs the timer. Their shared
//! state is in [`state::Entry`]; each of its parts has its own lock.

mod caller;
mod claims;
mod drain;
mod jobs;
mod operator;
mod peers;
mod platform_tasks;
mod pool;
mod reports;
mod spans;
mod start;
mod state;
mod usage_tasks;

use std::path::PathBuf;

use bpaf::Bpaf;
use hickorycourse_settings::{LogFormat, LogLevel, ProcessSettings, read_document};

/// The entry process of hickorycourse. SIGTERM or SIGINT drains it: requests in flight are
/// completed, then the process exits.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Check the settings file, print its errors and exit with status 0 (valid) or 2 (invalid)
    #[bpaf(switch)]
    check: bool,
    /// Minimum level of log lines: error, warn, info or debug
    #[bpaf(argument("LEVEL"))]
    log_level: Option<LogLevel>,
    /// Format of log lines: text or json
    #[bpaf(argument("FORM"))]
    log_form: Option<LogFormat>,
    /// The settings file of this process, JSON with comments
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

const EXIT_INVALID_SETTINGS: i32 = 2;

#[ntex::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let mut settings = read_settings(&options);
    if options.check {
        println!("{} is valid.", options.file.display());
        return Ok(());
    }
    if let Some(level) = options.log_level {
        settings.log.level = level;
    }
    if let Some(form) = options.log_form {
        settings.log.form = form;
    }
    start::run(settings).await
}

/// Reads the settings file. If it is invalid, prints all errors and exits with status 2.
fn read_settings(options: &Options) -> ProcessSettings {
    read_document(&options.file).unwrap_or_else(|errors| {
        eprintln!("{}", errors.join("\n"));
        std::process::exit(EXIT_INVALID_SETTINGS)
    })
}

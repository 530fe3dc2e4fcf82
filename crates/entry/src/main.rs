//! The entry process: takes callers' requests and carries them to upstreams.
//!
//! Threads: the main thread runs the tasks that talk to the platform and move jobs and claims along;
//! worker threads serve callers; one thread serves operators; one holds the peer links; one is the
//! timer. What they share is in [`state::Entry`], in parts with a lock each.

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

/// The entry process of hickorycourse. SIGTERM or SIGINT drains it: requests in flight are finished,
/// then it ends.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Only check the settings file, say what is wrong, and end with 0 or 2
    #[bpaf(switch)]
    check: bool,
    /// Least level of log lines: error, warn, info or debug
    #[bpaf(argument("LEVEL"))]
    log_level: Option<LogLevel>,
    /// Form of log lines: text or json
    #[bpaf(argument("FORM"))]
    log_form: Option<LogFormat>,
    /// The settings of this process, JSON with comments
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

const EXIT_BAD_SETTINGS: i32 = 2;

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

/// Reads the settings or ends the process with what is wrong with them.
fn read_settings(options: &Options) -> ProcessSettings {
    read_document(&options.file).unwrap_or_else(|faults| {
        eprintln!("{}", faults.join("\n"));
        std::process::exit(EXIT_BAD_SETTINGS)
    })
}

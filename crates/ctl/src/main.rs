//! `hickoryctl`: the command line for operators.
//!
//! Most commands send requests to the operators' HTTP API of one entry, which may be any entry of the fleet;
//! `quarantine` sends them to the ready address of any relay, and `key` and `check` need neither. Exit codes:
//! 0 for success, 1 if the command line can't be parsed or the process can't be reached or responds with an
//! error, 2 if a file or the value of an argument is invalid.

mod client;
mod fleet;
mod key;
mod output;
mod quarantine;
mod settings;
mod usage;

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::client::OperatorClient;
use crate::output::CommandError;

/// Manages a hickorycourse fleet: settings, status, usage and billing.
///
/// Shell completion: `hickoryctl --bpaf-complete-style-bash` (or -zsh, -fish, -elvish) prints a
/// completion script for your shell.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Operators' address (IP:PORT) of any entry, or ready address of any relay for `quarantine`;
    /// 127.0.0.1:9080 if left out
    #[bpaf(argument("ADDRESS"), env("HICKORYCTL_ADDRESS"), fallback(default_address()))]
    address: SocketAddr,
    /// Operator key; empty if left out
    #[bpaf(argument("KEY"), env("HICKORYCTL_KEY"), fallback(String::new()))]
    key: String,
    #[bpaf(external)]
    command: Command,
}

fn default_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9080))
}

#[derive(Bpaf, Clone, Debug)]
enum Command {
    /// Read and change the settings tree
    #[bpaf(command)]
    Settings(#[bpaf(external(settings::settings_command))] settings::SettingsCommand),
    /// Generate keys and hash them
    #[bpaf(command)]
    Key(#[bpaf(external(key::key_command))] key::KeyCommand),
    /// Show the state of an entry and its view of the fleet
    #[bpaf(command)]
    Status {
        /// Print the full status as JSON
        json: bool,
    },
    /// Drain an entry: it finishes the requests in flight, then exits
    #[bpaf(command)]
    Drain,
    /// List, lift and pin quarantined parts of prompts on a relay
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine::quarantine_command))] quarantine::QuarantineCommand),
    /// Show usage by organisation, caller, service and rank
    #[bpaf(command)]
    Usage {
        /// Print comma-separated values
        csv: bool,
    },
    /// Divide the fleet's cost among the organisations by usage
    #[bpaf(command)]
    Bill {
        /// Cost to divide, in cents; computed from the prices in the settings if left out
        #[bpaf(argument("CENTS"))]
        cents: Option<u64>,
        /// Number of hours to bill at the prices in the settings; 1 if left out, ignored with --cents
        #[bpaf(argument("HOURS"), fallback(1))]
        hours: u64,
        /// Print comma-separated values
        csv: bool,
    },
    /// Validate a settings file offline
    #[bpaf(command)]
    Check {
        /// File with a settings tree, or with the settings of a site, an organisation, an entry or a relay
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[ntex::main]
async fn main() {
    let options = options().run();
    if let Err(error) = run(options).await {
        eprintln!("{error}");
        std::process::exit(error.exit_code());
    }
}

async fn run(options: Options) -> Result<(), CommandError> {
    // Relays have no operator keys and must not receive one.
    let key = match options.command {
        Command::Quarantine(_) => "",
        _ => options.key.as_str(),
    };
    let client = OperatorClient::new(options.address, key).await;
    match options.command {
        Command::Settings(command) => settings::run(&client, command).await,
        Command::Key(command) => key::run(command),
        Command::Status { json } => fleet::show_status(&client, json).await,
        Command::Drain => fleet::drain(&client).await,
        Command::Quarantine(command) => quarantine::run(&client, command).await,
        Command::Usage { csv } => usage::show(&client, csv).await,
        Command::Bill { cents, hours, csv } => usage::bill(&client, cents, hours, csv).await,
        Command::Check { file } => settings::check(&file),
    }
}

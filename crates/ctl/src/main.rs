//! `hickoryctl`: the operators' command line.
//!
//! It talks to the operators' port of any entry. It ends with 0 when all went well, 1 when the
//! answer was an error, 2 when the command line or a file was wrong.

mod client;
mod fleet;
mod key;
mod output;
mod settings;
mod usage;

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::client::OperatorClient;
use crate::output::Failure;

/// Operates hickorycourse.
///
/// Shell completion: `hickoryctl --bpaf-complete-style-bash` (or -zsh, -fish, -elvish) prints a
/// script for your shell.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Operators' address of any entry
    #[bpaf(argument("ADDRESS"), env("HICKORYCTL_ADDRESS"), fallback(default_address()))]
    address: SocketAddr,
    /// The operator's key
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
    /// Make keys and their hashes
    #[bpaf(command)]
    Key(#[bpaf(external(key::key_command))] key::KeyCommand),
    /// Show the state of an entry and what it knows of the fleet
    #[bpaf(command)]
    Status {
        /// Print all of it as JSON
        json: bool,
    },
    /// Let an entry finish what is in flight and end
    #[bpaf(command)]
    Drain,
    /// Show usage by organisation, caller, service and rank
    #[bpaf(command)]
    Usage {
        /// Print comma-separated values
        csv: bool,
    },
    /// Split the fleet's cost among the organisations
    #[bpaf(command)]
    Bill {
        /// The cost to split, in cents; worked out from the prices in the settings if left out
        #[bpaf(argument("CENTS"))]
        cents: Option<u64>,
        /// Hours that the prices are multiplied by
        #[bpaf(argument("HOURS"), fallback(1))]
        hours: u64,
        /// Print comma-separated values
        csv: bool,
    },
    /// Check a settings file without any entry
    #[bpaf(command)]
    Check {
        /// A tree, a site, an organisation or the settings of a process
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[ntex::main]
async fn main() {
    let options = options().run();
    if let Err(failure) = run(options).await {
        eprintln!("{failure}");
        std::process::exit(failure.exit_code());
    }
}

async fn run(options: Options) -> Result<(), Failure> {
    let client = OperatorClient::new(options.address, &options.key).await;
    match options.command {
        Command::Settings(command) => settings::run(&client, command).await,
        Command::Key(command) => key::run(command),
        Command::Status { json } => fleet::show_status(&client, json).await,
        Command::Drain => fleet::drain(&client).await,
        Command::Usage { csv } => usage::show(&client, csv).await,
        Command::Bill { cents, hours, csv } => usage::bill(&client, cents, hours, csv).await,
        Command::Check { file } => settings::check(&file),
    }
}

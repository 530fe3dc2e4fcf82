//! The command `hickoryctl quarantine`.

use bpaf::Bpaf;
use serde::Deserialize;
use serde_json::Value;

use crate::client::OperatorClient;
use crate::output::{CommandError, print_table};

/// List, lift and pin quarantined parts of prompts and whole requests. Requests with such a part, and such
/// requests, are rejected with 1014, as upstreams crash on them. Set `--address` to the ready address of any relay; the others are told. Relays
/// accept `lift` and `pin` only from their own host.
#[derive(Bpaf, Clone, Debug)]
pub enum QuarantineCommand {
    /// List the quarantined parts that the relay knows
    #[bpaf(command)]
    List {
        /// Print the list as JSON
        json: bool,
    },
    /// Lift the quarantine of a part on all relays; fails if it is not quarantined
    #[bpaf(command)]
    Lift {
        /// Hash of the part in hexadecimal, as `list` prints it
        #[bpaf(positional("PART"))]
        part: String,
    },
    /// Quarantine a part on all relays until it is lifted
    #[bpaf(command)]
    Pin {
        /// Hash of the part in hexadecimal
        #[bpaf(positional("PART"))]
        part: String,
    },
}

#[derive(Deserialize)]
struct QuarantineList {
    parts: Vec<QuarantinedPart>,
}

#[derive(Deserialize)]
struct QuarantinedPart {
    part: String,
    #[serde(default)]
    is_request: bool,
    starts: u64,
    is_pinned: bool,
    age_ms: u64,
    last_request_age_ms: u64,
}

const MILLISECONDS_PER_SECOND: u64 = 1_000;

/// Executes a quarantine command and prints the result.
pub async fn run(client: &OperatorClient, command: QuarantineCommand) -> Result<(), CommandError> {
    match command {
        QuarantineCommand::List { json: true } => {
            let list: Value = client.get("/quarantine").await?;
            println!("{list:#}");
        }
        QuarantineCommand::List { json: false } => print_list(&client.get("/quarantine").await?),
        QuarantineCommand::Lift { part } => {
            let part = parse_part(&part)?;
            client.delete(&format!("/quarantine/{part:x}")).await?;
            println!("Part {part:x} is lifted. Other relays are told within seconds.");
        }
        QuarantineCommand::Pin { part } => {
            let part = parse_part(&part)?;
            client.put_empty(&format!("/quarantine/{part:x}")).await?;
            println!("Part {part:x} is quarantined. Other relays are told within seconds.");
        }
    }
    Ok(())
}

fn parse_part(text: &str) -> Result<u64, CommandError> {
    let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let part = u64::from_str_radix(text, 16).ok().filter(|_| is_hexadecimal);
    part.ok_or_else(|| {
        CommandError::Usage(format!("`{text}` is not a part: 1 to 16 hexadecimal digits."))
    })
}

fn print_list(list: &QuarantineList) {
    let rows: Vec<Vec<String>> = list
        .parts
        .iter()
        .map(|part| {
            vec![
                part.part.clone(),
                if part.is_request { "request" } else { "part" }.to_owned(),
                part.starts.to_string(),
                part.is_pinned.to_string(),
                (part.age_ms / MILLISECONDS_PER_SECOND).to_string(),
                (part.last_request_age_ms / MILLISECONDS_PER_SECOND).to_string(),
            ]
        })
        .collect();
    print_table(
        &["PART", "KIND", "ENDED_STARTS", "PINNED", "AGE_S", "LAST_REQUEST_S"],
        &rows,
        false,
    );
}

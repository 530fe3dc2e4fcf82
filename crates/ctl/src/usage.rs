//! `hickoryctl usage` and `bill`.

use hickorycourse_settings::document::Document;
use hickorycourse_settings::{Site, parse_document};
use hickorycourse_usage::{Bill, UsageTable};

use crate::client::OperatorClient;
use crate::output::{Failure, print_table};

const MILLICENTS_PER_CENT: u64 = 1_000;

/// Shows usage.
pub async fn show(client: &OperatorClient, csv: bool) -> Result<(), Failure> {
    let book: UsageTable = client.get("/v1/usage").await?;
    let rows: Vec<Vec<String>> = book
        .list_rows()
        .into_iter()
        .map(|row| {
            let count = row.count;
            vec![
                row.key.organisation,
                row.key.caller,
                row.key.service,
                row.key.rank,
                count.answered.to_string(),
                count.failed.to_string(),
                count.prompt_tokens.to_string(),
                count.cached_tokens.to_string(),
                count.answer_tokens.to_string(),
                count.recomputed_tokens.to_string(),
            ]
        })
        .collect();
    let head = [
        "organisation",
        "caller",
        "service",
        "rank",
        "answered",
        "failed",
        "prompt_tokens",
        "cached_tokens",
        "answer_tokens",
        "recomputed_tokens",
    ];
    print_table(&head, &rows, csv);
    Ok(())
}

/// Splits the cost.
pub async fn bill(
    client: &OperatorClient,
    cents: Option<u64>,
    hours: u64,
    csv: bool,
) -> Result<(), Failure> {
    let cost_cents = match cents {
        Some(cents) => cents,
        None => compute_cost_cents(client, hours).await?,
    };
    let book: UsageTable = client.get("/v1/usage").await?;
    let bill = Bill::split(cost_cents, &book);
    let rows: Vec<Vec<String>> = bill
        .lines
        .iter()
        .map(|line| {
            vec![
                line.organisation.clone(),
                line.billed_tokens.to_string(),
                line.count.recomputed_tokens.to_string(),
                format!("{}.{:02}", line.owed_cents / 100, line.owed_cents % 100),
            ]
        })
        .collect();
    print_table(&["organisation", "billed_tokens", "recomputed_tokens", "owed"], &rows, csv);
    Ok(())
}

/// Adds up the prices of the upstreams in the settings.
async fn compute_cost_cents(client: &OperatorClient, hours: u64) -> Result<u64, Failure> {
    let document: Document = client.get("/v1/settings/site").await?;
    let site: Site = parse_document(&document.text)
        .map_err(|faults| Failure::Answer(format!("{}", faults[0])))?;
    let price = |upstream: &hickorycourse_settings::UpstreamSettings| {
        let found = site.prices.iter().find(|price| {
            price.availability_zone == upstream.availability_zone
                && price.machine_class == upstream.machine_class
        });
        found.map_or(0, |price| price.millicents_per_hour)
    };
    let millicents: u64 = site.upstreams.iter().map(price).sum();
    Ok((millicents * hours).div_ceil(MILLICENTS_PER_CENT))
}

//! The commands `hickoryctl usage` and `hickoryctl bill`.

use hickorycourse_settings::document::Document;
use hickorycourse_settings::{Site, parse_document};
use hickorycourse_usage::{Bill, UsageTable};

use crate::client::OperatorClient;
use crate::output::{CommandError, print_table};

const MILLICENTS_PER_CENT: u64 = 1_000;

/// Prints the usage counters by organisation, caller, service and rank.
pub async fn show(client: &OperatorClient, csv: bool) -> Result<(), CommandError> {
    let usage_table: UsageTable = client.get("/v1/usage").await?;
    let rows: Vec<Vec<String>> = usage_table
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
    let header = [
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
    print_table(&header, &rows, csv);
    Ok(())
}

/// Divides a cost among the organisations by their usage and prints the bill. Without `cents`, the cost
/// is computed from the prices of the site's upstreams over `hours`.
pub async fn bill(
    client: &OperatorClient,
    cents: Option<u64>,
    hours: u64,
    csv: bool,
) -> Result<(), CommandError> {
    let cost_cents = match cents {
        Some(cents) => cents,
        None => compute_cost_cents(client, hours).await?,
    };
    let usage_table: UsageTable = client.get("/v1/usage").await?;
    let bill = Bill::split(cost_cents, &usage_table);
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

/// Sums the hourly prices of the upstreams in the settings over `hours`, rounded up to whole cents.
/// Upstreams without a price entry cost nothing.
async fn compute_cost_cents(client: &OperatorClient, hours: u64) -> Result<u64, CommandError> {
    let document: Document = client.get("/v1/settings/site").await?;
    let site: Site = parse_document(&document.text)
        .map_err(|errors| CommandError::Request(format!("{}", errors[0])))?;
    let price = |upstream: &hickorycourse_settings::UpstreamSettings| {
        let price_entry = site.prices.iter().find(|price| {
            price.availability_zone == upstream.availability_zone
                && price.machine_class == upstream.machine_class
        });
        price_entry.map_or(0, |price| price.millicents_per_hour)
    };
    let millicents: u64 = site.upstreams.iter().map(price).sum();
    Ok((millicents * hours).div_ceil(MILLICENTS_PER_CENT))
}

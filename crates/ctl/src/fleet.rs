//! The commands `hickoryctl status` and `hickoryctl drain`.

use serde_json::Value;

use crate::client::OperatorClient;
use crate::output::{CommandError, print_table};

/// Prints an entry's state, its peers and its upstreams.
pub async fn show_status(client: &OperatorClient, json: bool) -> Result<(), CommandError> {
    let status: Value = client.get("/v1/status").await?;
    if json {
        println!("{status:#}");
        return Ok(());
    }
    println!(
        "{} in {}: leaving {}, platform up {}, {} requests in flight, settings {}",
        cell_text(&status["instance"]),
        cell_text(&status["availability_zone"]),
        status["is_leaving"],
        status["is_platform_up"],
        status["in_flight"],
        cell_text(&status["settings_digest"]),
    );
    print_members(&status);
    print_upstreams(&status);
    Ok(())
}

fn print_members(status: &Value) {
    let empty = Vec::new();
    let members = status["members"].as_array().unwrap_or(&empty);
    let rows: Vec<Vec<String>> = members
        .iter()
        .map(|member| {
            ["instance", "availability_zone", "is_reachable", "is_leaving"]
                .iter()
                .map(|name| cell_text(&member[*name]))
                .collect()
        })
        .collect();
    println!();
    print_table(&["ENTRY", "AVAILABILITY_ZONE", "REACHABLE", "LEAVING"], &rows, false);
}

fn print_upstreams(status: &Value) {
    let mut rows = Vec::new();
    for (service, pool) in status["services"].as_object().into_iter().flatten() {
        for upstream in pool["upstreams"].as_array().into_iter().flatten() {
            let mut row = vec![service.clone()];
            let names = [
                "instance",
                "availability_zone",
                "own_in_flight",
                "own_limit",
                "in_flight",
                "is_leaving",
                "is_ejected",
            ];
            row.extend(names.iter().map(|name| cell_text(&upstream[*name])));
            rows.push(row);
        }
    }
    let header =
        ["SERVICE", "UPSTREAM", "AVAILABILITY_ZONE", "OWN", "LIMIT", "ALL", "LEAVING", "EJECTED"];
    println!();
    print_table(&header, &rows, false);
}

fn cell_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Starts the drain of an entry; returns without waiting for its end.
pub async fn drain(client: &OperatorClient) -> Result<(), CommandError> {
    client.post("/v1/drain").await?;
    println!("The entry is draining: it finishes the requests in flight, then exits.");
    Ok(())
}

//! Metrics, status, settings convergence and usage for operators.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use hickorycourse_codes::{ErrorCode, Problem};
use ntex::web::HttpResponse;
use serde_json::{Value, json};

use crate::state::Entry;
use crate::usage_tasks;

/// Renders all metrics in the Prometheus text format.
pub fn render_metrics(entry: &Entry) -> HttpResponse {
    if let Some(mesh) = entry.mesh() {
        let traffic = mesh.traffic();
        metrics::counter!("hickorycourse_peer_sent_bytes_total").absolute(traffic.sent_bytes);
        metrics::counter!("hickorycourse_peer_received_bytes_total")
            .absolute(traffic.received_bytes);
    }
    let in_flight = entry.drain.in_flight();
    metrics::gauge!("hickorycourse_requests_in_flight").set(in_flight as f64);
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(entry.meter.render())
}

/// Describes the state of this entry, its members and its pools.
pub fn describe_entry(entry: &Entry) -> HttpResponse {
    let now_ms = entry.clock.now_ms();
    let pools: BTreeMap<String, Value> = entry
        .pools
        .read()
        .iter()
        .map(|(service, pool)| {
            let value =
                json!({ "queue": pool.queue_summary(), "upstreams": pool.list_upstreams() });
            (service.clone(), value)
        })
        .collect();
    let snapshot = entry.snapshot();
    HttpResponse::Ok().json(&json!({
        "instance": entry.settings.instance,
        "availability_zone": entry.settings.availability_zone,
        "incarnation": format!("{:x}", entry.incarnation),
        "is_leaving": entry.drain.is_leaving(),
        "in_flight": entry.drain.in_flight(),
        "is_platform_up": entry.is_platform_up.load(Ordering::Relaxed),
        "settings_digest": format!("{:016x}", snapshot.digest),
        "settings": entry.replica.read().list_versions(),
        "members": entry.members.lock().list_status(now_ms),
        "linked": entry.mesh().map(|mesh| mesh.list_connected_peers()).unwrap_or_default(),
        "services": pools,
    }))
}

/// Lists which members have the same settings in force as this entry, by digest.
pub fn list_settings_convergence(entry: &Entry) -> HttpResponse {
    let digest = entry.snapshot().digest;
    let members = entry.members.lock().list_status(entry.clock.now_ms());
    let member_rows: Vec<Value> = members
        .iter()
        .map(|member| {
            json!({
                "instance": member.instance,
                "is_reachable": member.is_reachable,
                "is_in_force": member.settings_digest == Some(digest),
            })
        })
        .collect();
    HttpResponse::Ok().json(&json!({
        "instance": entry.settings.instance,
        "settings": entry.replica.read().list_versions(),
        "members": member_rows,
    }))
}

/// Sums the usage of the fleet.
///
/// # Errors
/// [`ErrorCode::PlatformUnavailable`] if the recorded usage can't be read.
pub async fn sum_usage(entry: &Entry) -> Result<HttpResponse, Problem> {
    let key_value = super::key_value_client(entry).await;
    let usage = usage_tasks::sum_usage(entry, key_value.as_ref()).await.map_err(|error| {
        Problem::new(ErrorCode::PlatformUnavailable).with_detail(format!("{error}."))
    })?;
    Ok(HttpResponse::Ok().json(&usage))
}

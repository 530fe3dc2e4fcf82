//! A plain service that counts how often each order was executed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::{StreamExt, stream};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{self, BodyStream, broken, pause_ms};

/// Faults; each holds until it is switched off.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Wait before the order is executed.
    delay_before_ms: u64,
    /// Wait after it, before the answer.
    delay_after_ms: u64,
    /// Close the connection before the order is executed.
    break_before: bool,
    /// Execute the order, then close the connection.
    break_after: bool,
    /// Send half of the answer, then close the connection.
    truncate: bool,
    /// Answer with another request's id.
    cross: bool,
    /// Answer with this status, without executing.
    status: Option<u16>,
    /// Refuse to execute an order twice.
    check_duplicates: bool,
}

#[derive(Default)]
struct Service {
    faults: Faults,
    /// Executions by order.
    executions: BTreeMap<String, u64>,
    calls: u64,
    last_request: serde_json::Value,
}

type Shared = Arc<Mutex<Service>>;

/// Runs the service.
pub async fn run(address: SocketAddr) -> std::io::Result<()> {
    let shared = Shared::default();
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .route("/faults", web::post().to(set_faults))
            .route("/stats", web::get().to(get_stats))
            .route("/load", web::get().to(get_load))
            .default_service(web::route().to(execute))
    })
    .workers(1)
    .listen(http::listen(address)?)?
    .run()
    .await
}

async fn set_faults(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    match http::read_json(payload).await {
        Ok(faults) => {
            shared.lock().faults = faults;
            HttpResponse::NoContent().finish()
        }
        Err(refusal) => refusal,
    }
}

async fn get_stats(shared: types::State<Shared>) -> HttpResponse {
    let service = shared.lock();
    http::json(&json!({
        "calls": service.calls,
        "executions": service.executions,
        "last_request": service.last_request,
    }))
}

async fn get_load() -> HttpResponse {
    http::json(&hickorycourse_upstream::UpstreamReport::default())
}

async fn execute(
    request: HttpRequest,
    shared: types::State<Shared>,
    payload: types::Payload,
) -> HttpResponse {
    let Some(body) = http::read_body(payload).await else {
        return HttpResponse::BadRequest().finish();
    };
    let order = name_order(&request, &body);
    let faults = {
        let mut service = shared.lock();
        service.calls += 1;
        service.last_request = describe(&request, &body);
        service.faults.clone()
    };
    pause_ms(faults.delay_before_ms).await;
    if faults.break_before {
        return break_off(&[]);
    }
    if let Some(status) = faults.status {
        let status = ntex::http::StatusCode::from_u16(status).unwrap_or_default();
        return HttpResponse::build(status).body("told to fail\n");
    }
    let executions = {
        let mut service = shared.lock();
        let count = service.executions.entry(order.clone()).or_default();
        if faults.check_duplicates && *count > 0 {
            return HttpResponse::Conflict().body("executed before\n");
        }
        *count += 1;
        *count
    };
    pause_ms(faults.delay_after_ms).await;
    if faults.break_after {
        return break_off(&[]);
    }
    answer(&request, &order, executions, &body, &faults)
}

fn answer(
    request: &HttpRequest,
    order: &str,
    executions: u64,
    body: &[u8],
    faults: &Faults,
) -> HttpResponse {
    let text = json!({
        "order": order,
        "executions": executions,
        "method": request.method().as_str(),
        "path": request.path(),
        "query": request.query_string(),
        "echo": String::from_utf8_lossy(body),
    });
    let text = format!("{text}\n");
    if faults.truncate {
        return break_off(&text.as_bytes()[..text.len() / 2]);
    }
    let mut response = HttpResponse::Ok();
    response.header("content-type", "application/json");
    // Headers of the hop, which must not be passed on.
    response.header("keep-alive", "timeout=5");
    response.header("proxy-authenticate", "Basic");
    if let Some(id) = http::header(request, "x-request-id") {
        let id = if faults.cross { "another-request" } else { id };
        response.header("x-request-id", id);
    }
    response.body(text)
}

fn name_order(request: &HttpRequest, body: &[u8]) -> String {
    match http::header(request, "idempotency-key") {
        Some(key) => key.to_owned(),
        None => String::from_utf8_lossy(body).into_owned(),
    }
}

fn describe(request: &HttpRequest, body: &[u8]) -> serde_json::Value {
    let headers: BTreeMap<String, String> = request
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    json!({
        "method": request.method().as_str(),
        "path": request.path(),
        "query": request.query_string(),
        "headers": headers,
        "body": String::from_utf8_lossy(body),
    })
}

/// Sends the start of an answer that announces more, then closes the connection.
fn break_off(start: &[u8]) -> HttpResponse {
    let first = stream::once(std::future::ready(Ok(Bytes::copy_from_slice(start))));
    let last = stream::once(std::future::ready(Err(broken())));
    let body: BodyStream = match start.is_empty() {
        true => Box::pin(last),
        false => Box::pin(first.chain(last)),
    };
    HttpResponse::Ok().content_type("application/json").streaming(body)
}

//! Stand-in for a plain service (one without a model): counts the executions of each order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::{StreamExt, stream};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{self, BodyStream, body_interrupted, sleep_ms};

/// Injected faults; they apply until the next `POST /faults`, which replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Delay before the execution of an order.
    delay_before_ms: u64,
    /// Delay between the execution and the response.
    delay_after_ms: u64,
    /// Close the connection without executing the order.
    break_before: bool,
    /// Execute the order, then close the connection.
    break_after: bool,
    /// Send half of the response body, then close the connection.
    truncate: bool,
    /// Respond with another request's id in `x-request-id`.
    cross: bool,
    /// Respond with this status without executing the order.
    status: Option<u16>,
    /// Respond with 409 to an order that has been executed already.
    check_duplicates: bool,
}

#[derive(Default)]
struct Service {
    faults: Faults,
    /// Number of executions by order key: the idempotency key, or the body of a request without one.
    executions: BTreeMap<String, u64>,
    calls: u64,
    last_request: serde_json::Value,
}

type Shared = Arc<Mutex<Service>>;

/// Runs the service until the process is stopped.
pub async fn run(address: SocketAddr) -> std::io::Result<()> {
    let shared = Shared::default();
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .route("/faults", web::post().to(set_faults))
            .route("/stats", web::get().to(get_stats))
            .route("/load", web::get().to(get_load))
            .default_service(web::route().to(execute_order))
    })
    .workers(1)
    .config(http::server_config())
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
        Err(error_response) => error_response,
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

async fn execute_order(
    request: HttpRequest,
    shared: types::State<Shared>,
    payload: types::Payload,
) -> HttpResponse {
    let Some(body) = http::read_body(payload).await else {
        return HttpResponse::BadRequest().finish();
    };
    let order = order_key(&request, &body);
    let faults = {
        let mut service = shared.lock();
        service.calls += 1;
        service.last_request = describe_request(&request, &body);
        service.faults.clone()
    };
    sleep_ms(faults.delay_before_ms).await;
    if faults.break_before {
        return interrupted_response(&[]);
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
    sleep_ms(faults.delay_after_ms).await;
    if faults.break_after {
        return interrupted_response(&[]);
    }
    build_response(&request, &order, executions, &body, &faults)
}

fn build_response(
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
        return interrupted_response(&text.as_bytes()[..text.len() / 2]);
    }
    let mut response = HttpResponse::Ok();
    response.header("content-type", "application/json");
    // Hop-by-hop headers, which proxies must not forward.
    response.header("keep-alive", "timeout=5");
    response.header("proxy-authenticate", "Basic");
    if let Some(id) = http::header(request, "x-request-id") {
        let id = if faults.cross { "another-request" } else { id };
        response.header("x-request-id", id);
    }
    response.body(text)
}

fn order_key(request: &HttpRequest, body: &[u8]) -> String {
    match http::header(request, "idempotency-key") {
        Some(key) => key.to_owned(),
        None => String::from_utf8_lossy(body).into_owned(),
    }
}

fn describe_request(request: &HttpRequest, body: &[u8]) -> serde_json::Value {
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

/// A response that sends `start` as the beginning of a streamed body, then closes the connection.
fn interrupted_response(start: &[u8]) -> HttpResponse {
    let first = stream::once(std::future::ready(Ok(Bytes::copy_from_slice(start))));
    let last = stream::once(std::future::ready(Err(body_interrupted())));
    let body: BodyStream = match start.is_empty() {
        true => Box::pin(last),
        false => Box::pin(first.chain(last)),
    };
    HttpResponse::Ok().content_type("application/json").streaming(body)
}

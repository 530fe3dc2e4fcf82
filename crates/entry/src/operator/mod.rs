//! The HTTP API for operators: status, metrics, usage, draining and settings.

mod settings;
mod status;

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_settings::{hash_key, key_matches};
use hickorycourse_store::{GatewayClient, KeyValue};
use ntex::http::Method;
use ntex::web::{HttpRequest, HttpResponse, types};

use crate::caller::{discard_body, finish_response, problem_response};
use crate::drain::{self, RequestKind};
use crate::state::{Entry, InFlightGuard};

thread_local! {
    static KEY_VALUE: OnceCell<Rc<dyn KeyValue>> = const { OnceCell::new() };
}

/// The key-value client of the current thread, created on first use.
async fn key_value_client(entry: &Entry) -> Rc<dyn KeyValue> {
    if let Some(client) = KEY_VALUE.with(|cell| cell.get().cloned()) {
        return client;
    }
    let settings = &entry.settings;
    let timeout_ms = settings.timing.platform_timeout_ms;
    let client = GatewayClient::new(&settings.platform_addresses, timeout_ms).await;
    let client: Rc<dyn KeyValue> = Rc::new(client);
    KEY_VALUE.with(|cell| Rc::clone(cell.get_or_init(|| client)))
}

/// Handles a request of an operator.
pub async fn handle_request(
    request: HttpRequest,
    payload: types::Payload,
    entry: types::State<Arc<Entry>>,
) -> HttpResponse {
    let entry: Arc<Entry> = Arc::clone(&entry);
    let guard = InFlightGuard::try_admit(&entry, RequestKind::Operator);
    let result = match &guard {
        Some(_) => route_request(&entry, &request, payload).await,
        None => {
            discard_body(&entry, &request, payload).await;
            Err(ErrorCode::Draining.into())
        }
    };
    let response =
        result.unwrap_or_else(|problem| problem_response(&problem, &entry.generate_id()));
    finish_response(&entry, response, request.io(), guard)
}

async fn route_request(
    entry: &Arc<Entry>,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<HttpResponse, Problem> {
    authenticate(entry, request)?;
    let path = request.path();
    let is_get = request.method() == Method::GET;
    match path {
        "/metrics" if is_get => Ok(status::render_metrics(entry)),
        "/v1/status" if is_get => Ok(status::describe_entry(entry)),
        "/v1/in-force" if is_get => Ok(status::list_settings_convergence(entry)),
        "/v1/usage" if is_get => status::sum_usage(entry).await,
        "/v1/drain" if request.method() == Method::POST => {
            drain::start_drain(entry, "drain requested by an operator");
            Ok(HttpResponse::Accepted().finish())
        }
        "/v1/settings" if is_get => settings::list(entry).await,
        _ => settings::handle(entry, request, payload).await,
    }
}

fn authenticate(entry: &Entry, request: &HttpRequest) -> Result<(), Problem> {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
    let presented_hash = hash_key(key.trim());
    let operator_hashes = &entry.settings.operator_key_hashes;
    match operator_hashes.iter().any(|stored| key_matches(stored, &presented_hash)) {
        true => Ok(()),
        false => Err(ErrorCode::UnknownOperatorKey.into()),
    }
}

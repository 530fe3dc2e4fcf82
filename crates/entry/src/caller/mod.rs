//! The HTTP API for callers: health checks, request validation and routing to the handlers.

mod async_jobs;
mod at_most_once;
mod chat;
mod completion_writer;
mod connections;
mod context;
mod models;
mod order_ids;
mod plain;
mod respond;
mod response_body;
mod session;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_body::{BodyLimits, FIELD_BYTES, ReceivedBody, declared_length, no_room_problem};
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_upstream::HttpUpstreams;
use ntex::http::Method;
use ntex::web::{HttpRequest, HttpResponse, types};

use crate::drain::RequestKind;
use crate::state::{Entry, InFlightGuard};

pub use at_most_once::{problem_to_forward_answer, run_forwarded_calls};
pub use chat::{is_transient_failure, run_job};
pub use connections::wait_until_closed;
pub use context::CallContext;
pub use respond::{finish_response, problem_response};

thread_local! {
    static UPSTREAMS: Rc<HttpUpstreams> = Rc::new(HttpUpstreams::new());
}

/// The HTTP clients of the current thread for calls to upstreams.
pub fn upstreams() -> Rc<HttpUpstreams> {
    UPSTREAMS.with(Rc::clone)
}

/// Handles a request of a caller, or a health check.
pub async fn handle_request(
    request: HttpRequest,
    payload: types::Payload,
    entry: types::State<Arc<Entry>>,
) -> HttpResponse {
    let entry: Arc<Entry> = Arc::clone(&entry);
    connections::track(&entry, request.io());
    match request.path() {
        "/healthz" => return respond::close_if_leaving(&entry, HttpResponse::Ok().body("alive\n")),
        "/readyz" => return respond::close_if_leaving(&entry, respond_readiness(&entry)),
        _ => {}
    }
    let guard = InFlightGuard::try_admit(&entry, RequestKind::Caller);
    let mut context = CallContext::new(&entry, &request, guard);
    let result = match check_request(&mut context, &request) {
        Ok(()) => route_request(&mut context, &request, payload).await,
        Err(problem) => {
            discard_body(&entry, &request, payload).await;
            Err(problem)
        }
    };
    respond::finalize(context, result, request.io())
}

fn respond_readiness(entry: &Entry) -> HttpResponse {
    if entry.drain.is_leaving() {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    if entry.snapshot().site.is_none() {
        return HttpResponse::ServiceUnavailable().body("no settings yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}

fn check_request(context: &mut CallContext, request: &HttpRequest) -> Result<(), Problem> {
    validate_request(context, request)?;
    context.authenticate(request)
}

/// Reads the body of a rejected request. If the connection were closed while the body arrives, it
/// would be reset, and the caller could lose the response.
pub async fn discard_body(entry: &Entry, request: &HttpRequest, payload: types::Payload) {
    let limits = body_limits(entry);
    let declared_bytes = declared_length(request);
    let reservation = entry.bodies.reserve();
    let _ = hickorycourse_body::discard_body(payload, declared_bytes, limits, reservation).await;
}

/// Reads the body of a request within the limits of callers' bodies.
pub async fn read_body(
    entry: &Entry,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<ReceivedBody, Problem> {
    let mut reservation = entry.bodies.reserve();
    if !reservation.grow(request.headers().iter().count() * FIELD_BYTES) {
        return Err(no_room_problem());
    }
    let limits = body_limits(entry);
    hickorycourse_body::read_body(payload, declared_length(request), limits, reservation).await
}

fn body_limits(entry: &Entry) -> BodyLimits {
    let limits = &entry.settings.limits;
    BodyLimits {
        body_bytes: limits.body_bytes,
        time_limit: Duration::from_millis(limits.body_timeout_ms),
    }
}

async fn route_request(
    context: &mut CallContext,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<HttpResponse, Problem> {
    let path = request.path();
    let is_post = request.method() == Method::POST;
    let is_get = request.method() == Method::GET;
    match path {
        "/v1/chat/completions" if is_post => chat::handle(context, request, payload).await,
        "/v1/models" if is_get => Ok(models::list(context)),
        "/v1/order-ids" if is_post => Ok(order_ids::issue(context)),
        "/v1/chat/completions" | "/v1/models" | "/v1/order-ids" => {
            Err(ErrorCode::MethodNotAllowed.into())
        }
        _ if path.starts_with("/v1/models/") && is_get => models::get(context, path),
        _ if path.starts_with("/v1/jobs/") && is_get => async_jobs::get_status(context, path).await,
        _ => plain::handle(context, request, payload).await,
    }
}

fn validate_request(context: &CallContext, request: &HttpRequest) -> Result<(), Problem> {
    let entry = &context.entry;
    let limits = &entry.settings.limits;
    if !context.is_admitted() {
        return Err(Problem::new(ErrorCode::Draining).with_retry_after_s(1));
    }
    if entry.drain.in_flight() > limits.requests as u64 {
        return Err(Problem::new(ErrorCode::TooManyRequests).with_retry_after_s(1));
    }
    let headers = request.headers();
    // A request must have exactly one Host header (RFC 9112, 3.2).
    if headers.get_all("host").count() != 1 {
        return Err(ErrorCode::InvalidHost.into());
    }
    let header_bytes: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.as_bytes().len()).sum();
    if header_bytes > limits.header_bytes || headers.len() > limits.header_count {
        return Err(ErrorCode::HeadersTooLarge.into());
    }
    if context.snapshot.site.is_none() {
        return Err(Problem::new(ErrorCode::SettingsMissing).with_retry_after_s(1));
    }
    Ok(())
}

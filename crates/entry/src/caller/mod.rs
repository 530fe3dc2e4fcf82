//! The callers' port.

mod answer_chunk;
mod chat;
mod context;
mod job_calls;
mod models;
mod order_calls;
mod orders;
mod plain;
mod respond;
mod session;

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_upstream::HttpUpstreams;
use ntex::http::Method;
use ntex::web::{HttpRequest, HttpResponse, types};

use crate::state::{Entry, InFlightGuard};

pub use chat::{is_passing, run_job};
pub use context::CallContext;
pub use order_calls::run_forwarded_calls;
pub use respond::write_problem;

thread_local! {
    static UPSTREAMS: Rc<HttpUpstreams> = Rc::new(HttpUpstreams::new());
}

/// The upstream clients of this thread.
pub fn upstreams() -> Rc<HttpUpstreams> {
    UPSTREAMS.with(Rc::clone)
}

/// Answers one request of a caller.
pub async fn answer(
    request: HttpRequest,
    payload: types::Payload,
    entry: types::State<Arc<Entry>>,
) -> HttpResponse {
    let entry: Arc<Entry> = Arc::clone(&entry);
    match request.path() {
        "/healthz" => return HttpResponse::Ok().body("alive\n"),
        "/readyz" => return answer_readiness(&entry),
        _ => {}
    }
    let guard = InFlightGuard::new(&entry);
    let mut context = CallContext::new(&entry, &request, guard);
    let result = serve(&mut context, &request, payload).await;
    respond::finish(context, result)
}

fn answer_readiness(entry: &Entry) -> HttpResponse {
    if entry.drain.is_leaving() {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    if entry.snapshot().site.is_none() {
        return HttpResponse::ServiceUnavailable().body("no settings yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn serve(
    context: &mut CallContext,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<HttpResponse, Problem> {
    check_limits(context, request)?;
    context.identify(request)?;
    let path = request.path();
    let is_post = request.method() == Method::POST;
    let is_get = request.method() == Method::GET;
    match path {
        "/v1/chat/completions" if is_post => chat::answer(context, request, payload).await,
        "/v1/models" if is_get => Ok(models::list(context)),
        "/v1/order-ids" if is_post => Ok(orders::issue(context)),
        "/v1/chat/completions" | "/v1/models" | "/v1/order-ids" => {
            Err(ErrorCode::MethodNotAllowed.into())
        }
        _ if path.starts_with("/v1/models/") && is_get => models::find(context, path),
        _ if path.starts_with("/v1/jobs/") && is_get => job_calls::find(context, path).await,
        _ => plain::answer(context, request, payload).await,
    }
}

fn check_limits(context: &CallContext, request: &HttpRequest) -> Result<(), Problem> {
    let entry = &context.entry;
    let limits = &entry.settings.limits;
    if entry.drain.is_refusing_requests(entry.clock.now_ms()) {
        return Err(Problem::new(ErrorCode::Draining).with_retry_after_s(1));
    }
    if entry.in_flight.load(Ordering::SeqCst) > limits.requests as u64 {
        return Err(Problem::new(ErrorCode::TooManyRequests).with_retry_after_s(1));
    }
    let headers = request.headers();
    // Exactly one host must be named (RFC 9112, 3.2).
    if headers.get_all("host").count() != 1 {
        return Err(ErrorCode::InvalidHost.into());
    }
    let bytes: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.as_bytes().len()).sum();
    if bytes > limits.header_bytes || headers.len() > limits.header_count {
        return Err(ErrorCode::HeadersTooLarge.into());
    }
    if context.snapshot.site.is_none() {
        return Err(Problem::new(ErrorCode::SettingsMissing).with_retry_after_s(1));
    }
    Ok(())
}

//! Finalizes responses: common headers, problem documents, metrics and the request span.

use hickorycourse_codes::Problem;
use hickorycourse_usage::UsageCount;
use ntex::http::body::{Body, ResponseBody};
use ntex::http::{StatusCode, header};
use ntex::io::IoRef;
use ntex::web::HttpResponse;

use super::context::CallContext;
use super::response_body::FlushedBody;
use crate::state::{Entry, InFlightGuard};

/// Converts the result of a call to a response, and records the call's metrics and span. The call is
/// in flight until the response has been written to its connection.
pub fn finalize(
    mut context: CallContext,
    result: Result<HttpResponse, Problem>,
    connection: Option<&IoRef>,
) -> HttpResponse {
    let mut response = match result {
        Ok(response) => response,
        Err(problem) => record_problem(&mut context, &problem),
    };
    set_header(&mut response, "x-request-id", &context.request_id);
    let status = response.status().as_u16().to_string();
    metrics::counter!("hickorycourse_requests_total", "status" => status.clone()).increment(1);
    context.span.set_attribute("status", status);
    let entry = context.entry.clone();
    let guard = context.take_in_flight_guard();
    context.span.end(&entry.spans);
    finish_response(&entry, response, connection, guard)
}

/// Keeps a request in flight until its response has been written to the connection, and closes the
/// connection after it if this entry is leaving.
pub fn finish_response(
    entry: &Entry,
    response: HttpResponse,
    connection: Option<&IoRef>,
    guard: Option<InFlightGuard>,
) -> HttpResponse {
    let response = close_if_leaving(entry, response);
    match (guard, connection) {
        (Some(guard), Some(io)) => response.map_body(|_, body| {
            let body = FlushedBody::new(body.into(), io.clone(), guard);
            ResponseBody::Body(Body::from_message(body))
        }),
        _ => response,
    }
}

/// Makes the response close its connection if this entry is leaving, so that the caller's next
/// request reaches another instance.
pub fn close_if_leaving(entry: &Entry, mut response: HttpResponse) -> HttpResponse {
    if entry.drain.is_leaving() {
        response.head_mut().set_connection_type(ntex::http::ConnectionType::Close);
    }
    response
}

fn record_problem(context: &mut CallContext, problem: &Problem) -> HttpResponse {
    let number = problem.code.number();
    log::debug!(target: "caller", "Request {} failed: {problem}.", context.request_id);
    metrics::counter!("hickorycourse_problems_total", "code" => number.to_string()).increment(1);
    context.span.set_attribute("code", number.to_string());
    context.add_usage(&UsageCount { failed: 1, ..UsageCount::default() });
    problem_response(problem, &context.request_id)
}

/// Builds an `application/problem+json` response.
pub fn problem_response(problem: &Problem, request_id: &str) -> HttpResponse {
    let status =
        StatusCode::from_u16(problem.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.header(header::CONTENT_TYPE, "application/problem+json");
    response.header("x-execution", problem.execution.as_str());
    if let Some(retry_after_s) = problem.retry_after_s() {
        response.header(header::RETRY_AFTER, retry_after_s.to_string());
    }
    response.body(problem.to_json(request_id).to_string())
}

/// Sets a header; a value that is not valid in a header is ignored.
pub fn set_header(response: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        response.headers_mut().insert(header::HeaderName::from_static(name), value);
    }
}

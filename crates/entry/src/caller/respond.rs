//! The last step of every answer: headers that all have, problems, metrics.

use hickorycourse_codes::Problem;
use hickorycourse_usage::UsageCount;
use ntex::http::{StatusCode, header};
use ntex::web::HttpResponse;

use super::context::CallContext;

/// Turns the outcome of a call into its answer.
pub fn finish(mut context: CallContext, result: Result<HttpResponse, Problem>) -> HttpResponse {
    let mut response = match result {
        Ok(response) => response,
        Err(problem) => refuse(&mut context, &problem),
    };
    set_header(&mut response, "x-request-id", &context.request_id);
    if context.entry.drain.is_leaving() {
        // The next request on this connection belongs to an instance that stays.
        response.head_mut().set_connection_type(ntex::http::ConnectionType::Close);
    }
    let status = response.status().as_u16().to_string();
    metrics::counter!("hickorycourse_requests_total", "status" => status.clone()).increment(1);
    context.span.set_attribute("status", status);
    let entry = context.entry.clone();
    context.span.end(&entry.spans);
    response
}

fn refuse(context: &mut CallContext, problem: &Problem) -> HttpResponse {
    let number = problem.code.number();
    log::debug!(target: "caller", "Request {} refused: {problem}.", context.request_id);
    metrics::counter!("hickorycourse_problems_total", "code" => number.to_string()).increment(1);
    context.span.set_attribute("code", number.to_string());
    context.add_usage(&UsageCount { failed: 1, ..UsageCount::default() });
    write_problem(problem, &context.request_id)
}

/// Writes a problem as an answer.
pub fn write_problem(problem: &Problem, request_id: &str) -> HttpResponse {
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

/// Sets a header whose value is known to be valid text.
pub fn set_header(response: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        response.headers_mut().insert(header::HeaderName::from_static(name), value);
    }
}

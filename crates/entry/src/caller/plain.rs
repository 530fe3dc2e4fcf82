//! Calls to plain HTTP services, routed by path prefix.

use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_routing::{PrefixBlocks, draw_backoff_ms};
use hickorycourse_settings::{RetryKind, ServiceKind, Site};
use hickorycourse_telemetry::Span;
use hickorycourse_upstream::{
    AttemptError, AttemptErrorKind, Service, ServiceCall, ServiceResponse, copy_end_to_end_headers,
};
use hickorycourse_usage::UsageCount;
use ntex::http::{HeaderMap, StatusCode, header};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};

use super::context::{CallContext, RANK_HEADER, RoutedCall, read_header};
use super::{at_most_once, read_body, upstreams};
use crate::pool::{Grant, ServicePool};

/// A call to a plain service, with its body fully read.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query, as received.
    pub path_and_query: String,
    /// The end-to-end headers that are forwarded to the service.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Size limit of a response of a plain service. A response is buffered completely before it is
/// forwarded, so that a caller never receives a truncated one.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Handles a call that is routed by its path.
pub async fn handle(
    context: &mut CallContext,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<HttpResponse, Problem> {
    let site = context.site()?;
    let service = find_service(&site, request.path())?;
    let is_non_idempotent = site.services[&service]
        .non_idempotent_methods
        .iter()
        .any(|method| method.eq_ignore_ascii_case(request.method().as_str()));
    let routed = context.route(&service, read_header(request, RANK_HEADER))?;
    let (body, _reservation) = read_body(&context.entry, request, payload).await?.into_parts();
    let body = Bytes::from(body);
    let call = PlainCall {
        method: request.method().as_str().to_owned(),
        path_and_query: request
            .uri()
            .path_and_query()
            .map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned()),
        headers: forwarded_headers(request),
        body,
    };
    if is_non_idempotent {
        let key = read_header(request, "idempotency-key").map(str::to_owned);
        return at_most_once::handle(context, &routed, call, key).await;
    }
    let response = send_with_retries(context, &routed, &call).await?;
    context.add_usage(&UsageCount { answered: 1, ..UsageCount::default() });
    Ok(to_http_response(&response))
}

fn find_service(site: &Site, path: &str) -> Result<String, Problem> {
    let matches = |prefix: &str| {
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let found = site
        .services
        .iter()
        .filter(|(_, service)| service.kind == ServiceKind::Plain)
        .filter_map(|(name, service)| Some((name, service.path_prefix.as_deref()?)))
        .filter(|(_, prefix)| matches(prefix))
        .max_by_key(|(_, prefix)| prefix.len());
    found.map(|(name, _)| name.clone()).ok_or_else(|| {
        Problem::new(ErrorCode::UnknownPath).with_detail(format!("No service is at `{path}`."))
    })
}

/// The headers to forward, without the caller's API key, which must not reach the service.
fn forwarded_headers(request: &HttpRequest) -> HeaderMap {
    let mut headers = copy_end_to_end_headers(request.headers());
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::HOST);
    headers
}

/// Sends an idempotent call, retrying until a complete response is received.
async fn send_with_retries(
    context: &CallContext,
    routed: &RoutedCall,
    call: &PlainCall,
) -> Result<ServiceResponse, Problem> {
    let mut slots = AttemptSlots::new(context, routed, call)?;
    loop {
        let grant = slots.acquire().await?;
        match send_attempt(context, routed, call, &grant, false).await {
            Ok(response) => {
                grant.finish();
                return Ok(response);
            }
            Err(error) => {
                slots.record_failure(grant, &error);
                let is_last = slots.attempts >= routed.policy.attempt_limit;
                if is_last || !acquire_retry(context, &slots.pool).await {
                    return Err(slots.to_problem(&error));
                }
            }
        }
    }
}

/// Acquires a retry from the service's budget and waits for the backoff; false if the budget is
/// exhausted. Sites that retry at once use neither budget nor backoff.
async fn acquire_retry(context: &CallContext, pool: &ServicePool) -> bool {
    let retries_at_once = context.site().is_ok_and(|site| site.retry == RetryKind::AtOnce);
    if retries_at_once {
        return true;
    }
    if !pool.try_acquire_retry() {
        metrics::counter!("hickorycourse_retries_denied_total").increment(1);
        return false;
    }
    metrics::counter!("hickorycourse_retries_total").increment(1);
    let backoff_ms = draw_backoff_ms(0, &mut rand::rng());
    sleep(Duration::from_millis(backoff_ms)).await;
    true
}

/// Acquires the upstream slots for the attempts of one call and records their failures.
pub struct AttemptSlots {
    /// The upstream pool of the service.
    pub pool: Arc<ServicePool>,
    /// Number of slots requested, including the current attempt.
    pub attempts: u64,
    queued_request: hickorycourse_admission::QueuedRequest,
    prefix: Arc<PrefixBlocks>,
    failed_upstreams: Vec<usize>,
    may_have_run: bool,
}

impl AttemptSlots {
    /// Creates the state of a call without attempts.
    ///
    /// # Errors
    /// [`ErrorCode::NoUpstream`] if the service has no pool.
    pub fn new(
        context: &CallContext,
        routed: &RoutedCall,
        call: &PlainCall,
    ) -> Result<Self, Problem> {
        let pool = context.entry.pool(&routed.service).ok_or(ErrorCode::NoUpstream)?;
        let cost_tokens = 1 + (call.body.len() / hickorycourse_routing::BYTES_PER_TOKEN) as u64;
        Ok(Self {
            pool,
            attempts: 0,
            queued_request: context.make_queued_request(routed, cost_tokens),
            prefix: Arc::default(),
            failed_upstreams: Vec::new(),
            may_have_run: false,
        })
    }

    /// Waits for a slot for the next attempt.
    ///
    /// # Errors
    /// The call was rejected by admission, or no upstream is left.
    pub async fn acquire(&mut self) -> Result<Grant, Problem> {
        let result = match self.attempts {
            0 => self.pool.acquire(self.queued_request.clone(), &self.prefix).await,
            _ => {
                self.pool
                    .acquire_for_retry(&self.queued_request, &self.prefix, &self.failed_upstreams)
                    .await
            }
        };
        self.attempts += 1;
        result.map_err(|problem| match self.may_have_run {
            true => problem.with_execution(Execution::MayHaveRun),
            false => problem,
        })
    }

    /// Records a failed attempt and releases its slot.
    pub fn record_failure(&mut self, grant: Grant, error: &AttemptError) {
        log::info!(target: "attempt", "Attempt at upstream {} failed: {error}.", grant.instance);
        self.failed_upstreams.push(grant.index);
        self.may_have_run |= error.execution() != Execution::NotRun;
        grant.fail(error.kind == AttemptErrorKind::TimedOut);
    }

    /// The problem to return to the caller after the last attempt failed.
    pub fn to_problem(&self, error: &AttemptError) -> Problem {
        let execution = Execution::after_attempts(self.may_have_run);
        let problem = Problem::new(error.code()).with_detail(error.detail.clone());
        problem.with_execution(execution).with_retry_after_s(1)
    }
}

/// Sends one attempt to the upstream of the grant.
pub async fn send_attempt(
    context: &CallContext,
    routed: &RoutedCall,
    call: &PlainCall,
    grant: &Grant,
    is_non_idempotent: bool,
) -> Result<ServiceResponse, AttemptError> {
    let mut span = Span::start("attempt", Some(context.span.context));
    span.set_attribute("instance", grant.instance.as_str());
    let attempt_id = context.entry.generate_id();
    let mut headers = call.headers.clone();
    let traceparent = header::HeaderValue::from_str(&span.context.to_traceparent());
    if let Ok(traceparent) = traceparent {
        headers.insert(header::HeaderName::from_static("traceparent"), traceparent);
    }
    let result = upstreams()
        .call(ServiceCall {
            upstream: grant.upstream,
            attempt_id: &attempt_id,
            method: &call.method,
            path_and_query: &call.path_and_query,
            headers: &headers,
            body: call.body.clone(),
            is_non_idempotent,
            first_byte_timeout_ms: routed.policy.first_byte_timeout_ms,
            body_timeout_ms: routed.policy.token_timeout_ms,
            body_limit_bytes: MAX_RESPONSE_BYTES,
        })
        .await;
    if let Err(error) = &result {
        span.set_attribute("error", error.detail.as_str());
    }
    span.end(&context.entry.spans);
    result
}

/// Converts a service response for the caller. The upstream received the id of the attempt; the
/// request id is set later, in `respond::finalize`.
pub fn to_http_response(service_response: &ServiceResponse) -> HttpResponse {
    let status = StatusCode::from_u16(service_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status).body(service_response.body.clone());
    for (name, value) in &service_response.headers {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

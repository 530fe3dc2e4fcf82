//! Calls to plain services, routed by path.

use std::sync::Arc;
use std::time::Duration;

use hickorycourse_body::read_body;
use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_routing::{PrefixBlocks, draw_backoff_ms};
use hickorycourse_settings::{RetryKind, ServiceKind, Site};
use hickorycourse_telemetry::Span;
use hickorycourse_upstream::{
    AttemptError, AttemptErrorKind, Service, ServiceCall, ServiceResponse, copy_end_to_end_headers,
};
use hickorycourse_usage::UsageCount;
use ntex::http::{HeaderMap, StatusCode, header};
use ntex::time::sleep;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};

use super::context::{CallContext, RANK_HEADER, RoutedCall, header as read_header};
use super::{order_calls, upstreams};
use crate::pool::{Grant, ServicePool};

/// A call to a plain service, read whole.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The method.
    pub method: String,
    /// The path and query.
    pub path_and_query: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The largest answer of a plain service; it is held whole before it is passed on, so that a caller
/// never gets half of one.
pub const ANSWER_BYTES_LIMIT: usize = 16 * 1024 * 1024;

/// Answers a call that is routed by path.
pub async fn answer(
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
    let limits = &context.entry.settings.limits;
    let body_timeout = Duration::from_millis(limits.body_timeout_ms);
    let body = Bytes::from(read_body(payload, limits.body_bytes, body_timeout).await?);
    let call = PlainCall {
        method: request.method().as_str().to_owned(),
        path_and_query: request
            .uri()
            .path_and_query()
            .map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned()),
        headers: choose_headers(request),
        body,
    };
    if is_non_idempotent {
        let key = read_header(request, "idempotency-key").map(str::to_owned);
        return order_calls::answer(context, &routed, call, key).await;
    }
    let answer = repeat_until_answered(context, &routed, &call).await?;
    context.add_usage(&UsageCount { answered: 1, ..UsageCount::default() });
    Ok(write_answer(&answer))
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

/// The caller's key ends here; a service behind must not learn it.
fn choose_headers(request: &HttpRequest) -> HeaderMap {
    let mut headers = copy_end_to_end_headers(request.headers());
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::HOST);
    headers
}

/// Sends a call that may run twice until one answer is whole.
async fn repeat_until_answered(
    context: &CallContext,
    routed: &RoutedCall,
    call: &PlainCall,
) -> Result<ServiceResponse, Problem> {
    let mut places = Places::new(context, routed, call)?;
    loop {
        let grant = places.acquire().await?;
        match send(context, routed, call, &grant, false).await {
            Ok(answer) => {
                grant.finish();
                return Ok(answer);
            }
            Err(error) => {
                places.fail(grant, &error);
                let is_last = places.attempts >= routed.policy.attempt_limit;
                if is_last || !may_retry(context, &places.pool).await {
                    return Err(places.give_up(&error));
                }
            }
        }
    }
}

async fn may_retry(context: &CallContext, pool: &ServicePool) -> bool {
    let is_at_once = context.site().is_ok_and(|site| site.retry == RetryKind::AtOnce);
    if is_at_once {
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

/// The places of one call's attempts.
pub struct Places {
    /// The service's pool.
    pub pool: Arc<ServicePool>,
    /// Attempts so far.
    pub attempts: u64,
    ticket: hickorycourse_admission::QueuedRequest,
    prefix: Arc<PrefixBlocks>,
    failed: Vec<usize>,
    has_possibly_run: bool,
}

impl Places {
    /// Prepares a call's first attempt.
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
            ticket: context.make_ticket(routed, cost_tokens),
            prefix: Arc::default(),
            failed: Vec::new(),
            has_possibly_run: false,
        })
    }

    /// Waits for the next place.
    pub async fn acquire(&mut self) -> Result<Grant, Problem> {
        let result = match self.attempts {
            0 => self.pool.acquire(self.ticket.clone(), &self.prefix).await,
            _ => self.pool.acquire_for_retry(&self.ticket, &self.prefix, &self.failed).await,
        };
        self.attempts += 1;
        result.map_err(|problem| match self.has_possibly_run {
            true => problem.with_execution(Execution::MayHaveRun),
            false => problem,
        })
    }

    /// Ends a failed attempt.
    pub fn fail(&mut self, grant: Grant, error: &AttemptError) {
        log::info!(target: "attempt", "Attempt at {} failed: {error}.", grant.instance);
        self.failed.push(grant.index);
        self.has_possibly_run |= error.execution() != Execution::NotRun;
        grant.fail(error.kind == AttemptErrorKind::TimedOut);
    }

    /// The answer to the caller after the last attempt.
    pub fn give_up(&self, error: &AttemptError) -> Problem {
        let execution = Execution::after_attempts(self.has_possibly_run);
        let problem = Problem::new(error.code()).with_detail(error.detail.clone());
        problem.with_execution(execution).with_retry_after_s(1)
    }
}

/// Sends one attempt.
pub async fn send(
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
            body_limit_bytes: ANSWER_BYTES_LIMIT,
        })
        .await;
    if let Err(error) = &result {
        span.set_attribute("error", error.detail.as_str());
    }
    span.end(&context.entry.spans);
    result
}

/// Passes an answer on. The upstream saw an attempt's id; the caller gets the request's.
pub fn write_answer(answer: &ServiceResponse) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status).body(answer.body.clone());
    for (name, value) in &answer.headers {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

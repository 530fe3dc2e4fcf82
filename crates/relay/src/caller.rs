//! Callers' requests: each is received, matched to a route, checked against its key and cap, and
//! sent to an upstream as a [`Call`].

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_body::{
    BodyLimits, FIELD_BYTES, declared_length, discard_body, no_room_problem, read_body,
};
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_origins::{StreamKey, StreamOrigin};
use hickorycourse_quarantine::RequestItems;
use hickorycourse_routes::{Access, CapUnit, Organisation, Route, RouteTable, UsageCap};
use http::{HeaderMap, Method};
use hyper::body::Bytes;
use ntex::http::body::{BodySize, MessageBody};
use ntex::http::{ConnectionType, StatusCode, Version};
use ntex::io::IoRef;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use serde_json::json;
use xxhash_rust::xxh3::Xxh3;

use crate::adapter::{RequestMetadata, TokenCounts};
use crate::buffered_response;
use crate::buffered_stream;
use crate::call::{Call, DEFAULT_RETRY_AFTER_MS, RetryState};
use crate::cap_claims::CapGrant;
use crate::drain::{is_closing, mark_closing};
use crate::in_flight::InFlightGuard;
use crate::messages::{copy_headers, read_host, write_buffered, write_headers};
use crate::origins::RoutedPath;
use crate::state::{CapRequest, Relay};
use crate::stream::{self, StreamResponse};
use crate::unread_responses::hold_until_flushed;
use crate::witness::WitnessTable;
use hickorycourse_connections::ConnectionPool;

thread_local! {
    static CONNECTIONS: ConnectionPool = ConnectionPool::default();
    static WITNESSES: WitnessTable = WitnessTable::default();
    static LAST_EVICTION_AT_MS: Cell<u64> = const { Cell::new(0) };
}

/// Interval between two evictions of expired idle connections.
const EVICTION_INTERVAL_MS: u64 = 1_000;

/// Details of a request for its log event.
#[derive(Default)]
struct RequestOutcome {
    request_id: String,
    route: Option<String>,
    service: Option<String>,
    organisation: Option<String>,
    upstream: Option<String>,
    attempts: u32,
    failure: Option<String>,
    /// Units of the organisation's cap, returned if the request does not run.
    cap: Option<CapGrant>,
}

/// Handles one request of a caller.
pub async fn handle_request(
    relay: Arc<Relay>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let arrived_at_ms = relay.now_ms();
    let in_flight = InFlightGuard::try_new(&relay).map(Rc::new);
    let connections = CONNECTIONS.with(ConnectionPool::clone);
    evict_idle_connections(&connections, arrived_at_ms);
    let mut outcome = RequestOutcome::default();
    let serving = serve(&relay, &request, payload, arrived_at_ms, in_flight.clone(), &mut outcome);
    let result = tokio::select! {
        biased;
        result = serving => result,
        () = relay.drain.wait_for_answer_time() => {
            Err(unfinished_problem(in_flight.as_deref()))
        }
    };
    let mut response = match result {
        Ok(response) => response,
        Err(problem) => problem_response(&relay, &mut outcome, &problem),
    };
    if relay.drain.is_stopping() {
        response.head_mut().set_connection_type(ConnectionType::Close);
        if let Some(connection) = request.io() {
            mark_closing(connection);
        }
    }
    let status = response.status().as_u16();
    let arrived_after_stop_ms = relay.drain.stopping_for_ms(arrived_at_ms);
    let took_ms = relay.now_ms().saturating_sub(arrived_at_ms);
    relay.log.write("answered", || {
        let (version, staleness_ms) = {
            let active_document = relay.active_document.read();
            (active_document.version(), active_document.staleness_bound_ms(relay.now_ms()))
        };
        json!({
            "request": outcome.request_id, "route": outcome.route, "service": outcome.service,
            "organisation": outcome.organisation, "upstream": outcome.upstream,
            "attempts": outcome.attempts, "status": status, "failure": outcome.failure,
            "took_ms": took_ms, "version": version, "proof_age_ms": staleness_ms,
            "arrived_after_stop_ms": arrived_after_stop_ms,
        })
    });
    let label = status.to_string();
    metrics::counter!("hickorycourse_requests_total", "status" => label).increment(1);
    metrics::histogram!("hickorycourse_first_byte_seconds").record(took_ms as f64 / 1_000.0);
    if let Some(in_flight) = in_flight {
        let unwritten_bytes = match response.body().size() {
            BodySize::Sized(bytes) => bytes,
            BodySize::None | BodySize::Empty | BodySize::Stream => 0,
        };
        hold_until_flushed(&relay, in_flight, request.io().cloned(), unwritten_bytes);
    }
    response
}

/// Returns the problem for a request that can't be finished before the process ends.
fn unfinished_problem(in_flight: Option<&InFlightGuard>) -> Problem {
    match in_flight.is_some_and(InFlightGuard::is_sent) {
        true => Problem::new(ErrorCode::UpstreamTimeout).with_detail("the instance is stopping"),
        false => retryable_problem(ErrorCode::Draining),
    }
}

fn evict_idle_connections(connections: &ConnectionPool, now_ms: u64) {
    if now_ms >= LAST_EVICTION_AT_MS.get() + EVICTION_INTERVAL_MS {
        LAST_EVICTION_AT_MS.set(now_ms);
        connections.evict_expired(now_ms);
    }
}

/// Returns the response to the balancer's readiness check.
pub fn readiness_response(relay: &Relay) -> HttpResponse {
    let now_ms = relay.now_ms();
    let has_document = relay.active_document.read().version().is_some();
    match () {
        () if relay.drain.is_stopping() => HttpResponse::ServiceUnavailable().body("stopping\n"),
        () if !has_document => HttpResponse::ServiceUnavailable().body("no settings yet\n"),
        () if !relay.is_document_fresh(now_ms) => {
            HttpResponse::ServiceUnavailable().body("keys are not proven\n")
        }
        () if relay.awaits_limits(now_ms) => {
            HttpResponse::ServiceUnavailable().body("limits are not told\n")
        }
        () if relay.is_isolated(now_ms) => HttpResponse::ServiceUnavailable().body("cut off\n"),
        () => HttpResponse::Ok().body("ready\n"),
    }
}

/// The head of a request.
struct RequestHead {
    headers: HeaderMap,
    host: String,
    metadata: RequestMetadata,
}

/// A request with its complete body.
struct ReceivedRequest {
    headers: HeaderMap,
    host: String,
    metadata: RequestMetadata,
    /// Hashes of the prompt's parts without the last one.
    shared_parts: Rc<[u64]>,
    body: Bytes,
}

async fn receive_request(
    relay: &Relay,
    request: &HttpRequest,
    payload: Payload,
    outcome: &mut RequestOutcome,
) -> Result<ReceivedRequest, Problem> {
    let limits =
        relay.route_table().map(|table| table.document().limits.clone()).unwrap_or_default();
    let body_limits = BodyLimits {
        body_bytes: limits.body_bytes,
        time_limit: Duration::from_millis(limits.header_timeout_ms),
    };
    let declared_bytes = declared_length(request);
    let mut reservation = relay.bodies.reserve();
    let fields = request.headers().iter().count();
    if !reservation.grow(fields * FIELD_BYTES) {
        record_refused_body(relay, "", declared_bytes);
        return Err(no_room_problem());
    }
    // A response sent before the request is complete would be lost when the connection closes, so the body of a
    // rejected request is read too.
    let checked = read_head(relay, request, limits.header_bytes, outcome).and_then(|head| {
        check_head(relay, request, &head)?;
        Ok(head)
    });
    let result = match checked {
        Ok(head) => {
            let body = read_body(payload, declared_bytes, body_limits, reservation).await;
            body.map(|body| (head, Bytes::from_owner(body)))
        }
        Err(problem) => {
            let discarded = discard_body(payload, declared_bytes, body_limits, reservation).await;
            Err(discarded.err().unwrap_or(problem))
        }
    };
    let (RequestHead { headers, host, metadata }, body) = result.inspect_err(|problem| {
        if problem.code == ErrorCode::TooManyRequests {
            record_refused_body(relay, &outcome.request_id, declared_bytes);
        }
    })?;
    let shared_parts = metadata.shared_parts();
    Ok(ReceivedRequest { headers, host, metadata, shared_parts, body })
}

fn record_refused_body(relay: &Relay, request_id: &str, declared_bytes: Option<usize>) {
    metrics::counter!("hickorycourse_bodies_refused_total").increment(1);
    let held_bytes = relay.bodies.held_bytes();
    relay.log.write("body_refused", || {
        json!({
            "request": request_id, "declared_bytes": declared_bytes, "held_bytes": held_bytes,
            "limit_bytes": relay.settings.machine.body_budget_bytes(),
        })
    });
}

fn read_head(
    relay: &Relay,
    request: &HttpRequest,
    limit_bytes: usize,
    outcome: &mut RequestOutcome,
) -> Result<RequestHead, Problem> {
    let headers = copy_headers(request, limit_bytes)?;
    let host = read_host(&headers)?.to_owned();
    let metadata = relay
        .protocol
        .read_request_headers(&headers)
        .map_err(|detail| Problem::new(ErrorCode::InvalidHeader).with_detail(detail))?;
    outcome.request_id = metadata.request_id.clone().unwrap_or_default();
    Ok(RequestHead { headers, host, metadata })
}

/// Returns the problem of a request that is rejected whatever its body is. A document that is not proven to be current
/// rejects none finally.
fn check_head(relay: &Relay, request: &HttpRequest, head: &RequestHead) -> Result<(), Problem> {
    let Some(table) = relay.route_table() else { return Ok(()) };
    let checked = find_route(relay, &table, &head.host, request.path())
        .and_then(|route| find_organisation(relay, &table, route, head.metadata.key.as_deref()));
    match checked {
        Err(problem) if problem.code != ErrorCode::KeysUnproven => Err(problem),
        _ => Ok(()),
    }
}

async fn serve(
    relay: &Arc<Relay>,
    request: &HttpRequest,
    payload: Payload,
    arrived_at_ms: u64,
    in_flight: Option<Rc<InFlightGuard>>,
    outcome: &mut RequestOutcome,
) -> Result<HttpResponse, Problem> {
    let received = receive_request(relay, request, payload, outcome).await?;
    if let Some(in_flight) = &in_flight {
        in_flight.record_id(&outcome.request_id);
    }
    if relay.drain.is_stopping() && request.io().is_some_and(is_closing) {
        return Err(retryable_problem(ErrorCode::Draining));
    }
    let in_flight = in_flight
        .filter(|_| relay.drain.admit(relay.now_ms(), &relay.drain_timings()))
        .ok_or_else(|| retryable_problem(ErrorCode::Draining))?;
    // Read after the body, whose transfer can take long, so that the newest table applies.
    let table = relay.route_table().ok_or_else(|| retryable_problem(ErrorCode::SettingsMissing))?;
    let route = find_route(relay, &table, &received.host, request.path())?;
    outcome.route = Some(route.name.clone());
    if !relay.is_finishable(route, deadline_at_ms(arrived_at_ms, route, &received.metadata)) {
        return Err(retryable_problem(ErrorCode::Draining));
    }
    let organisation = find_organisation(relay, &table, route, received.metadata.key.as_deref())?;
    outcome.organisation = organisation.map(|organisation| organisation.name.clone());
    let routed = RoutedPath { host: &received.host, path: request.path(), route };
    let origin = find_origin(relay, &received, routed, organisation, arrived_at_ms).await?;
    let service = match &origin {
        Some(origin) => origin.service.as_str(),
        None => RouteTable::choose_service(route, &outcome.request_id)
            .ok_or_else(|| retryable_problem(ErrorCode::NoUpstream))?,
    };
    outcome.service = Some(service.to_owned());
    let request_hash = hash_request(
        request,
        &received,
        organisation.map(|organisation| organisation.name.as_str()),
    );
    let items = RequestItems { request: Some(request_hash), parts: &received.shared_parts };
    relay.check_quarantine(items)?;
    relay.admit_suspect(&outcome.request_id, request_hash).await?;
    if let Some((name, cap)) = organisation.and_then(|o| Some((&o.name, o.cap.as_ref()?))) {
        let request = CapRequest {
            request_id: &outcome.request_id,
            organisation: name,
            units: charged_units(cap, received.metadata.tokens),
            urgency: route.urgency,
        };
        let claimed = relay.claim_cap(&request, cap).await;
        outcome.cap = Some(claimed.map_err(|retry_after_ms| {
            Problem::new(ErrorCode::CapReached).with_retry_after_ms(retry_after_ms)
        })?);
    }
    relay.record_request(service);
    let last_event_id = received.metadata.last_event_id;
    let arrival = Arrival { at_ms: arrived_at_ms, in_flight: Rc::clone(&in_flight) };
    let mut call = make_call(relay, request, received, route, organisation, service, arrival)?;
    call.request_hash = request_hash;
    call.origin.clone_from(&origin);
    match route.repeat.is_stream() {
        true => {
            let caller = StreamCaller {
                connection: request.io().cloned(),
                has_chunks: request.version() >= Version::HTTP_11,
            };
            respond_stream(call, last_event_id, in_flight, caller, outcome).await
        }
        false => respond_buffered(&call, outcome).await,
    }
}

/// Returns what began the stream that a request resumes; `None` for other requests.
async fn find_origin(
    relay: &Relay,
    received: &ReceivedRequest,
    routed: RoutedPath<'_>,
    organisation: Option<&Organisation>,
    arrived_at_ms: u64,
) -> Result<Option<StreamOrigin>, Problem> {
    let metadata = &received.metadata;
    let route = routed.route;
    if !route.repeat.is_stream() || metadata.last_event_id.is_none() {
        return Ok(None);
    }
    let request_id = metadata.request_id.as_deref().unwrap_or_default();
    let organisation = organisation.map(|organisation| organisation.name.as_str());
    let resumed = metadata.resumed_request_id.as_deref();
    let deadline_at_ms = deadline_at_ms(arrived_at_ms, route, metadata);
    let search =
        relay.find_stream_origin(request_id, organisation, resumed, routed, deadline_at_ms);
    search.await.map(Some)
}

fn retryable_problem(code: ErrorCode) -> Problem {
    Problem::new(code).with_retry_after_ms(DEFAULT_RETRY_AFTER_MS)
}

fn find_route<'a>(
    relay: &Relay,
    table: &'a RouteTable,
    host: &str,
    path: &str,
) -> Result<&'a Route, Problem> {
    table.find_route(host, path).ok_or_else(|| {
        // With a stale table, an unknown route may have been added since.
        let is_current = relay.is_document_fresh(relay.now_ms());
        let code = if is_current { ErrorCode::UnknownPath } else { ErrorCode::KeysUnproven };
        retryable_problem(code)
    })
}

fn find_organisation<'a>(
    relay: &Relay,
    table: &'a RouteTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Organisation>, Problem> {
    let is_current = relay.is_document_fresh(relay.now_ms());
    match table.check_access(route, key) {
        Access::Open => Ok(None),
        Access::Organisation(_) | Access::Denied if !is_current => {
            Err(retryable_problem(ErrorCode::KeysUnproven))
        }
        Access::Denied => Err(ErrorCode::UnknownKey.into()),
        Access::Organisation(organisation) => Ok(Some(organisation)),
    }
}

/// The arrival of a request.
struct Arrival {
    at_ms: u64,
    in_flight: Rc<InFlightGuard>,
}

fn make_call(
    relay: &Arc<Relay>,
    request: &HttpRequest,
    received: ReceivedRequest,
    route: &Route,
    organisation: Option<&Organisation>,
    service: &str,
    arrival: Arrival,
) -> Result<Call, Problem> {
    let Arrival { at_ms: arrived_at_ms, in_flight } = arrival;
    let metadata = received.metadata;
    let method = Method::from_bytes(request.method().as_str().as_bytes())
        .map_err(|error| Problem::new(ErrorCode::InvalidHeader).with_detail(error.to_string()))?;
    let path_and_query = request.uri().path_and_query();
    let first_id =
        metadata.resumed_request_id.as_ref().filter(|_| metadata.last_event_id.is_some());
    let first_id = first_id.or(metadata.request_id.as_ref()).map(String::as_str);
    let name = organisation.map(|organisation| organisation.name.as_str());
    Ok(Call {
        stream_key: StreamKey::new(name, first_id.unwrap_or_default()),
        origin: None,
        relay: Arc::clone(relay),
        in_flight,
        connections: CONNECTIONS.with(ConnectionPool::clone),
        witnesses: WITNESSES.with(WitnessTable::clone),
        deadline_at_ms: deadline_at_ms(arrived_at_ms, route, &metadata),
        request_id: metadata.request_id.unwrap_or_default(),
        service: service.to_owned(),
        key: metadata.key,
        organisation: organisation.map(|organisation| organisation.name.clone()),
        urgency: organisation.and_then(|o| o.urgency).unwrap_or(route.urgency),
        method,
        path_and_query: path_and_query.map_or_else(|| "/".to_owned(), |p| p.as_str().to_owned()),
        body: received.body,
        tokens: metadata.tokens.unwrap_or_default(),
        length_hint: metadata.length_hint,
        arrived_at_ms,
        is_run_counted: Cell::new(false),
        broken_beginnings: Cell::new(0),
        has_broken: Cell::new(false),
        parts: metadata.parts,
        shared_parts: received.shared_parts,
        request_hash: 0,
        route: route.clone(),
        headers: received.headers,
    })
}

/// Returns the hash that identifies a request at all instances, whenever it is sent. What only one attempt of
/// the caller has, such as its id and its deadline, does not count.
fn hash_request(
    request: &HttpRequest,
    received: &ReceivedRequest,
    organisation: Option<&str>,
) -> u64 {
    let mut hasher = Xxh3::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    let target = request.uri().path_and_query();
    add(request.method().as_str().as_bytes());
    add(received.host.as_bytes());
    add(target.map_or("/", |target| target.as_str()).as_bytes());
    add(organisation.unwrap_or_default().as_bytes());
    for part in &received.metadata.parts {
        add(&part.hash.to_le_bytes());
    }
    add(&received.body);
    hasher.digest()
}

fn deadline_at_ms(arrived_at_ms: u64, route: &Route, metadata: &RequestMetadata) -> u64 {
    arrived_at_ms + route.timeout_ms.min(metadata.deadline_ms.unwrap_or(u64::MAX))
}

fn charged_units(cap: &UsageCap, tokens: Option<TokenCounts>) -> f64 {
    match (cap.unit, tokens) {
        (CapUnit::Requests, _) => 1.0,
        (CapUnit::Tokens, Some(tokens)) => (tokens.prompt + tokens.max_output) as f64,
        (CapUnit::Tokens, None) => cap.default_units,
    }
}

async fn respond_buffered(
    call: &Call,
    outcome: &mut RequestOutcome,
) -> Result<HttpResponse, Problem> {
    let mut retry_state = RetryState::default();
    let result = buffered_response::fetch(call, &mut retry_state).await;
    outcome.attempts = retry_state.sent_attempts;
    outcome.failure = retry_state.failure;
    let buffered = result?;
    outcome.upstream = Some(buffered.upstream.clone());
    if (200..300).contains(&buffered.status) {
        call.relay.record_duration(&call.route.name, call.arrived_at_ms);
    }
    Ok(write_buffered(&buffered))
}

/// The caller's side of a stream.
struct StreamCaller {
    connection: Option<IoRef>,
    /// Whether the caller reads chunks.
    has_chunks: bool,
}

async fn respond_stream(
    call: Call,
    last_event_id: Option<u64>,
    in_flight: Rc<InFlightGuard>,
    caller: StreamCaller,
    outcome: &mut RequestOutcome,
) -> Result<HttpResponse, Problem> {
    match stream::open(call, last_event_id, in_flight).await {
        Ok(StreamResponse::Buffered(buffered)) => {
            outcome.upstream = Some(buffered.upstream.clone());
            Ok(write_buffered(&buffered))
        }
        Ok(StreamResponse::Stream(relayed)) if !caller.has_chunks => {
            let buffered = buffered_stream::collect(relayed).await?;
            outcome.upstream = Some(buffered.upstream.clone());
            Ok(write_buffered(&buffered))
        }
        Ok(StreamResponse::Stream(relayed)) => {
            let status = StatusCode::from_u16(relayed.status).unwrap_or(StatusCode::OK);
            let mut response = HttpResponse::build(status);
            write_headers(&relayed.headers, &mut response);
            Ok(response.streaming(Box::pin(stream::into_body(relayed, caller.connection))))
        }
        Err((retry_state, problem)) => {
            outcome.attempts = retry_state.sent_attempts;
            outcome.failure = retry_state.failure;
            Err(problem)
        }
    }
}

fn problem_response(
    relay: &Relay,
    outcome: &mut RequestOutcome,
    problem: &Problem,
) -> HttpResponse {
    let number = problem.code.number().to_string();
    metrics::counter!("hickorycourse_problems_total", "code" => number).increment(1);
    if let Some(cap) = outcome.cap.take()
        && problem.execution == hickorycourse_codes::Execution::NotRun
    {
        relay.return_cap(cap);
    }
    let failure = outcome.failure.take();
    outcome.failure = Some(match failure {
        Some(failure) => format!("{problem} ({failure})"),
        None => problem.to_string(),
    });
    let status =
        StatusCode::from_u16(problem.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.header("content-type", "application/problem+json");
    response.header("x-execution", problem.execution.as_str());
    if let Some(retry_after_ms) = problem.retry_after_ms {
        response.header("retry-after", relay.protocol.format_retry_after(retry_after_ms));
    }
    response.body(problem.to_json(&outcome.request_id).to_string())
}

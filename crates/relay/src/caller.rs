//! The callers' port.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_body::read_body;
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_routes::{Access, CapUnit, Organisation, Route, RouteTable, UsageCap};
use http::{HeaderMap, Method};
use hyper::body::Bytes;
use ntex::http::{ConnectionType, StatusCode};
use ntex::io::IoRef;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use serde_json::json;

use crate::borders::{RequestFacts, TokenCounts};
use crate::call::{Call, Progress, RETRY_AFTER_DEFAULT_MS};
use crate::connections::UpstreamConnections;
use crate::messages::{copy_headers, read_host, write_headers, write_whole};
use crate::node::{InFlightGuard, Relay};
use crate::stream::{self, StreamAnswer};
use crate::whole;

thread_local! {
    static CONNECTIONS: UpstreamConnections = UpstreamConnections::default();
    static SWEPT_AT_MS: Cell<u64> = const { Cell::new(0) };
}

/// Between two looks for idle connections that are too old.
const SWEEP_MS: u64 = 1_000;

/// The request's cap, to be given back if the request does not run.
struct CapUse {
    organisation: String,
    units: f64,
}

/// What became of a request, for its log line.
#[derive(Default)]
struct Outcome {
    request_id: String,
    route: Option<String>,
    service: Option<String>,
    organisation: Option<String>,
    upstream: Option<String>,
    attempts: u32,
    failure: Option<String>,
    cap: Option<CapUse>,
}

/// Answers one request of a caller.
pub async fn answer(relay: Arc<Relay>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let arrived_at_ms = relay.now_ms();
    let in_flight = InFlightGuard::new(&relay);
    let connections = CONNECTIONS.with(UpstreamConnections::clone);
    sweep(&connections, arrived_at_ms);
    let mut outcome = Outcome::default();
    let result = serve(&relay, &request, payload, arrived_at_ms, in_flight, &mut outcome).await;
    let mut response = match result {
        Ok(response) => response,
        Err(problem) => refuse(&relay, &mut outcome, &problem),
    };
    if relay.drain.is_stopping() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    let status = response.status().as_u16();
    let took_ms = relay.now_ms().saturating_sub(arrived_at_ms);
    relay.log.write("answered", || {
        let (version, proof_age_ms) = {
            let in_force = relay.in_force.read();
            (in_force.version(), in_force.staleness_bound_ms(relay.now_ms()))
        };
        json!({
            "request": outcome.request_id, "route": outcome.route, "service": outcome.service,
            "organisation": outcome.organisation, "upstream": outcome.upstream,
            "attempts": outcome.attempts, "status": status, "failure": outcome.failure,
            "took_ms": took_ms, "version": version, "proof_age_ms": proof_age_ms,
        })
    });
    let label = status.to_string();
    metrics::counter!("hickorycourse_requests_total", "status" => label).increment(1);
    metrics::histogram!("hickorycourse_first_byte_seconds").record(took_ms as f64 / 1_000.0);
    response
}

fn sweep(connections: &UpstreamConnections, now_ms: u64) {
    if now_ms >= SWEPT_AT_MS.get() + SWEEP_MS {
        SWEPT_AT_MS.set(now_ms);
        connections.sweep(now_ms);
    }
}

/// Tells whether this instance is ready for new connections.
pub fn answer_readiness(relay: &Relay) -> HttpResponse {
    let now_ms = relay.now_ms();
    let is_known = relay.in_force.read().version().is_some();
    match () {
        () if relay.drain.is_stopping() => HttpResponse::ServiceUnavailable().body("stopping\n"),
        () if !is_known => HttpResponse::ServiceUnavailable().body("no settings yet\n"),
        () if !relay.are_keys_proven(now_ms) => {
            HttpResponse::ServiceUnavailable().body("keys are not proven\n")
        }
        () if relay.is_isolated(now_ms) => HttpResponse::ServiceUnavailable().body("cut off\n"),
        () => HttpResponse::Ok().body("ready\n"),
    }
}

/// A request that has been read whole.
struct Received {
    headers: HeaderMap,
    host: String,
    facts: RequestFacts,
    body: Bytes,
}

async fn receive(
    relay: &Relay,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Received, Problem> {
    let limits = relay.table().map(|table| table.document().limits.clone()).unwrap_or_default();
    // The body is read first: an answer that overtakes it would be lost with the connection.
    let body_timeout = Duration::from_millis(limits.header_timeout_ms);
    let body = Bytes::from(read_body(payload, limits.body_bytes, body_timeout).await?);
    let headers = copy_headers(request, limits.header_bytes)?;
    let host = read_host(&headers)?.to_owned();
    let facts = relay
        .protocol
        .read_request(&headers)
        .map_err(|detail| Problem::new(ErrorCode::InvalidHeader).with_detail(detail))?;
    Ok(Received { headers, host, facts, body })
}

async fn serve(
    relay: &Arc<Relay>,
    request: &HttpRequest,
    payload: Payload,
    arrived_at_ms: u64,
    in_flight: InFlightGuard,
    outcome: &mut Outcome,
) -> Result<HttpResponse, Problem> {
    let received = receive(relay, request, payload).await?;
    outcome.request_id = received.facts.request_id.clone().unwrap_or_default();
    if relay.drain.is_closed(relay.now_ms(), relay.settings.bounds.stop_ms) {
        return Err(refuse_for_now(ErrorCode::Draining));
    }
    // The newest table, as the body may have taken a while.
    let table = relay.table().ok_or_else(|| refuse_for_now(ErrorCode::SettingsMissing))?;
    let route = find_route(relay, &table, &received.host, request.path())?;
    outcome.route = Some(route.name.clone());
    let organisation = find_organisation(relay, &table, route, received.facts.key.as_deref())?;
    outcome.organisation = organisation.map(|organisation| organisation.name.clone());
    let service = RouteTable::choose_service(route, &outcome.request_id)
        .ok_or_else(|| refuse_for_now(ErrorCode::NoUpstream))?;
    outcome.service = Some(service.to_owned());
    if let Some((name, cap)) = organisation.and_then(|o| Some((&o.name, o.cap.as_ref()?))) {
        outcome.cap = Some(take_cap(relay, name, cap, received.facts.tokens, route.urgency)?);
    }
    relay.add_request(service);
    let last_event_id = received.facts.last_event_id;
    let call = make_call(relay, request, received, route, organisation, service, arrived_at_ms)?;
    match route.repeat.is_stream() {
        true => {
            let connection = request.io().cloned();
            answer_stream(call, last_event_id, in_flight, connection, outcome).await
        }
        false => answer_whole(&call, outcome).await,
    }
}

fn refuse_for_now(code: ErrorCode) -> Problem {
    Problem::new(code).with_retry_after_ms(RETRY_AFTER_DEFAULT_MS)
}

fn find_route<'a>(
    relay: &Relay,
    table: &'a RouteTable,
    host: &str,
    path: &str,
) -> Result<&'a Route, Problem> {
    table.find_route(host, path).ok_or_else(|| {
        // A route that was added since can't be told from one that never was.
        let is_current = relay.are_keys_proven(relay.now_ms());
        let code = if is_current { ErrorCode::UnknownPath } else { ErrorCode::KeysUnproven };
        refuse_for_now(code)
    })
}

fn find_organisation<'a>(
    relay: &Relay,
    table: &'a RouteTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a Organisation>, Problem> {
    let is_current = relay.are_keys_proven(relay.now_ms());
    match table.check_access(route, key) {
        Access::Open => Ok(None),
        Access::Organisation(_) | Access::Denied if !is_current => {
            Err(refuse_for_now(ErrorCode::KeysUnproven))
        }
        Access::Denied => Err(ErrorCode::UnknownKey.into()),
        Access::Organisation(organisation) => Ok(Some(organisation)),
    }
}

fn make_call(
    relay: &Arc<Relay>,
    request: &HttpRequest,
    received: Received,
    route: &Route,
    organisation: Option<&Organisation>,
    service: &str,
    arrived_at_ms: u64,
) -> Result<Call, Problem> {
    let facts = received.facts;
    let method = Method::from_bytes(request.method().as_str().as_bytes())
        .map_err(|error| Problem::new(ErrorCode::InvalidHeader).with_detail(error.to_string()))?;
    let path_and_query = request.uri().path_and_query();
    Ok(Call {
        relay: Arc::clone(relay),
        connections: CONNECTIONS.with(UpstreamConnections::clone),
        deadline_at_ms: deadline_at_ms(arrived_at_ms, route, &facts),
        request_id: facts.request_id.unwrap_or_default(),
        service: service.to_owned(),
        key: facts.key,
        organisation: organisation.map(|organisation| organisation.name.clone()),
        urgency: organisation.and_then(|o| o.urgency).unwrap_or(route.urgency),
        method,
        path_and_query: path_and_query.map_or_else(|| "/".to_owned(), |p| p.as_str().to_owned()),
        body: received.body,
        tokens: facts.tokens.unwrap_or_default(),
        arrived_at_ms,
        is_run_counted: Cell::new(false),
        parts: facts.parts,
        route: route.clone(),
        headers: received.headers,
    })
}

fn deadline_at_ms(arrived_at_ms: u64, route: &Route, facts: &RequestFacts) -> u64 {
    arrived_at_ms + route.timeout_ms.min(facts.deadline_ms.unwrap_or(u64::MAX))
}

fn take_cap(
    relay: &Relay,
    organisation: &str,
    cap: &UsageCap,
    tokens: Option<TokenCounts>,
    urgency: u8,
) -> Result<CapUse, Problem> {
    let units = match (cap.unit, tokens) {
        (CapUnit::Requests, _) => 1.0,
        (CapUnit::Tokens, Some(tokens)) => (tokens.prompt + tokens.output_most) as f64,
        (CapUnit::Tokens, None) => cap.default_units,
    };
    match relay.take_cap(organisation, cap, units, urgency) {
        Ok(()) => Ok(CapUse { organisation: organisation.to_owned(), units }),
        Err(retry_after_ms) => {
            Err(Problem::new(ErrorCode::CapReached).with_retry_after_ms(retry_after_ms))
        }
    }
}

async fn answer_whole(call: &Call, outcome: &mut Outcome) -> Result<HttpResponse, Problem> {
    let mut progress = Progress::default();
    let result = whole::fetch(call, &mut progress).await;
    outcome.attempts = progress.sent;
    outcome.failure = progress.failure;
    let answer = result?;
    outcome.upstream = Some(answer.upstream.clone());
    Ok(write_whole(&answer))
}

async fn answer_stream(
    call: Call,
    last_event_id: Option<u64>,
    in_flight: InFlightGuard,
    connection: Option<IoRef>,
    outcome: &mut Outcome,
) -> Result<HttpResponse, Problem> {
    match stream::open(call, last_event_id, in_flight).await {
        Ok(StreamAnswer::Whole(answer)) => {
            outcome.upstream = Some(answer.upstream.clone());
            Ok(write_whole(&answer))
        }
        Ok(StreamAnswer::Stream(relayed)) => {
            let status = StatusCode::from_u16(relayed.status).unwrap_or(StatusCode::OK);
            let mut response = HttpResponse::build(status);
            write_headers(&relayed.headers, &mut response);
            Ok(response.streaming(Box::pin(stream::into_body(relayed, connection))))
        }
        Err((progress, problem)) => {
            outcome.attempts = progress.sent;
            outcome.failure = progress.failure;
            Err(problem)
        }
    }
}

fn refuse(relay: &Relay, outcome: &mut Outcome, problem: &Problem) -> HttpResponse {
    let number = problem.code.number().to_string();
    metrics::counter!("hickorycourse_problems_total", "code" => number).increment(1);
    if let Some(cap) = outcome.cap.take()
        && problem.execution == hickorycourse_codes::Execution::NotRun
    {
        relay.give_back_cap(&cap.organisation, cap.units);
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
        response.header("retry-after", relay.protocol.write_retry_after(retry_after_ms));
    }
    response.body(problem.to_json(&outcome.request_id).to_string())
}

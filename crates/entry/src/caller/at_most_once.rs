//! At-most-once execution of calls to methods that are not idempotent.
//!
//! A call with an idempotency key is dispatched only under an exclusive claim on the key; see
//! `docs/design/at-most-once.md`. The claim is recorded in the platform's key-value service, unless
//! the key is an order id: that was issued by an entry, and only this entry may execute the call. A
//! claimed call runs in its own task, so that its outcome is recorded even if the caller
//! disconnects.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_idempotency::{
    ClaimKey, ClaimOutcome, ClaimToken, OrderId, StoredResponse, digest_request,
};
use hickorycourse_membership::CallerIdentity;
use hickorycourse_peer::{ForwardAnswer, ForwardedCall, HeaderField, PeerMessage};
use hickorycourse_telemetry::Span;
use hickorycourse_upstream::{AttemptErrorKind, ServiceResponse};
use hickorycourse_usage::UsageCount;
use ntex::http::{HeaderMap, header};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use tokio::sync::{mpsc, oneshot};

use super::chat::stored_to_http_response;
use super::context::{CallContext, RoutedCall};
use super::plain::{self, AttemptSlots, PlainCall};
use crate::claims::{ClaimCommand, ClaimReply, GuardedCommand};
use crate::peers::ForwardRequest;
use crate::state::{Entry, InFlightGuard};

const MAX_KEY_BYTES: usize = 255;
/// Number of polls for the outcome of a call with the same key that is still running.
const OUTCOME_POLL_LIMIT: u32 = 4;
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The exclusive right to execute a call.
#[derive(Clone, Debug)]
enum Claim {
    /// The call has no idempotency key: it is dispatched once and repeats can't be detected.
    Unkeyed,
    /// A claim recorded in the platform's key-value service.
    Recorded { key: ClaimKey, token: ClaimToken },
    /// A claim on an order id that this process issued.
    Issued { sequence: u64 },
}

/// Handles a call that may run at most once. `key` is its `Idempotency-Key`.
pub async fn handle(
    context: &mut CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    key: Option<String>,
) -> Result<HttpResponse, Problem> {
    let Some(key) = key else {
        let result = dispatch(context, routed, &call, Claim::Unkeyed).await;
        return result.map(|response| to_executed_response(&response));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("`Idempotency-Key` may have 1 to {MAX_KEY_BYTES} characters.");
        return Err(Problem::new(ErrorCode::InvalidHeader).with_detail(detail));
    }
    let identity = &context.identity;
    let secret = context.entry.settings.peer_secret.reveal();
    let order_id = OrderId::from_text(&key, &identity.organisation, &identity.caller, secret)
        .map_err(|_| Problem::new(ErrorCode::KeyNotForThisCaller))?;
    match order_id {
        Some(id) if is_issued_here(&context.entry, &id) => {
            handle_order_id(context, routed, call, id.sequence).await
        }
        Some(id) => forward_to_issuer(context, routed, &call, &id).await,
        None => handle_recorded_key(context, routed, call, &key).await,
    }
}

fn is_issued_here(entry: &Entry, id: &OrderId) -> bool {
    id.instance == entry.settings.instance && id.incarnation == entry.incarnation
}

async fn handle_order_id(
    context: &CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    sequence: u64,
) -> Result<HttpResponse, Problem> {
    let digest = digest_call(&call);
    let outcome = context.entry.order_ids.lock().begin(sequence, digest, context.arrived_at_ms);
    match outcome {
        ClaimOutcome::Granted => {
            run_detached(context, routed, call, Claim::Issued { sequence }).await
        }
        outcome => respond_not_granted(context, outcome),
    }
}

async fn handle_recorded_key(
    context: &CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    key: &str,
) -> Result<HttpResponse, Problem> {
    let claim_key = ClaimKey::new(&context.identity.organisation, &routed.service, key);
    let request_digest = digest_call(&call);
    let mut span = Span::start("claim", Some(context.span.context));
    let mut reply = try_claim(context, claim_key, request_digest).await?;
    for _ in 0..OUTCOME_POLL_LIMIT {
        if reply.outcome != ClaimOutcome::InProgress {
            break;
        }
        // The first call may have finished while its response is still being written to the store.
        sleep(OUTCOME_POLL_INTERVAL).await;
        reply = try_claim(context, claim_key, request_digest).await?;
    }
    span.set_attribute(
        "answer",
        format!("{:?}", reply.outcome).split(['(', ' ']).next().unwrap_or(""),
    );
    span.end(&context.entry.spans);
    match reply.outcome {
        ClaimOutcome::Granted => {
            let claim = Claim::Recorded { key: claim_key, token: reply.token };
            run_detached(context, routed, call, claim).await
        }
        outcome => respond_not_granted(context, outcome),
    }
}

async fn try_claim(
    context: &CallContext,
    key: ClaimKey,
    request_digest: u64,
) -> Result<ClaimReply, Problem> {
    let (reply, receiver) = oneshot::channel();
    let command = ClaimCommand::Begin { key, request_digest, reply };
    send_claim_command(context, command);
    receiver.await.map_err(|_| Problem::new(ErrorCode::Internal))
}

fn digest_call(call: &PlainCall) -> u64 {
    digest_request(&call.method, &call.path_and_query, &call.body)
}

fn respond_not_granted(
    context: &CallContext,
    outcome: ClaimOutcome,
) -> Result<HttpResponse, Problem> {
    match outcome {
        ClaimOutcome::Finished(stored) => Ok(stored_to_http_response(&stored, &context.request_id)),
        ClaimOutcome::InProgress => Err(ErrorCode::ClaimedElsewhere.into()),
        ClaimOutcome::KeyReused => Err(ErrorCode::KeyReused.into()),
        ClaimOutcome::Expired => Err(ErrorCode::KeyExpired.into()),
        ClaimOutcome::Unavailable => {
            Err(Problem::new(ErrorCode::ClaimUnavailable).with_retry_after_s(2))
        }
        ClaimOutcome::Granted => Err(ErrorCode::Internal.into()),
    }
}

/// Executes a claimed call in a task that continues when the caller disconnects.
async fn run_detached(
    context: &CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    claim: Claim,
) -> Result<HttpResponse, Problem> {
    let (reply, receiver) = oneshot::channel();
    let mut detached = CallContext::detached(
        &context.entry,
        &context.request_id,
        CallerIdentity::clone(&context.identity),
        context.extend_in_flight(),
    );
    detached.usage_key.clone_from(&context.usage_key);
    let routed = routed.clone();
    ntex::rt::spawn(async move {
        let result = dispatch(&detached, &routed, &call, claim).await;
        let _ = reply.send(result);
    });
    let result = receiver.await.map_err(|_| Problem::new(ErrorCode::Internal))?;
    result.map(|response| to_executed_response(&response))
}

/// Dispatches a claimed call. It is retried only after a failed connection attempt, which proves
/// that nothing was sent.
async fn dispatch(
    context: &CallContext,
    routed: &RoutedCall,
    call: &PlainCall,
    claim: Claim,
) -> Result<ServiceResponse, Problem> {
    let mut slots = AttemptSlots::new(context, routed, call)?;
    loop {
        let grant = match slots.acquire().await {
            Ok(grant) => grant,
            Err(problem) => {
                release_claim(context, claim);
                return Err(problem.with_execution(Execution::NotRun));
            }
        };
        let error = match plain::send_attempt(context, routed, call, &grant, true).await {
            Ok(response) => {
                grant.finish();
                context.add_usage(&UsageCount { answered: 1, ..UsageCount::default() });
                finish_claim(context, claim, &response);
                return Ok(response);
            }
            Err(error) => error,
        };
        slots.record_failure(grant, &error);
        if error.kind != AttemptErrorKind::NotConnected {
            return Err(slots.to_problem(&error));
        }
        if slots.attempts >= routed.policy.attempt_limit {
            release_claim(context, claim);
            return Err(slots.to_problem(&error));
        }
    }
}

/// Passes a command to the claim task; the receiver of its reply fails if the task has ended.
fn send_claim_command(context: &CallContext, command: ClaimCommand) {
    let guard = context.extend_in_flight();
    let _ = context.entry.claim_commands.send(GuardedCommand { command, guard });
}

fn finish_claim(context: &CallContext, claim: Claim, response: &ServiceResponse) {
    let limit_bytes = context.entry.settings.limits.stored_answer_bytes;
    let content_type = response.headers.get(header::CONTENT_TYPE);
    let stored = StoredResponse {
        status: response.status,
        content_type: content_type.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body: (response.body.len() <= limit_bytes).then(|| response.body.to_vec()),
    };
    match claim {
        Claim::Unkeyed => {}
        Claim::Issued { sequence } => context.entry.order_ids.lock().finish(sequence, stored),
        Claim::Recorded { key, token } => {
            let command = ClaimCommand::Finish { key, token, response: stored };
            send_claim_command(context, command);
        }
    }
}

fn release_claim(context: &CallContext, claim: Claim) {
    match claim {
        Claim::Unkeyed => {}
        Claim::Issued { sequence } => context.entry.order_ids.lock().release(sequence),
        Claim::Recorded { key, token } => {
            send_claim_command(context, ClaimCommand::Release { key, token });
        }
    }
}

fn to_executed_response(service_response: &ServiceResponse) -> HttpResponse {
    let mut response = plain::to_http_response(service_response);
    super::respond::set_header(&mut response, "x-execution", Execution::Ran.as_str());
    response
}

/// Forwards a call to the entry that issued its order id. Only that entry may execute the call; if
/// it is unreachable, the call may have run there, so it is never executed here.
async fn forward_to_issuer(
    context: &CallContext,
    routed: &RoutedCall,
    call: &PlainCall,
    id: &OrderId,
) -> Result<HttpResponse, Problem> {
    let entry = &context.entry;
    let unreachable = || Problem::new(ErrorCode::OwnerUnreachable);
    let current_incarnation = entry.members.lock().incarnation(&id.instance, entry.clock.now_ms());
    let mesh = entry.mesh().ok_or_else(unreachable)?;
    if current_incarnation != Some(id.incarnation) {
        return Err(unreachable());
    }
    let mut span = Span::start("peer", Some(context.span.context));
    span.set_attribute("instance", id.instance.as_str());
    let call_id = entry.next_number();
    let message = PeerMessage::Forward(ForwardedCall {
        call_id,
        incarnation: id.incarnation,
        sequence: id.sequence,
        organisation: context.identity.organisation.clone(),
        caller: context.identity.caller.clone(),
        service: routed.service.clone(),
        rank: routed.rank.clone(),
        method: call.method.clone(),
        path_and_query: call.path_and_query.clone(),
        headers: encode_headers(&call.headers),
        body: call.body.to_vec(),
        request_id: context.request_id.clone(),
        traceparent: span.context.to_traceparent(),
    });
    let reply = entry.pending_forwards.add(call_id, &id.instance);
    if !mesh.send(&id.instance, &message) {
        entry.pending_forwards.remove(call_id);
        return Err(unreachable());
    }
    let reply = reply.await.map_err(|_| unreachable());
    span.end(&entry.spans);
    decode_forward_answer(context, reply?)
}

fn decode_forward_answer(
    context: &CallContext,
    reply: ForwardAnswer,
) -> Result<HttpResponse, Problem> {
    if let Some(stored) = &reply.answer {
        return Ok(stored_to_http_response(stored, &context.request_id));
    }
    let code = ErrorCode::ALL.iter().find(|code| Some(code.number()) == reply.error_number);
    let execution = match reply.execution.as_str() {
        "not_run" => Execution::NotRun,
        "ran" => Execution::Ran,
        _ => Execution::MayHaveRun,
    };
    let problem = Problem::new(code.copied().unwrap_or(ErrorCode::Internal));
    Err(problem.with_detail(reply.detail).with_execution(execution))
}

fn encode_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let field = |(name, value): (&header::HeaderName, &header::HeaderValue)| HeaderField {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(field).collect()
}

fn decode_headers(fields: &[HeaderField]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        let name = header::HeaderName::from_str(&field.name);
        let value = header::HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Executes calls that peers have forwarded, until the channel closes.
pub async fn run_forwarded_calls(
    entry: Arc<Entry>,
    mut requests: mpsc::UnboundedReceiver<ForwardRequest>,
) {
    while let Some(request) = requests.recv().await {
        let entry = Arc::clone(&entry);
        ntex::rt::spawn(async move {
            let reply = execute_forwarded(&entry, &request.call, &request.guard).await;
            if let Some(mesh) = entry.mesh() {
                mesh.send(&request.from, &PeerMessage::ForwardAnswer(reply));
            }
        });
    }
}

async fn execute_forwarded(
    entry: &Arc<Entry>,
    forwarded: &ForwardedCall,
    guard: &InFlightGuard,
) -> ForwardAnswer {
    match try_execute_forwarded(entry, forwarded, guard).await {
        Ok(response) => ForwardAnswer {
            call_id: forwarded.call_id,
            error_number: None,
            execution: Execution::Ran.as_str().to_owned(),
            detail: String::new(),
            answer: Some(response),
        },
        Err(problem) => problem_to_forward_answer(forwarded.call_id, problem),
    }
}

/// The answer to a forwarded call that failed or was refused.
pub fn problem_to_forward_answer(call_id: u64, problem: Problem) -> ForwardAnswer {
    ForwardAnswer {
        call_id,
        error_number: Some(problem.code.number()),
        execution: problem.execution.as_str().to_owned(),
        detail: problem.detail,
        answer: None,
    }
}

async fn try_execute_forwarded(
    entry: &Arc<Entry>,
    forwarded: &ForwardedCall,
    guard: &InFlightGuard,
) -> Result<StoredResponse, Problem> {
    if forwarded.incarnation != entry.incarnation {
        return Err(ErrorCode::OwnerUnreachable.into());
    }
    let identity = CallerIdentity {
        organisation: forwarded.organisation.clone(),
        caller: forwarded.caller.clone(),
        highest_rank: None,
    };
    let mut context =
        CallContext::detached(entry, &forwarded.request_id, identity, Some(guard.clone()));
    let routed = context.route(&forwarded.service, Some(&forwarded.rank))?;
    let call = PlainCall {
        method: forwarded.method.clone(),
        path_and_query: forwarded.path_and_query.clone(),
        headers: decode_headers(&forwarded.headers),
        body: Bytes::from(forwarded.body.clone()),
    };
    let sequence = forwarded.sequence;
    let outcome = entry.order_ids.lock().begin(sequence, digest_call(&call), context.arrived_at_ms);
    match outcome {
        ClaimOutcome::Granted => {
            let response = dispatch(&context, &routed, &call, Claim::Issued { sequence }).await?;
            let content_type = response.headers.get(header::CONTENT_TYPE);
            Ok(StoredResponse {
                status: response.status,
                content_type: content_type.and_then(|v| v.to_str().ok()).map(str::to_owned),
                body: Some(response.body.to_vec()),
            })
        }
        ClaimOutcome::Finished(stored) => Ok(stored),
        ClaimOutcome::InProgress => Err(ErrorCode::ClaimedElsewhere.into()),
        ClaimOutcome::KeyReused => Err(ErrorCode::KeyReused.into()),
        ClaimOutcome::Expired => Err(ErrorCode::KeyExpired.into()),
        ClaimOutcome::Unavailable => Err(ErrorCode::ClaimUnavailable.into()),
    }
}

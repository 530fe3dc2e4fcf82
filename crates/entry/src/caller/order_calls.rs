//! Calls that may run at most once.
//!
//! A call is dispatched only with a claim that nobody else can hold; see
//! `docs/design/at-most-once.md`. Once it is claimed it runs in a task of its own, so that a caller
//! who goes away doesn't leave the outcome unknown.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

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
use ntex::time::sleep;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use tokio::sync::{mpsc, oneshot};

use super::chat::write_stored;
use super::context::{CallContext, RoutedCall};
use super::plain::{self, Places, PlainCall};
use crate::claims::{ClaimCommand, ClaimReply};
use crate::peers::ForwardRequest;
use crate::state::{Entry, InFlightGuard};

const KEY_LENGTH_LIMIT: usize = 255;
/// Looks for the outcome of a call with the same key that is still running.
const OUTCOME_LOOKS: u32 = 4;
const OUTCOME_WAIT: Duration = Duration::from_millis(100);

/// Who holds the right to run a call.
#[derive(Clone, Debug)]
enum Claim {
    /// The caller gave no key: one attempt, and no repeat can be recognised.
    None,
    /// A record in the platform's key-value service.
    Recorded { key: ClaimKey, token: ClaimToken },
    /// An order id that this process has issued.
    Issued { sequence: u64 },
}

/// Answers a call that may run at most once.
pub async fn answer(
    context: &mut CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    key: Option<String>,
) -> Result<HttpResponse, Problem> {
    let Some(key) = key else {
        let result = dispatch(context, routed, &call, Claim::None).await;
        return result.map(|answer| write_run(&answer));
    };
    if key.is_empty() || key.len() > KEY_LENGTH_LIMIT {
        let detail = format!("`Idempotency-Key` may have 1 to {KEY_LENGTH_LIMIT} characters.");
        return Err(Problem::new(ErrorCode::InvalidHeader).with_detail(detail));
    }
    let identity = &context.identity;
    let secret = context.entry.settings.peer_secret.reveal();
    let order_id = OrderId::from_text(&key, &identity.organisation, &identity.caller, secret)
        .map_err(|_| Problem::new(ErrorCode::KeyNotForThisCaller))?;
    match order_id {
        Some(id) if is_own(&context.entry, &id) => {
            answer_issued(context, routed, call, id.sequence).await
        }
        Some(id) => forward(context, routed, &call, &id).await,
        None => answer_recorded(context, routed, call, &key).await,
    }
}

fn is_own(entry: &Entry, id: &OrderId) -> bool {
    id.instance == entry.settings.instance && id.incarnation == entry.incarnation
}

async fn answer_issued(
    context: &CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    sequence: u64,
) -> Result<HttpResponse, Problem> {
    let digest = digest_call(&call);
    let claim = context.entry.order_ids.lock().begin(sequence, digest, context.arrived_at_ms);
    match claim {
        ClaimOutcome::Granted => {
            run_detached(context, routed, call, Claim::Issued { sequence }).await
        }
        other => refuse_or_repeat(context, other),
    }
}

async fn answer_recorded(
    context: &CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    key: &str,
) -> Result<HttpResponse, Problem> {
    let claim_key = ClaimKey::new(&context.identity.organisation, &routed.service, key);
    let request_digest = digest_call(&call);
    let mut span = Span::start("claim", Some(context.span.context));
    let mut reply = try_claim(context, claim_key, request_digest).await?;
    for _ in 0..OUTCOME_LOOKS {
        if reply.outcome != ClaimOutcome::InProgress {
            break;
        }
        // The first call may have ended just now, with its answer still on the way to the store.
        sleep(OUTCOME_WAIT).await;
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
        other => refuse_or_repeat(context, other),
    }
}

async fn try_claim(
    context: &CallContext,
    key: ClaimKey,
    request_digest: u64,
) -> Result<ClaimReply, Problem> {
    let (reply, receiver) = oneshot::channel();
    let command = ClaimCommand::Begin { key, request_digest, reply };
    context.entry.claim_commands.send(command).map_err(|_| Problem::new(ErrorCode::Internal))?;
    receiver.await.map_err(|_| Problem::new(ErrorCode::Internal))
}

fn digest_call(call: &PlainCall) -> u64 {
    digest_request(&call.method, &call.path_and_query, &call.body)
}

fn refuse_or_repeat(context: &CallContext, answer: ClaimOutcome) -> Result<HttpResponse, Problem> {
    match answer {
        ClaimOutcome::Finished(stored) => Ok(write_stored(&stored, &context.request_id)),
        ClaimOutcome::InProgress => Err(ErrorCode::ClaimedElsewhere.into()),
        ClaimOutcome::KeyReused => Err(ErrorCode::KeyReused.into()),
        ClaimOutcome::Expired => Err(ErrorCode::KeyExpired.into()),
        ClaimOutcome::Unavailable => {
            Err(Problem::new(ErrorCode::ClaimUnavailable).with_retry_after_s(2))
        }
        ClaimOutcome::Granted => Err(ErrorCode::Internal.into()),
    }
}

/// Runs a claimed call in a task that goes on when the caller goes away.
async fn run_detached(
    context: &CallContext,
    routed: &RoutedCall,
    call: PlainCall,
    claim: Claim,
) -> Result<HttpResponse, Problem> {
    let (reply, receiver) = oneshot::channel();
    let mut own = CallContext::detached(
        &context.entry,
        &context.request_id,
        CallerIdentity::clone(&context.identity),
    );
    own.usage_key.clone_from(&context.usage_key);
    let routed = routed.clone();
    let guard = InFlightGuard::new(&context.entry);
    ntex::rt::spawn(async move {
        let result = dispatch(&own, &routed, &call, claim).await;
        let _ = reply.send(result);
        drop(guard);
    });
    let result = receiver.await.map_err(|_| Problem::new(ErrorCode::Internal))?;
    result.map(|answer| write_run(&answer))
}

/// Dispatches a claimed call. It is tried again only while no connection could be made, which proves
/// that nothing was sent.
async fn dispatch(
    context: &CallContext,
    routed: &RoutedCall,
    call: &PlainCall,
    claim: Claim,
) -> Result<ServiceResponse, Problem> {
    let mut places = Places::new(context, routed, call)?;
    loop {
        let grant = match places.acquire().await {
            Ok(grant) => grant,
            Err(problem) => {
                release(context, claim);
                return Err(problem.with_execution(Execution::NotRun));
            }
        };
        let error = match plain::send(context, routed, call, &grant, true).await {
            Ok(answer) => {
                grant.finish();
                context.add_usage(&UsageCount { answered: 1, ..UsageCount::default() });
                finish(context, claim, &answer);
                return Ok(answer);
            }
            Err(error) => error,
        };
        places.fail(grant, &error);
        if error.kind != AttemptErrorKind::NotConnected {
            return Err(places.give_up(&error));
        }
        if places.attempts >= routed.policy.attempt_limit {
            release(context, claim);
            return Err(places.give_up(&error));
        }
    }
}

fn finish(context: &CallContext, claim: Claim, answer: &ServiceResponse) {
    let limit_bytes = context.entry.settings.limits.stored_answer_bytes;
    let content_type = answer.headers.get(header::CONTENT_TYPE);
    let stored = StoredResponse {
        status: answer.status,
        content_type: content_type.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body: (answer.body.len() <= limit_bytes).then(|| answer.body.to_vec()),
    };
    match claim {
        Claim::None => {}
        Claim::Issued { sequence } => context.entry.order_ids.lock().finish(sequence, stored),
        Claim::Recorded { key, token } => {
            let command = ClaimCommand::Finish { key, token, response: stored };
            let _ = context.entry.claim_commands.send(command);
        }
    }
}

fn release(context: &CallContext, claim: Claim) {
    match claim {
        Claim::None => {}
        Claim::Issued { sequence } => context.entry.order_ids.lock().release(sequence),
        Claim::Recorded { key, token } => {
            let _ = context.entry.claim_commands.send(ClaimCommand::Release { key, token });
        }
    }
}

fn write_run(answer: &ServiceResponse) -> HttpResponse {
    let mut response = plain::write_answer(answer);
    super::respond::set_header(&mut response, "x-execution", Execution::Ran.as_str());
    response
}

/// Sends a call to the process that issued its order id. Only that process may run it; when it
/// can't be reached the call may have run there, and it is never run here.
async fn forward(
    context: &CallContext,
    routed: &RoutedCall,
    call: &PlainCall,
    id: &OrderId,
) -> Result<HttpResponse, Problem> {
    let entry = &context.entry;
    let unreachable = || Problem::new(ErrorCode::OwnerUnreachable);
    let running = entry.members.lock().incarnation(&id.instance, entry.clock.now_ms());
    let mesh = entry.mesh().ok_or_else(unreachable)?;
    if running != Some(id.incarnation) {
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
        headers: write_headers(&call.headers),
        body: call.body.to_vec(),
        request_id: context.request_id.clone(),
        traceparent: span.context.to_traceparent(),
    });
    let answer = entry.pending_forwards.add(call_id, &id.instance);
    if !mesh.send(&id.instance, &message) {
        entry.pending_forwards.remove(call_id);
        return Err(unreachable());
    }
    let answer = answer.await.map_err(|_| unreachable());
    span.end(&entry.spans);
    read_forward_answer(context, answer?)
}

fn read_forward_answer(
    context: &CallContext,
    answer: ForwardAnswer,
) -> Result<HttpResponse, Problem> {
    if let Some(stored) = &answer.answer {
        return Ok(write_stored(stored, &context.request_id));
    }
    let code = ErrorCode::ALL.iter().find(|code| Some(code.number()) == answer.error_number);
    let execution = match answer.execution.as_str() {
        "not_run" => Execution::NotRun,
        "ran" => Execution::Ran,
        _ => Execution::MayHaveRun,
    };
    let problem = Problem::new(code.copied().unwrap_or(ErrorCode::Internal));
    Err(problem.with_detail(answer.detail).with_execution(execution))
}

fn write_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let field = |(name, value): (&header::HeaderName, &header::HeaderValue)| HeaderField {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(field).collect()
}

fn read_headers(fields: &[HeaderField]) -> HeaderMap {
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

/// Runs calls that peers have forwarded, until the channel closes.
pub async fn run_forwarded_calls(
    entry: Arc<Entry>,
    mut requests: mpsc::UnboundedReceiver<ForwardRequest>,
) {
    while let Some(request) = requests.recv().await {
        let entry = Arc::clone(&entry);
        ntex::rt::spawn(async move {
            let guard = InFlightGuard::new(&entry);
            let answer = run_forwarded(&entry, &request.call).await;
            if let Some(mesh) = entry.mesh() {
                mesh.send(&request.from, &PeerMessage::ForwardAnswer(answer));
            }
            drop(guard);
        });
    }
}

async fn run_forwarded(entry: &Arc<Entry>, forwarded: &ForwardedCall) -> ForwardAnswer {
    match try_run_forwarded(entry, forwarded).await {
        Ok(answer) => ForwardAnswer {
            call_id: forwarded.call_id,
            error_number: None,
            execution: Execution::Ran.as_str().to_owned(),
            detail: String::new(),
            answer: Some(answer),
        },
        Err(problem) => ForwardAnswer {
            call_id: forwarded.call_id,
            error_number: Some(problem.code.number()),
            execution: problem.execution.as_str().to_owned(),
            detail: problem.detail,
            answer: None,
        },
    }
}

async fn try_run_forwarded(
    entry: &Arc<Entry>,
    forwarded: &ForwardedCall,
) -> Result<StoredResponse, Problem> {
    if forwarded.incarnation != entry.incarnation {
        return Err(ErrorCode::OwnerUnreachable.into());
    }
    let identity = CallerIdentity {
        organisation: forwarded.organisation.clone(),
        caller: forwarded.caller.clone(),
        highest_rank: None,
    };
    let mut context = CallContext::detached(entry, &forwarded.request_id, identity);
    let routed = context.route(&forwarded.service, Some(&forwarded.rank))?;
    let call = PlainCall {
        method: forwarded.method.clone(),
        path_and_query: forwarded.path_and_query.clone(),
        headers: read_headers(&forwarded.headers),
        body: Bytes::from(forwarded.body.clone()),
    };
    let sequence = forwarded.sequence;
    let claim = entry.order_ids.lock().begin(sequence, digest_call(&call), context.arrived_at_ms);
    match claim {
        ClaimOutcome::Granted => {
            let answer = dispatch(&context, &routed, &call, Claim::Issued { sequence }).await?;
            let content_type = answer.headers.get(header::CONTENT_TYPE);
            Ok(StoredResponse {
                status: answer.status,
                content_type: content_type.and_then(|v| v.to_str().ok()).map(str::to_owned),
                body: Some(answer.body.to_vec()),
            })
        }
        ClaimOutcome::Finished(stored) => Ok(stored),
        ClaimOutcome::InProgress => Err(ErrorCode::ClaimedElsewhere.into()),
        ClaimOutcome::KeyReused => Err(ErrorCode::KeyReused.into()),
        ClaimOutcome::Expired => Err(ErrorCode::KeyExpired.into()),
        ClaimOutcome::Unavailable => Err(ErrorCode::ClaimUnavailable.into()),
    }
}

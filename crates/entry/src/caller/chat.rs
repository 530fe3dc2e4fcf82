//! Chat completions (`POST /v1/chat/completions`): streamed, as one response, or as a job.

use std::sync::Arc;

use futures_util::stream;
use hickorycourse_codes::{ErrorCode, Problem};
use hickorycourse_idempotency::StoredResponse;
use hickorycourse_jobs::JobCopy;
use hickorycourse_membership::CallerIdentity;
use hickorycourse_settings::ServiceKind;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};
use serde_json::{Map, Value, json};

use super::context::{CallContext, RANK_HEADER, RoutedCall, read_header};
use super::session::{ChatSession, SessionEvent};
use super::{async_jobs, read_body, respond};
use crate::state::Entry;

/// A validated chat-completions request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// All fields of the body; unknown ones are passed on to the engine.
    pub fields: Map<String, Value>,
    /// The requested model.
    pub model: String,
    /// Whether the response is streamed as server-sent events.
    pub is_streaming: bool,
    /// Whether a streamed response ends with a chunk of token usage.
    pub include_usage: bool,
    /// Maximum number of output tokens; `None` if the caller set none.
    pub token_limit: Option<u64>,
    /// Whether the response is a single text, which another engine can continue.
    pub is_resumable: bool,
}

impl ChatRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    /// [`ErrorCode::MalformedJson`] or [`ErrorCode::InvalidField`], naming the field.
    pub fn parse(bytes: &[u8]) -> Result<Self, Problem> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| {
            Problem::new(ErrorCode::MalformedJson).with_detail(format!("Not valid JSON: {error}."))
        })?;
        let Value::Object(fields) = value else {
            return Err(invalid_field("body", "an object"));
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) => model.clone(),
            _ => return Err(invalid_field("model", "a text")),
        };
        check_messages(&fields)?;
        let is_streaming = parse_flag(&fields, "stream")?;
        let include_usage = match fields.get("stream_options") {
            None | Some(Value::Null) => false,
            Some(Value::Object(options)) => parse_flag(options, "include_usage")?,
            Some(_) => return Err(invalid_field("stream_options", "an object")),
        };
        let token_limit = match parse_positive_integer(&fields, "max_completion_tokens")? {
            Some(limit) => Some(limit),
            None => parse_positive_integer(&fields, "max_tokens")?,
        };
        let is_resumable = is_single_text(&fields)?;
        Ok(Self { fields, model, is_streaming, include_usage, token_limit, is_resumable })
    }

    /// The prompt as one text, for prefix-cache routing and cost estimation.
    pub fn prompt_text(&self) -> String {
        let messages = self.fields.get("messages").and_then(Value::as_array);
        let lines = messages
            .into_iter()
            .flatten()
            .map(|message| format!("{}: {}", message["role"], message["content"]));
        lines.collect::<Vec<_>>().join("\n")
    }
}

fn check_messages(fields: &Map<String, Value>) -> Result<(), Problem> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(invalid_field("messages", "a list with at least one message")),
    };
    for (index, message) in messages.iter().enumerate() {
        if !message["role"].is_string() {
            return Err(invalid_field(&format!("messages[{index}].role"), "a text"));
        }
    }
    Ok(())
}

fn is_single_text(fields: &Map<String, Value>) -> Result<bool, Problem> {
    let choices = parse_positive_integer(fields, "n")?.unwrap_or(1);
    let is_set = |name: &str| {
        fields.get(name).is_some_and(|value| !value.is_null() && *value != Value::Bool(false))
    };
    Ok(choices == 1 && !is_set("tools") && !is_set("functions") && !is_set("logprobs"))
}

fn parse_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, Problem> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(invalid_field(name, "true or false")),
    }
}

fn parse_positive_integer(fields: &Map<String, Value>, name: &str) -> Result<Option<u64>, Problem> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(count) if count > 0 => Ok(Some(count)),
            _ => Err(invalid_field(name, "a whole number above 0")),
        },
    }
}

fn invalid_field(name: &str, allowed: &str) -> Problem {
    Problem::new(ErrorCode::InvalidField).with_detail(format!("`{name}` must be {allowed}."))
}

/// Handles a chat-completions request.
pub async fn handle(
    context: &mut CallContext,
    request: &HttpRequest,
    payload: types::Payload,
) -> Result<HttpResponse, Problem> {
    let body = read_body(&context.entry, request, payload).await?;
    let bytes = body.as_ref();
    let chat = ChatRequest::parse(bytes)?;
    let service = find_model_service(context, &chat.model)?;
    let routed = context.route(&service, read_header(request, RANK_HEADER))?;
    if prefers_async(request) && !chat.is_streaming {
        return async_jobs::accept(context, &routed, bytes).await;
    }
    let is_streaming = chat.is_streaming;
    let session = ChatSession::new(context, routed, chat)?;
    match is_streaming {
        true => respond_streaming(context, session).await,
        false => respond_complete(session).await,
    }
}

fn prefers_async(request: &HttpRequest) -> bool {
    let prefer = read_header(request, "prefer").unwrap_or("");
    prefer.split([',', ';']).any(|preference| preference.trim() == "respond-async")
}

fn find_model_service(context: &CallContext, model: &str) -> Result<String, Problem> {
    let site = context.site()?;
    let found = site.services.iter().find(|(_, service)| {
        service.kind == ServiceKind::Model && service.model.as_deref() == Some(model)
    });
    match found {
        Some((name, _)) => Ok(name.clone()),
        None => {
            let detail = format!("No service offers the model `{model}`.");
            Err(Problem::new(ErrorCode::UnknownModel).with_detail(detail))
        }
    }
}

async fn respond_complete(mut session: ChatSession) -> Result<HttpResponse, Problem> {
    let value = session.complete().await?;
    Ok(HttpResponse::Ok().json(&value))
}

/// Starts a streamed response. The first event is awaited before the headers are sent, so that a
/// rejected request still gets its own status code.
async fn respond_streaming(
    context: &CallContext,
    mut session: ChatSession,
) -> Result<HttpResponse, Problem> {
    let first = session.next().await?;
    let state = SseStream {
        session: Some(session),
        next: Some(first),
        request_id: context.request_id.clone(),
    };
    let events = Box::pin(stream::unfold(state, |mut state| async move {
        let event = state.next_sse_event().await?;
        Some((Ok::<Bytes, std::io::Error>(event), state))
    }));
    Ok(HttpResponse::Ok()
        .header("content-type", "text/event-stream; charset=utf-8")
        .header("cache-control", "no-cache")
        .streaming(events))
}

struct SseStream {
    session: Option<ChatSession>,
    next: Option<SessionEvent>,
    request_id: String,
}

impl SseStream {
    async fn next_sse_event(&mut self) -> Option<Bytes> {
        let event = match self.next.take() {
            Some(event) => event,
            None => match self.session.as_mut()?.next().await {
                Ok(event) => event,
                Err(problem) => {
                    self.session = None;
                    // `[DONE]` is not sent, so the caller detects that the response is incomplete.
                    let document = problem.to_json(&self.request_id);
                    return Some(Bytes::from(format!("data: {document}\n\n")));
                }
            },
        };
        match event {
            SessionEvent::Chunk(value) => Some(Bytes::from(format!("data: {value}\n\n"))),
            SessionEvent::End => {
                self.session = None;
                Some(Bytes::from_static(b"data: [DONE]\n\n"))
            }
        }
    }
}

/// Executes an accepted job and returns the response to store, also when it failed.
pub async fn run_job(entry: &Arc<Entry>, job: &JobCopy) -> StoredResponse {
    let identity = CallerIdentity {
        organisation: job.organisation.clone(),
        caller: job.caller.clone(),
        highest_rank: None,
    };
    let mut context = CallContext::detached(entry, &job.job_id, identity, None);
    let result = match start_job(&mut context, job) {
        Ok(mut session) => session.complete().await,
        Err(problem) => Err(problem),
    };
    let response = match result {
        Ok(value) => StoredResponse {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: Some(value.to_string().into_bytes()),
        },
        Err(problem) => StoredResponse {
            status: problem.status(),
            content_type: Some("application/problem+json".to_owned()),
            body: Some(problem.to_json(&job.job_id).to_string().into_bytes()),
        },
    };
    context.span.end(&entry.spans);
    response
}

fn start_job(context: &mut CallContext, job: &JobCopy) -> Result<ChatSession, Problem> {
    let chat = ChatRequest::parse(&job.body)?;
    let routed: RoutedCall = context.route(&job.service, Some(&job.rank))?;
    ChatSession::new(context, routed, chat)
}

/// Whether a job failed for a transient reason and should be retried on this entry.
pub fn is_transient_failure(response: &StoredResponse) -> bool {
    matches!(response.status, 429 | 502 | 503 | 504)
}

/// Converts a stored response; a body that was too large to store is replaced by a notice.
pub fn stored_to_http_response(stored: &StoredResponse, request_id: &str) -> HttpResponse {
    let status = ntex::http::StatusCode::from_u16(stored.status)
        .unwrap_or(ntex::http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    if let Some(content_type) = &stored.content_type {
        builder.header("content-type", content_type.as_str());
    }
    let mut response = match &stored.body {
        Some(body) => builder.body(body.clone()),
        None => builder.json(&json!({ "request_id": request_id, "answer_stored": false })),
    };
    respond::set_header(&mut response, "x-execution", "ran");
    response
}

//! A chat completion with failover between engines.
//!
//! Attempts are streamed from the engine even if the caller did not request streaming, except when
//! such a response is not a single text. When an attempt fails, the next one goes to another engine
//! and continues after the text received so far (`continue_final_message`), so the caller receives
//! one uninterrupted response. Streams on an engine that is leaving finish there; if the engine
//! closes them early, they resume on another engine in the same way.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_clock::sleep;
use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_routing::{BYTES_PER_TOKEN, PrefixBlocks, draw_backoff_ms};
use hickorycourse_settings::RetryKind;
use hickorycourse_telemetry::{Span, TraceContext};
use hickorycourse_upstream::{
    AttemptError, AttemptErrorKind, Chunk, ChunkUsage, Engine, EngineCall, EngineEvent,
    HttpUpstreams, TokenStream,
};
use hickorycourse_usage::{UsageCount, UsageKey};
use serde_json::{Map, Value, json};
use tokio::sync::oneshot;

use super::chat::ChatRequest;
use super::completion_writer::CompletionWriter;
use super::context::{CallContext, RoutedCall};
use crate::pool::{Grant, ServicePool};
use crate::state::Entry;

/// An event for a streaming caller.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// A serialized chunk.
    Chunk(String),
    /// The response is complete.
    End,
}

/// An attempt in progress.
struct Attempt {
    grant: Grant,
    stream: Box<dyn TokenStream>,
    span: Span,
    /// Signals preemption; `None` if the response can't be resumed later.
    preemption: Option<oneshot::Receiver<()>>,
}

/// A chat completion and its attempts. Dropping it cancels the running attempt.
pub struct ChatSession {
    entry: Arc<Entry>,
    upstreams: Rc<HttpUpstreams>,
    pool: Arc<ServicePool>,
    request: ChatRequest,
    routed: RoutedCall,
    request_id: String,
    writer: CompletionWriter,
    trace: TraceContext,
    usage_key: Option<UsageKey>,
    queued_request: hickorycourse_admission::QueuedRequest,
    prefix: Arc<PrefixBlocks>,
    arrived_at_ms: u64,
    attempt: Option<Attempt>,
    attempts: u64,
    failed_upstreams: Vec<usize>,
    text: String,
    received_tokens: u64,
    /// Tokens received by the attempts before the current one.
    resumed_tokens: u64,
    is_role_sent: bool,
    finish_reason: Option<String>,
    engine_usage: ChunkUsage,
    recomputed_tokens: u64,
    pending: Vec<SessionEvent>,
    is_ended: bool,
    is_preempted: bool,
    /// Whether an engine may have executed part of a failed or preempted attempt.
    may_have_run: bool,
}

/// Waits for the next event of an attempt; `None` if it is preempted.
async fn wait_for_event(attempt: &mut Attempt) -> Option<Result<EngineEvent, AttemptError>> {
    let Some(preemption) = &mut attempt.preemption else {
        return Some(attempt.stream.next().await);
    };
    tokio::select! {
        biased;
        event = attempt.stream.next() => Some(event),
        Ok(()) = preemption => None,
    }
}

/// Output tokens that the admission cost assumes if the caller sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// Time per output token that is added to the first-byte timeout of a call that is not streamed.
const NON_STREAMED_MS_PER_TOKEN: u64 = 50;

impl ChatSession {
    /// Creates a session; nothing is sent to an engine yet.
    ///
    /// # Errors
    /// [`ErrorCode::NoUpstream`] if the service has no pool.
    pub fn new(
        context: &CallContext,
        routed: RoutedCall,
        request: ChatRequest,
    ) -> Result<Self, Problem> {
        let entry = Arc::clone(&context.entry);
        let pool = entry.pool(&routed.service).ok_or(ErrorCode::NoUpstream)?;
        let prompt = request.prompt_text();
        let limit = request.token_limit.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let output_tokens = limit.min(routed.policy.answer_token_limit);
        let cost_tokens = (prompt.len() / BYTES_PER_TOKEN) as u64 + output_tokens;
        Ok(Self {
            upstreams: super::upstreams(),
            pool,
            queued_request: context.make_queued_request(&routed, cost_tokens),
            prefix: Arc::new(PrefixBlocks::from_prompt(prompt.as_bytes())),
            request_id: context.request_id.clone(),
            writer: CompletionWriter {
                id: format!("chatcmpl-{}", context.request_id),
                created_s: entry.clock.wall_ms() / 1_000,
                model: request.model.clone(),
                include_usage: request.include_usage,
            },
            trace: context.span.context,
            usage_key: context.usage_key.clone(),
            arrived_at_ms: context.arrived_at_ms,
            entry,
            request,
            routed,
            attempt: None,
            attempts: 0,
            failed_upstreams: Vec::new(),
            text: String::new(),
            received_tokens: 0,
            resumed_tokens: 0,
            is_role_sent: false,
            finish_reason: None,
            engine_usage: ChunkUsage::default(),
            recomputed_tokens: 0,
            pending: Vec::new(),
            is_ended: false,
            is_preempted: false,
            may_have_run: false,
        })
    }

    /// Returns the next event for a streaming caller.
    ///
    /// # Errors
    /// The call was rejected or its last attempt failed; the response can't be continued.
    pub async fn next(&mut self) -> Result<SessionEvent, Problem> {
        loop {
            if let Some(event) = self.pending.pop() {
                return Ok(event);
            }
            if self.attempt.is_none() {
                self.start_attempt().await?;
            }
            let Some(attempt) = &mut self.attempt else { continue };
            match wait_for_event(attempt).await {
                None => self.preempt_attempt(),
                Some(Ok(EngineEvent::Chunk(chunk))) => {
                    if let Some(value) = self.apply_chunk(chunk) {
                        return Ok(SessionEvent::Chunk(value));
                    }
                }
                Some(Ok(EngineEvent::End)) => self.finish_stream(),
                Some(Err(error)) => self.fail_attempt(error).await?,
            }
        }
    }

    /// Cancels the attempt to free its slot for more urgent work; the response resumes with a new
    /// attempt as soon as a slot is granted.
    fn preempt_attempt(&mut self) {
        let Some(attempt) = self.attempt.take() else { return };
        let Attempt { mut grant, stream, mut span, .. } = attempt;
        // Closing the connection cancels the attempt at the engine.
        drop(stream);
        grant.used_tokens =
            self.engine_usage.prompt_tokens + self.received_tokens - self.resumed_tokens;
        drop(grant);
        span.set_attribute("preempted", "true");
        span.end(&self.entry.spans);
        self.is_preempted = true;
        self.may_have_run = true;
        // A preemption does not count against the attempt limit.
        self.attempts -= 1;
    }

    /// Runs the call to its end and returns the complete response.
    ///
    /// # Errors
    /// The call was rejected or its last attempt failed.
    pub async fn complete(&mut self) -> Result<Value, Problem> {
        if !self.request.is_resumable {
            return self.complete_without_streaming().await;
        }
        while self.next().await? != SessionEvent::End {}
        let usage = self.usage_to_json();
        let finish_reason = self.finish_reason.as_deref().unwrap_or("stop");
        Ok(self.writer.build_completion(&self.text, finish_reason, &usage))
    }

    /// Requests a response that is not a single text without streaming. Such a response can't be
    /// resumed, so a retry starts from the beginning.
    async fn complete_without_streaming(&mut self) -> Result<Value, Problem> {
        loop {
            let grant = self.acquire().await?;
            let attempt_id = self.entry.generate_id();
            let body = self.build_request_body(false);
            let span = self.start_span(&grant);
            let traceparent = span.context.to_traceparent();
            let mut call = self.build_engine_call(&grant, &attempt_id, &body, &traceparent);
            // The engine sends no byte until the response is complete.
            call.first_byte_timeout_ms += self.output_token_limit() * NON_STREAMED_MS_PER_TOKEN;
            let result = self.upstreams.complete(call).await;
            span.end(&self.entry.spans);
            match result {
                Ok(mut value) => {
                    self.record_first_token();
                    let usage = value.get("usage").cloned().unwrap_or_default();
                    self.engine_usage = serde_json::from_value(usage).unwrap_or_default();
                    self.received_tokens = self.engine_usage.completion_tokens;
                    self.finish_grant(grant);
                    value["id"] = json!(self.writer.id);
                    value["model"] = json!(self.writer.model);
                    return Ok(value);
                }
                Err(error) => self.handle_failure(grant, error).await?,
            }
        }
    }

    async fn acquire(&mut self) -> Result<Grant, Problem> {
        let mut span = Span::start("queue", Some(self.trace));
        let result = match self.attempts {
            _ if std::mem::take(&mut self.is_preempted) => {
                self.pool.acquire_after_preemption(&self.queued_request, &self.prefix).await
            }
            0 => self.pool.acquire(self.queued_request.clone(), &self.prefix).await,
            _ => {
                self.pool
                    .acquire_for_retry(&self.queued_request, &self.prefix, &self.failed_upstreams)
                    .await
            }
        };
        if let Ok(grant) = &result {
            span.set_attribute("instance", grant.instance.as_str());
        }
        span.end(&self.entry.spans);
        self.attempts += 1;
        // A rejected retry doesn't prove that the earlier attempts were not executed.
        result.map_err(|problem| match self.may_have_run {
            false => problem,
            true => problem.with_execution(Execution::MayHaveRun),
        })
    }

    async fn start_attempt(&mut self) -> Result<(), Problem> {
        let grant = self.acquire().await?;
        let attempt_id = self.entry.generate_id();
        let body = self.build_request_body(true);
        let span = self.start_span(&grant);
        let traceparent = span.context.to_traceparent();
        let call = self.build_engine_call(&grant, &attempt_id, &body, &traceparent);
        match self.upstreams.stream(call).await {
            Ok(stream) => {
                self.resumed_tokens = self.received_tokens;
                let preemption = self.request.is_resumable.then(|| grant.allow_preemption());
                self.attempt = Some(Attempt { grant, stream, span, preemption });
                Ok(())
            }
            Err(error) => {
                span.end(&self.entry.spans);
                self.handle_failure(grant, error).await
            }
        }
    }

    fn start_span(&self, grant: &Grant) -> Span {
        let mut span = Span::start("attempt", Some(self.trace));
        span.set_attribute("instance", grant.instance.as_str());
        span.set_attribute("attempt", self.attempts.to_string());
        span
    }

    fn build_engine_call<'a>(
        &self,
        grant: &Grant,
        attempt_id: &'a str,
        body: &'a Value,
        traceparent: &'a str,
    ) -> EngineCall<'a> {
        EngineCall {
            upstream: grant.upstream,
            attempt_id,
            body,
            traceparent,
            first_byte_timeout_ms: self.routed.policy.first_byte_timeout_ms,
            token_timeout_ms: self.routed.policy.token_timeout_ms,
        }
    }

    fn output_token_limit(&self) -> u64 {
        let policy_limit = self.routed.policy.answer_token_limit;
        self.request.token_limit.unwrap_or(policy_limit).min(policy_limit)
    }

    /// Builds the engine request of the next attempt, which continues the text received so far.
    fn build_request_body(&self, is_streaming: bool) -> Value {
        let mut fields: Map<String, Value> = self.request.fields.clone();
        let remaining_tokens =
            self.output_token_limit().saturating_sub(self.received_tokens).max(1);
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), json!(remaining_tokens));
        fields.insert("priority".to_owned(), json!(self.routed.urgency));
        fields.insert("stream".to_owned(), json!(is_streaming));
        if is_streaming {
            let options = json!({ "include_usage": true, "continuous_usage_stats": true });
            fields.insert("stream_options".to_owned(), options);
        }
        if !self.text.is_empty()
            && let Some(Value::Array(messages)) = fields.get_mut("messages")
        {
            messages.push(json!({ "role": "assistant", "content": self.text }));
            fields.insert("continue_final_message".to_owned(), json!(true));
            fields.insert("add_generation_prompt".to_owned(), json!(false));
        }
        Value::Object(fields)
    }

    /// Records a chunk and returns its serialized form; `None` if nothing is sent to the caller.
    fn apply_chunk(&mut self, chunk: Chunk) -> Option<String> {
        if let Some(usage) = chunk.usage {
            self.engine_usage = usage;
        }
        if chunk.is_usage_only {
            return None;
        }
        if chunk.has_non_text_content {
            self.request.is_resumable = false;
        }
        if let Some(text) = &chunk.text {
            if self.received_tokens == 0 {
                self.record_first_token();
            }
            self.text.push_str(text);
            self.received_tokens = match chunk.usage {
                Some(usage) => self.resumed_tokens + usage.completion_tokens,
                None => self.received_tokens + 1,
            };
        }
        if chunk.finish_reason.is_some() {
            self.finish_reason.clone_from(&chunk.finish_reason);
        }
        if !self.request.is_streaming {
            return None;
        }
        let is_first = !std::mem::replace(&mut self.is_role_sent, true);
        Some(self.writer.write_chunk(chunk, is_first))
    }

    fn finish_stream(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.span.end(&self.entry.spans);
            self.finish_grant(attempt.grant);
        }
        // `pending` is popped from the end, so the usage chunk is sent before the end event.
        self.pending.push(SessionEvent::End);
        if self.request.include_usage {
            let chunk = self.writer.write_usage_chunk(&self.usage_to_json());
            self.pending.push(SessionEvent::Chunk(chunk));
        }
    }

    fn finish_grant(&mut self, mut grant: Grant) {
        let prompt_tokens = self.prompt_tokens();
        grant.used_tokens = prompt_tokens + self.received_tokens;
        grant.finish();
        self.is_ended = true;
        if self.resumed_tokens > 0 {
            self.recomputed_tokens += self.engine_usage.computed_prompt_tokens();
        }
        self.add_usage(true);
    }

    fn add_usage(&self, is_completed: bool) {
        let Some(key) = &self.usage_key else { return };
        let count = UsageCount {
            answered: u64::from(is_completed),
            failed: u64::from(!is_completed),
            prompt_tokens: self.prompt_tokens(),
            cached_tokens: self.engine_usage.cached_tokens().min(self.prompt_tokens()),
            answer_tokens: self.received_tokens,
            recomputed_tokens: self.recomputed_tokens,
        };
        self.entry.add_usage(key, &count);
    }

    /// Tokens of the caller's prompt, without the partial response that a resumed attempt appends.
    fn prompt_tokens(&self) -> u64 {
        self.engine_usage.prompt_tokens.saturating_sub(self.resumed_tokens)
    }

    fn usage_to_json(&self) -> Value {
        let prompt_tokens = self.prompt_tokens();
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.received_tokens,
            "total_tokens": prompt_tokens + self.received_tokens,
            "prompt_tokens_details": {
                "cached_tokens": self.engine_usage.cached_tokens().min(prompt_tokens),
            },
        })
    }

    async fn fail_attempt(&mut self, error: AttemptError) -> Result<(), Problem> {
        let Some(attempt) = self.attempt.take() else { return Ok(()) };
        let Attempt { grant, stream, mut span, .. } = attempt;
        // Closing the connection cancels the attempt at the engine.
        drop(stream);
        span.set_attribute("error", error.detail.as_str());
        span.end(&self.entry.spans);
        if self.finish_reason.is_some() {
            // The text is complete; only the end-of-stream marker is missing.
            grant.fail(error.kind == AttemptErrorKind::TimedOut);
            self.is_ended = true;
            self.add_usage(true);
            self.finish_stream();
            return Ok(());
        }
        self.handle_failure(grant, error).await
    }

    /// Records a failed attempt and waits until it may be retried.
    ///
    /// # Errors
    /// The call failed: the upstream rejected the request, or no further attempt is allowed.
    async fn handle_failure(&mut self, grant: Grant, error: AttemptError) -> Result<(), Problem> {
        let instance = grant.instance.clone();
        log::info!(
            target: "attempt",
            "Request {}: attempt {} at upstream {instance} failed: {error}.",
            self.request_id,
            self.attempts,
        );
        metrics::counter!("hickorycourse_attempt_failures_total", "instance" => instance)
            .increment(1);
        self.failed_upstreams.push(grant.index);
        self.may_have_run |= error.execution() != Execution::NotRun;
        if self.resumed_tokens > 0 {
            self.recomputed_tokens += self.engine_usage.computed_prompt_tokens();
        }
        if error.is_request_rejected() {
            grant.finish();
            return Err(self.abandon(&error));
        }
        grant.fail(error.kind == AttemptErrorKind::TimedOut);
        if self.attempts >= self.routed.policy.attempt_limit || !self.can_retry() {
            return Err(self.abandon(&error));
        }
        self.wait_for_retry(&error).await
    }

    /// Whether another attempt is possible: a response that can't be resumed may only restart while
    /// no chunk has been sent to the caller.
    fn can_retry(&self) -> bool {
        self.request.is_resumable || !self.is_role_sent
    }

    async fn wait_for_retry(&mut self, error: &AttemptError) -> Result<(), Problem> {
        let site = self.entry.snapshot().site.clone();
        if site.is_some_and(|site| site.retry == RetryKind::AtOnce) {
            return Ok(());
        }
        // A started stream is accepted work and is resumed regardless of the retry budget.
        let has_started = self.received_tokens > 0;
        if !has_started && !self.pool.try_acquire_retry() {
            metrics::counter!("hickorycourse_retries_denied_total").increment(1);
            return Err(self.abandon(error));
        }
        metrics::counter!("hickorycourse_retries_total").increment(1);
        if !has_started {
            let backoff_ms = draw_backoff_ms(self.attempts as u32, &mut rand::rng());
            sleep(Duration::from_millis(backoff_ms)).await;
        }
        Ok(())
    }

    fn abandon(&mut self, error: &AttemptError) -> Problem {
        self.is_ended = true;
        if self.received_tokens > 0 {
            self.add_usage(false);
        }
        let execution = Execution::after_attempts(self.may_have_run);
        let problem = Problem::new(error.code()).with_detail(error.detail.clone());
        let problem = problem.with_execution(execution);
        if error.is_request_rejected() { problem } else { problem.with_retry_after_s(1) }
    }

    fn record_first_token(&self) {
        if let Some(attempt) = &self.attempt {
            attempt.grant.record_first_token();
        }
        let waited_ms = self.entry.clock.now_ms().saturating_sub(self.arrived_at_ms);
        metrics::histogram!(
            "hickorycourse_first_token_seconds",
            "service" => self.routed.service.clone(),
            "rank" => self.routed.rank.clone()
        )
        .record(waited_ms as f64 / 1_000.0);
    }
}

impl Drop for ChatSession {
    /// Accounts for the tokens that a caller received before it disconnected.
    fn drop(&mut self) {
        if !self.is_ended && self.received_tokens > 0 {
            self.add_usage(false);
        }
    }
}

//! One model call over as many attempts as it takes.
//!
//! Every attempt is a stream, also for callers that want a whole answer. When an attempt fails, the
//! next one goes to another engine and continues after the text received so far
//! (`continue_final_message`), so the caller sees one unbroken answer. When an engine leaves, its
//! streams finish there unless it breaks them off; then they continue elsewhere in the same way.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_codes::{ErrorCode, Execution, Problem};
use hickorycourse_routing::{BYTES_PER_TOKEN, PrefixBlocks, draw_backoff_ms};
use hickorycourse_settings::RetryKind;
use hickorycourse_telemetry::{Span, TraceContext};
use hickorycourse_upstream::{
    AttemptError, AttemptErrorKind, Chunk, ChunkUsage, Engine, EngineCall, EngineEvent,
    HttpUpstreams, TokenStream,
};
use hickorycourse_usage::{UsageCount, UsageKey};
use ntex::time::sleep;
use serde_json::{Map, Value, json};
use tokio::sync::oneshot;

use super::answer_chunk::AnswerHead;
use super::chat::ChatRequest;
use super::context::{CallContext, RoutedCall};
use crate::pool::{Grant, ServicePool};
use crate::state::Entry;

/// What a session brings.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// A chunk, as the caller gets it.
    Chunk(String),
    /// The end: the answer is whole.
    End,
}

/// An attempt that is running.
struct Attempt {
    grant: Grant,
    stream: Box<dyn TokenStream>,
    span: Span,
    /// Tells when to make room; only for answers that can go on later.
    preemption: Option<oneshot::Receiver<()>>,
}

/// One model call.
pub struct ChatSession {
    entry: Arc<Entry>,
    upstreams: Rc<HttpUpstreams>,
    pool: Arc<ServicePool>,
    request: ChatRequest,
    routed: RoutedCall,
    request_id: String,
    head: AnswerHead,
    trace: TraceContext,
    usage_key: Option<UsageKey>,
    ticket: hickorycourse_admission::QueuedRequest,
    prefix: Arc<PrefixBlocks>,
    arrived_at_ms: u64,
    attempt: Option<Attempt>,
    attempts: u64,
    failed: Vec<usize>,
    text: String,
    received_tokens: u64,
    /// Tokens received by the attempts before the one that runs.
    resumed_tokens: u64,
    is_role_sent: bool,
    finish_reason: Option<String>,
    engine_usage: ChunkUsage,
    recomputed_tokens: u64,
    pending: Vec<SessionEvent>,
    is_ended: bool,
    is_preempted: bool,
    /// Whether an attempt may have been worked on.
    has_possibly_run: bool,
}

/// Waits for the next event of an attempt; `None` when it is to make room.
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

/// Tokens that an answer is expected to have where the caller sets no limit.
const EXPECTED_ANSWER_TOKENS: u64 = 256;
/// Time that each token of an answer adds to the wait for it as a whole.
const WHOLE_ANSWER_TOKEN_MS: u64 = 50;

impl ChatSession {
    /// Prepares a call; nothing is sent yet.
    pub fn new(
        context: &CallContext,
        routed: RoutedCall,
        request: ChatRequest,
    ) -> Result<Self, Problem> {
        let entry = Arc::clone(&context.entry);
        let pool = entry.pool(&routed.service).ok_or(ErrorCode::NoUpstream)?;
        let prompt = request.prompt_text();
        let limit = request.token_limit.unwrap_or(EXPECTED_ANSWER_TOKENS);
        let answer_tokens = limit.min(routed.policy.answer_token_limit);
        let cost_tokens = (prompt.len() / BYTES_PER_TOKEN) as u64 + answer_tokens;
        Ok(Self {
            upstreams: super::upstreams(),
            pool,
            ticket: context.make_ticket(&routed, cost_tokens),
            prefix: Arc::new(PrefixBlocks::from_prompt(prompt.as_bytes())),
            request_id: context.request_id.clone(),
            head: AnswerHead {
                id: format!("chatcmpl-{}", context.request_id),
                created_s: entry.clock.wall_ms() / 1_000,
                model: request.model.clone(),
                wants_usage: request.wants_usage,
            },
            trace: context.span.context,
            usage_key: context.usage_key.clone(),
            arrived_at_ms: context.arrived_at_ms,
            entry,
            request,
            routed,
            attempt: None,
            attempts: 0,
            failed: Vec::new(),
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
            has_possibly_run: false,
        })
    }

    /// The next event for a streaming caller.
    ///
    /// # Errors
    /// The call can't be finished. After chunks were handed out this is the last event.
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
                    if let Some(value) = self.take_chunk(chunk) {
                        return Ok(SessionEvent::Chunk(value));
                    }
                }
                Some(Ok(EngineEvent::End)) => self.finish_stream(),
                Some(Err(error)) => self.fail_attempt(error).await?,
            }
        }
    }

    /// Makes room for more urgent work; the answer goes on when there is a place again.
    fn preempt_attempt(&mut self) {
        let Some(attempt) = self.attempt.take() else { return };
        let Attempt { mut grant, stream, mut span, .. } = attempt;
        // Closes the connection, which cancels the attempt at the engine.
        drop(stream);
        grant.used_tokens =
            self.engine_usage.prompt_tokens + self.received_tokens - self.resumed_tokens;
        drop(grant);
        span.set_attribute("preempted", "true");
        span.end(&self.entry.spans);
        self.is_preempted = true;
        self.has_possibly_run = true;
        // A preemption is not the upstream's failure.
        self.attempts -= 1;
    }

    /// The whole answer.
    ///
    /// # Errors
    /// The call can't be finished.
    pub async fn complete(&mut self) -> Result<Value, Problem> {
        if !self.request.is_resumable {
            return self.complete_at_once().await;
        }
        while self.next().await? != SessionEvent::End {}
        let usage = self.describe_usage();
        let finish_reason = self.finish_reason.as_deref().unwrap_or("stop");
        Ok(self.head.make_whole(&self.text, finish_reason, &usage))
    }

    /// Asks for answers that are not one text as a whole; a failed attempt starts anew.
    async fn complete_at_once(&mut self) -> Result<Value, Problem> {
        loop {
            let grant = self.acquire().await?;
            let attempt_id = self.entry.generate_id();
            let body = self.make_body(false);
            let span = self.start_span(&grant);
            let traceparent = span.context.to_traceparent();
            let mut call = self.make_call(&grant, &attempt_id, &body, &traceparent);
            // Nothing comes before the whole answer is there.
            call.first_byte_timeout_ms += self.limit_answer_tokens() * WHOLE_ANSWER_TOKEN_MS;
            let result = self.upstreams.complete(call).await;
            span.end(&self.entry.spans);
            match result {
                Ok(mut value) => {
                    self.note_first_token();
                    let usage = value.get("usage").cloned().unwrap_or_default();
                    self.engine_usage = serde_json::from_value(usage).unwrap_or_default();
                    self.received_tokens = self.engine_usage.completion_tokens;
                    self.finish_grant(grant);
                    value["id"] = json!(self.head.id);
                    value["model"] = json!(self.head.model);
                    return Ok(value);
                }
                Err(error) => self.take_failure(grant, error).await?,
            }
        }
    }

    async fn acquire(&mut self) -> Result<Grant, Problem> {
        let mut span = Span::start("queue", Some(self.trace));
        let result = match self.attempts {
            _ if std::mem::take(&mut self.is_preempted) => {
                self.pool.acquire_after_preemption(&self.ticket, &self.prefix).await
            }
            0 => self.pool.acquire(self.ticket.clone(), &self.prefix).await,
            _ => self.pool.acquire_for_retry(&self.ticket, &self.prefix, &self.failed).await,
        };
        if let Ok(grant) = &result {
            span.set_attribute("instance", grant.instance.as_str());
        }
        span.end(&self.entry.spans);
        self.attempts += 1;
        // A refusal proves nothing about the attempts before it.
        result.map_err(|problem| match self.has_possibly_run {
            false => problem,
            true => problem.with_execution(Execution::MayHaveRun),
        })
    }

    async fn start_attempt(&mut self) -> Result<(), Problem> {
        let grant = self.acquire().await?;
        let attempt_id = self.entry.generate_id();
        let body = self.make_body(true);
        let span = self.start_span(&grant);
        let traceparent = span.context.to_traceparent();
        let call = self.make_call(&grant, &attempt_id, &body, &traceparent);
        match self.upstreams.stream(call).await {
            Ok(stream) => {
                self.resumed_tokens = self.received_tokens;
                let preemption = self.request.is_resumable.then(|| grant.allow_preemption());
                self.attempt = Some(Attempt { grant, stream, span, preemption });
                Ok(())
            }
            Err(error) => {
                span.end(&self.entry.spans);
                self.take_failure(grant, error).await
            }
        }
    }

    fn start_span(&self, grant: &Grant) -> Span {
        let mut span = Span::start("attempt", Some(self.trace));
        span.set_attribute("instance", grant.instance.as_str());
        span.set_attribute("attempt", self.attempts.to_string());
        span
    }

    fn make_call<'a>(
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

    fn limit_answer_tokens(&self) -> u64 {
        let most = self.routed.policy.answer_token_limit;
        self.request.token_limit.unwrap_or(most).min(most)
    }

    /// The request for the next attempt, going on after the text received so far.
    fn make_body(&self, is_streaming: bool) -> Value {
        let mut fields: Map<String, Value> = self.request.fields.clone();
        let left = self.limit_answer_tokens().saturating_sub(self.received_tokens).max(1);
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), json!(left));
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

    /// Takes a chunk in; returns what a streaming caller gets of it.
    fn take_chunk(&mut self, chunk: Chunk) -> Option<String> {
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
                self.note_first_token();
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
        Some(self.head.write_chunk(chunk, is_first))
    }

    fn finish_stream(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            attempt.span.end(&self.entry.spans);
            self.finish_grant(attempt.grant);
        }
        // Taken from the end.
        self.pending.push(SessionEvent::End);
        if self.request.wants_usage {
            let chunk = self.head.write_usage_chunk(&self.describe_usage());
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

    fn add_usage(&self, is_answered: bool) {
        let Some(key) = &self.usage_key else { return };
        let count = UsageCount {
            answered: u64::from(is_answered),
            failed: u64::from(!is_answered),
            prompt_tokens: self.prompt_tokens(),
            cached_tokens: self.engine_usage.cached_tokens().min(self.prompt_tokens()),
            answer_tokens: self.received_tokens,
            recomputed_tokens: self.recomputed_tokens,
        };
        self.entry.add_usage(key, &count);
    }

    /// Tokens of the caller's own prompt, without the part of the answer that was sent along.
    fn prompt_tokens(&self) -> u64 {
        self.engine_usage.prompt_tokens.saturating_sub(self.resumed_tokens)
    }

    fn describe_usage(&self) -> Value {
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
        // Closes the connection, which cancels the attempt at the engine.
        drop(stream);
        span.set_attribute("error", error.detail.as_str());
        span.end(&self.entry.spans);
        if self.finish_reason.is_some() {
            // All text has come; only the end marker is missing.
            grant.fail(error.kind == AttemptErrorKind::TimedOut);
            self.is_ended = true;
            self.add_usage(true);
            self.finish_stream();
            return Ok(());
        }
        self.take_failure(grant, error).await
    }

    /// Decides whether a failed attempt is tried again.
    async fn take_failure(&mut self, grant: Grant, error: AttemptError) -> Result<(), Problem> {
        let instance = grant.instance.clone();
        log::info!(
            target: "attempt",
            "Request {} attempt {} at {instance} failed: {error}.",
            self.request_id,
            self.attempts,
        );
        metrics::counter!("hickorycourse_attempt_failures_total", "instance" => instance)
            .increment(1);
        self.failed.push(grant.index);
        self.has_possibly_run |= error.execution() != Execution::NotRun;
        if self.resumed_tokens > 0 {
            self.recomputed_tokens += self.engine_usage.computed_prompt_tokens();
        }
        if error.is_request_rejected() {
            grant.finish();
            return Err(self.give_up(&error));
        }
        grant.fail(error.kind == AttemptErrorKind::TimedOut);
        if self.attempts >= self.routed.policy.attempt_limit || !self.may_go_on() {
            return Err(self.give_up(&error));
        }
        self.wait_for_retry(&error).await
    }

    /// An answer that is not one text can only start anew while nothing of it was handed out.
    fn may_go_on(&self) -> bool {
        self.request.is_resumable || !self.is_role_sent
    }

    async fn wait_for_retry(&mut self, error: &AttemptError) -> Result<(), Problem> {
        let site = self.entry.snapshot().site.clone();
        if site.is_some_and(|site| site.retry == RetryKind::AtOnce) {
            return Ok(());
        }
        // A stream that has begun is accepted work: it goes on whatever the budget says.
        let has_begun = self.received_tokens > 0;
        if !has_begun && !self.pool.try_acquire_retry() {
            metrics::counter!("hickorycourse_retries_denied_total").increment(1);
            return Err(self.give_up(error));
        }
        metrics::counter!("hickorycourse_retries_total").increment(1);
        if !has_begun {
            let backoff_ms = draw_backoff_ms(self.attempts as u32, &mut rand::rng());
            sleep(Duration::from_millis(backoff_ms)).await;
        }
        Ok(())
    }

    fn give_up(&mut self, error: &AttemptError) -> Problem {
        self.is_ended = true;
        if self.received_tokens > 0 {
            self.add_usage(false);
        }
        let execution = Execution::after_attempts(self.has_possibly_run);
        let problem = Problem::new(error.code()).with_detail(error.detail.clone());
        let problem = problem.with_execution(execution);
        if error.is_request_rejected() { problem } else { problem.with_retry_after_s(1) }
    }

    fn note_first_token(&self) {
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
    /// A caller that went away in the middle still used what it received.
    fn drop(&mut self) {
        if !self.is_ended && self.received_tokens > 0 {
            self.add_usage(false);
        }
    }
}

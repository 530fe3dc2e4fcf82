//! Stand-in for an inference engine: runs calls concurrently, caches prompt prefixes and streams tokens at a
//! fixed rate.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bpaf::Bpaf;
use futures_util::stream;
use hickorycourse_routing::{PrefixBlocks, PrefixIndex};
use hickorycourse_upstream::{CacheEvents, UpstreamReport};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::chat_request::{BYTES_PER_TOKEN, ChatRequest};
use crate::http::{self, BodyStream, body_interrupted, sleep_ms, sleep_us};
use crate::priority_semaphore::{Permit, PrioritySemaphore};

/// Options of the engine
#[derive(Bpaf, Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 for any free port
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Maximum number of calls that run concurrently; 32 if left out
    #[bpaf(argument("COUNT"), fallback(32))]
    pub concurrency: u64,
    /// Interval in microseconds between two tokens of an answer; 5000 if left out
    #[bpaf(argument("US"), fallback(5_000))]
    pub token_us: u64,
    /// Prefill time in microseconds per uncached prompt token; 100 if left out
    #[bpaf(argument("US"), fallback(100))]
    pub prompt_token_us: u64,
    /// Capacity of the prefix cache in blocks of 64 bytes; 4096 if left out
    #[bpaf(argument("COUNT"), fallback(4_096))]
    pub cache_blocks: usize,
    /// Minimum age in milliseconds of the reported load, once a sample is that old; 200 if left out
    #[bpaf(argument("MS"), fallback(200))]
    pub report_lag_ms: u64,
    /// Accept orders with a stale fencing token
    #[bpaf(switch)]
    pub ignore_fencing: bool,
}

/// Injected faults; they apply until the next `POST /faults`, which replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Never respond to completions and load queries, and stall the streams in progress.
    freeze: bool,
    /// Stall each stream after this number of tokens.
    silent_after_tokens: Option<u64>,
    /// Stall the streams in progress; later ones aren't affected.
    silence_running: bool,
    /// Close the connection of each stream after this number of tokens.
    break_after_tokens: Option<u64>,
    /// End each stream without its end marker after this number of tokens.
    truncate_after_tokens: Option<u64>,
    /// Insert chunks with another answer's id after this number of tokens.
    cross_after_tokens: Option<u64>,
    /// Insert events with invalid JSON after this number of tokens.
    nonsense_after_tokens: Option<u64>,
    /// Factor by which the interval between tokens is multiplied.
    slow_factor: Option<u64>,
    /// Respond to completions with this status.
    status: Option<u16>,
    /// Delay before a completion is queued.
    first_byte_delay_ms: u64,
    /// Omit this number of the next cache events.
    drop_cache_events: u64,
}

#[derive(Clone, Copy)]
struct LoadSample {
    at: Instant,
    running: u64,
    waiting: u64,
}

#[derive(Clone, Copy)]
struct CacheEvent {
    number: u64,
    block: u64,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Stats {
    requests: u64,
    finished: u64,
    cancelled: u64,
    answer_tokens: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    resumed: u64,
    orders_taken: u64,
    orders_refused: u64,
}

struct EngineState {
    faults: Faults,
    /// Number of times that `silence_running` was set; streams that began at a lower value are stalled.
    silence_epoch: u64,
    stats: Stats,
    cache: PrefixIndex,
    cache_events: VecDeque<CacheEvent>,
    next_event: u64,
    load_samples: VecDeque<LoadSample>,
    highest_fencing_token: u64,
}

struct Engine {
    options: EngineOptions,
    semaphore: PrioritySemaphore,
    state: Mutex<EngineState>,
}

type Shared = Arc<Engine>;

const MAX_CACHE_EVENTS: usize = 4_096;
const MAX_LOAD_SAMPLES: usize = 1_024;

/// Runs an engine until the process is stopped.
pub async fn run(options: EngineOptions) -> std::io::Result<()> {
    let address = options.listen;
    let shared: Shared = Arc::new(Engine {
        semaphore: PrioritySemaphore::new(options.concurrency),
        state: Mutex::new(EngineState {
            faults: Faults::default(),
            silence_epoch: 0,
            stats: Stats::default(),
            cache: PrefixIndex::new(options.cache_blocks),
            cache_events: VecDeque::new(),
            next_event: 1,
            load_samples: VecDeque::new(),
            highest_fencing_token: 0,
        }),
        options,
    });
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .route("/v1/chat/completions", web::post().to(complete_chat))
            .route("/load", web::get().to(get_load))
            .route("/orders", web::post().to(handle_order))
            .route("/faults", web::post().to(set_faults))
            .route("/stats", web::get().to(get_stats))
    })
    .workers(2)
    .config(http::server_config())
    .listen(http::listen(address)?)?
    .run()
    .await
}

async fn set_faults(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    match http::read_json::<Faults>(payload).await {
        Ok(faults) => {
            let mut state = shared.state.lock();
            if faults.silence_running {
                state.silence_epoch += 1;
            }
            state.faults = faults;
            HttpResponse::NoContent().finish()
        }
        Err(error_response) => error_response,
    }
}

async fn get_stats(shared: types::State<Shared>) -> HttpResponse {
    let stats = shared.state.lock().stats;
    http::json(&json!({
        "stats": stats,
        "running": shared.semaphore.count_running(),
        "waiting": shared.semaphore.count_waiting(),
    }))
}

#[derive(Deserialize)]
struct LoadQuery {
    #[serde(default)]
    after: u64,
}

async fn get_load(shared: types::State<Shared>, query: types::Query<LoadQuery>) -> HttpResponse {
    if shared.state.lock().faults.freeze {
        std::future::pending::<()>().await;
    }
    let (running, waiting) = (shared.semaphore.count_running(), shared.semaphore.count_waiting());
    let mut state = shared.state.lock();
    let now = Instant::now();
    state.load_samples.push_back(LoadSample { at: now, running, waiting });
    if state.load_samples.len() > MAX_LOAD_SAMPLES {
        state.load_samples.pop_front();
    }
    let lag_ms = u128::from(shared.options.report_lag_ms);
    let old_enough =
        state.load_samples.iter().rev().find(|s| now.duration_since(s.at).as_millis() >= lag_ms);
    let sample = old_enough.or(state.load_samples.front()).copied();
    let (running, waiting, age_ms) = sample.map_or((0, 0, 0), |sample| {
        (sample.running, sample.waiting, now.duration_since(sample.at).as_millis() as u64)
    });
    let cache = list_cache_events(&state, query.after);
    http::json(&UpstreamReport { running, waiting, age_ms, cache })
}

fn list_cache_events(state: &EngineState, after: u64) -> CacheEvents {
    let events: Vec<&CacheEvent> =
        state.cache_events.iter().filter(|event| event.number >= after).collect();
    CacheEvents {
        first: events.first().map_or(state.next_event, |event| event.number),
        next: state.next_event,
        stored: events.iter().map(|event| event.block).collect(),
        removed: Vec::new(),
    }
}

/// An order from the steward: load a model, an adapter or a version, or change role.
#[derive(Deserialize)]
struct Order {
    fencing: u64,
    #[allow(dead_code)]
    #[serde(rename = "wish")]
    desired_state: Value,
}

async fn handle_order(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    let order: Order = match http::read_json(payload).await {
        Ok(order) => order,
        Err(error_response) => return error_response,
    };
    let mut state = shared.state.lock();
    if order.fencing < state.highest_fencing_token && !shared.options.ignore_fencing {
        state.stats.orders_refused += 1;
        return HttpResponse::PreconditionFailed().body("an old fencing number\n");
    }
    state.highest_fencing_token = state.highest_fencing_token.max(order.fencing);
    state.stats.orders_taken += 1;
    HttpResponse::NoContent().finish()
}

async fn complete_chat(
    request: HttpRequest,
    shared: types::State<Shared>,
    payload: types::Payload,
) -> HttpResponse {
    let body: Value = match http::read_json(payload).await {
        Ok(body) => body,
        Err(error_response) => return error_response,
    };
    let Some(call) = ChatRequest::parse(&request, &body) else {
        return HttpResponse::BadRequest().body("no messages\n");
    };
    let shared: Shared = Arc::clone(&shared);
    let faults = shared.state.lock().faults.clone();
    shared.state.lock().stats.requests += 1;
    if faults.freeze {
        std::future::pending::<()>().await;
    }
    if let Some(status) = faults.status {
        let status = ntex::http::StatusCode::from_u16(status).unwrap_or_default();
        return HttpResponse::build(status).body("told to fail\n");
    }
    sleep_ms(faults.first_byte_delay_ms).await;
    let Some(permit) = shared.semaphore.acquire(call.priority).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let cached_tokens = shared.prefill(&call).await;
    let answer = AnswerStream::new(shared, call, cached_tokens, permit);
    if answer.call.is_streaming {
        return HttpResponse::Ok()
            .header("content-type", "text/event-stream")
            .header("cache-control", "no-cache")
            .streaming(answer.into_stream());
    }
    answer.into_response().await
}

impl Engine {
    /// Computes the uncached part of a prompt and adds it to the cache; returns the number of cached tokens.
    async fn prefill(&self, call: &ChatRequest) -> u64 {
        let blocks = PrefixBlocks::from_prompt(call.prompt.as_bytes());
        let prompt_tokens = call.prompt_tokens();
        let cached_tokens = {
            let mut state = self.state.lock();
            let leading = state.cache.count_leading(&blocks);
            let tokens_per_block = hickorycourse_routing::BLOCK_BYTES / BYTES_PER_TOKEN;
            let cached_tokens = ((leading * tokens_per_block) as u64).min(prompt_tokens);
            state.cache.add(blocks.hashes());
            for block in &blocks.hashes()[leading..] {
                state.add_cache_event(*block);
            }
            state.stats.prompt_tokens += prompt_tokens;
            state.stats.cached_tokens += cached_tokens;
            state.stats.resumed += u64::from(call.resumed_tokens > 0);
            cached_tokens
        };
        let compute_us = (prompt_tokens - cached_tokens) * self.options.prompt_token_us;
        sleep_us(compute_us).await;
        cached_tokens
    }
}

impl EngineState {
    fn add_cache_event(&mut self, block: u64) {
        let number = self.next_event;
        self.next_event += 1;
        if self.faults.drop_cache_events > 0 {
            self.faults.drop_cache_events -= 1;
            return;
        }
        self.cache_events.push_back(CacheEvent { number, block });
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }
}

/// An answer being generated. Dropping it before its end counts as a cancelled call.
struct AnswerStream {
    engine: Shared,
    call: ChatRequest,
    cached_tokens: u64,
    next_token_index: u64,
    silence_epoch: u64,
    is_ended: bool,
    queue: VecDeque<Result<Bytes, std::io::Error>>,
    _permit: Permit,
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        match self.is_ended {
            true => state.stats.finished += 1,
            false => state.stats.cancelled += 1,
        }
    }
}

impl AnswerStream {
    fn new(engine: Shared, call: ChatRequest, cached_tokens: u64, permit: Permit) -> Self {
        let silence_epoch = engine.state.lock().silence_epoch;
        Self {
            next_token_index: call.resumed_tokens,
            engine,
            call,
            cached_tokens,
            silence_epoch,
            is_ended: false,
            queue: VecDeque::new(),
            _permit: permit,
        }
    }

    fn into_stream(self) -> BodyStream {
        Box::pin(stream::unfold(self, |mut answer| async move {
            if answer.queue.is_empty() {
                answer.generate_next().await;
            }
            let part = answer.queue.pop_front()?;
            Some((part, answer))
        }))
    }

    async fn generate_next(&mut self) {
        if self.is_ended {
            return;
        }
        let faults = self.engine.state.lock().faults.clone();
        let is_silenced = self.engine.state.lock().silence_epoch > self.silence_epoch;
        let sent_tokens = self.next_token_index - self.call.resumed_tokens;
        let is_reached = |limit: Option<u64>| limit.is_some_and(|limit| sent_tokens >= limit);
        if faults.freeze || is_silenced || is_reached(faults.silent_after_tokens) {
            std::future::pending::<()>().await;
        }
        if is_reached(faults.break_after_tokens) {
            self.queue.push_back(Err(body_interrupted()));
            return;
        }
        if is_reached(faults.truncate_after_tokens) {
            self.is_ended = true;
            return;
        }
        if is_reached(faults.nonsense_after_tokens) {
            self.push_sse_event("{\"nonsense\":");
        }
        if is_reached(faults.cross_after_tokens) {
            let mut chunk = self.chunk(" crossed", Value::Null);
            chunk["id"] = json!("chatcmpl-another-request");
            self.push_sse_event(&chunk.to_string());
        }
        let factor = faults.slow_factor.unwrap_or(1);
        let token_us = self.engine.options.token_us * factor;
        sleep_us(token_us).await;
        self.push_token();
    }

    fn push_token(&mut self) {
        if self.next_token_index >= self.call.total_tokens() {
            self.push_end();
            return;
        }
        let token = self.call.token_at(self.next_token_index);
        self.next_token_index += 1;
        self.engine.state.lock().stats.answer_tokens += 1;
        let chunk = self.chunk(&token, Value::Null).to_string();
        self.push_sse_event(&chunk);
    }

    fn push_end(&mut self) {
        let last = self.chunk("", json!(self.call.finish_reason())).to_string();
        self.push_sse_event(&last);
        if self.call.includes_usage {
            let mut chunk = self.chunk("", Value::Null);
            chunk["choices"] = json!([]);
            chunk["usage"] = self.usage();
            self.push_sse_event(&chunk.to_string());
        }
        self.push_sse_event("[DONE]");
        self.is_ended = true;
    }

    fn push_sse_event(&mut self, data: &str) {
        self.queue.push_back(Ok(Bytes::from(format!("data: {data}\n\n"))));
    }

    fn chunk(&self, text: &str, finish_reason: Value) -> Value {
        let mut chunk = json!({
            "id": self.call.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.call.model,
            "choices": [{
                "index": 0,
                "delta": { "content": text },
                "finish_reason": finish_reason,
            }],
        });
        if self.call.includes_continuous_usage {
            chunk["usage"] = self.usage();
        }
        chunk
    }

    fn usage(&self) -> Value {
        let prompt_tokens = self.call.prompt_tokens();
        let completion_tokens = self.next_token_index - self.call.resumed_tokens;
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }

    async fn into_response(mut self) -> HttpResponse {
        while !self.is_ended {
            self.generate_next().await;
            if self.queue.iter().any(Result::is_err) {
                return HttpResponse::InternalServerError().finish();
            }
        }
        let words = (self.call.resumed_tokens..self.call.total_tokens())
            .map(|index| self.call.token_at(index));
        let text: String = words.collect();
        http::json(&json!({
            "id": self.call.id,
            "object": "chat.completion",
            "created": 0,
            "model": self.call.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": self.call.finish_reason(),
            }],
            "usage": self.usage(),
        }))
    }
}

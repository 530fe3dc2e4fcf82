//! A model engine: batches calls, caches prompt prefixes, streams tokens at a rate.

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

use crate::engine_call::{BYTES_PER_TOKEN, Call};
use crate::gate::{Gate, Place};
use crate::http::{self, BodyStream, broken, pause_ms, pause_us};

/// Options of an engine.
#[derive(Bpaf, Clone, Debug)]
pub struct EngineOptions {
    /// Where to listen
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Calls worked on at once
    #[bpaf(argument("COUNT"), fallback(32))]
    pub concurrency: u64,
    /// Time between two tokens of one answer
    #[bpaf(argument("US"), fallback(5_000))]
    pub token_us: u64,
    /// Time to compute one token of a prompt
    #[bpaf(argument("US"), fallback(100))]
    pub prompt_token_us: u64,
    /// Blocks of 64 bytes that the prefix cache holds
    #[bpaf(argument("COUNT"), fallback(4_096))]
    pub cache_blocks: usize,
    /// Age of the load reports
    #[bpaf(argument("MS"), fallback(200))]
    pub report_lag_ms: u64,
    /// Answer orders with an old fencing number like any other
    #[bpaf(switch)]
    pub ignore_fencing: bool,
}

/// Faults; each holds until it is switched off.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Answer nothing at all, on any connection.
    freeze: bool,
    /// Go silent on each stream after so many tokens.
    silent_after_tokens: Option<u64>,
    /// Go silent on the streams that run now; later ones work.
    silence_running: bool,
    /// Break each stream off after so many tokens.
    break_after_tokens: Option<u64>,
    /// End each stream without its end marker after so many tokens.
    truncate_after_tokens: Option<u64>,
    /// Mix in a chunk of another answer after so many tokens.
    cross_after_tokens: Option<u64>,
    /// Send something that is no chunk after so many tokens.
    nonsense_after_tokens: Option<u64>,
    /// Multiply the time between tokens.
    slow_factor: Option<u64>,
    /// Answer with this status.
    status: Option<u16>,
    /// Wait before the first byte.
    first_byte_delay_ms: u64,
    /// Leave out so many of the next cache events.
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

struct Inner {
    faults: Faults,
    silent_epoch: u64,
    stats: Stats,
    cache: PrefixIndex,
    cache_events: VecDeque<CacheEvent>,
    next_event: u64,
    samples: VecDeque<LoadSample>,
    highest_fencing: u64,
}

struct Engine {
    options: EngineOptions,
    gate: Gate,
    inner: Mutex<Inner>,
}

type Shared = Arc<Engine>;

const CACHE_EVENTS_KEPT: usize = 4_096;
const SAMPLES_KEPT: usize = 1_024;

/// Runs an engine.
pub async fn run(options: EngineOptions) -> std::io::Result<()> {
    let address = options.listen;
    let shared: Shared = Arc::new(Engine {
        gate: Gate::new(options.concurrency),
        inner: Mutex::new(Inner {
            faults: Faults::default(),
            silent_epoch: 0,
            stats: Stats::default(),
            cache: PrefixIndex::new(options.cache_blocks),
            cache_events: VecDeque::new(),
            next_event: 1,
            samples: VecDeque::new(),
            highest_fencing: 0,
        }),
        options,
    });
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/load", web::get().to(get_load))
            .route("/orders", web::post().to(take_order))
            .route("/faults", web::post().to(set_faults))
            .route("/stats", web::get().to(get_stats))
    })
    .workers(2)
    .listen(http::listen(address)?)?
    .run()
    .await
}

async fn set_faults(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    match http::read_json::<Faults>(payload).await {
        Ok(faults) => {
            let mut inner = shared.inner.lock();
            if faults.silence_running {
                inner.silent_epoch += 1;
            }
            inner.faults = faults;
            HttpResponse::NoContent().finish()
        }
        Err(refusal) => refusal,
    }
}

async fn get_stats(shared: types::State<Shared>) -> HttpResponse {
    let stats = shared.inner.lock().stats;
    http::json(&json!({
        "stats": stats,
        "running": shared.gate.count_running(),
        "waiting": shared.gate.count_waiting(),
    }))
}

#[derive(Deserialize)]
struct LoadQuery {
    #[serde(default)]
    after: u64,
}

async fn get_load(shared: types::State<Shared>, query: types::Query<LoadQuery>) -> HttpResponse {
    if shared.inner.lock().faults.freeze {
        std::future::pending::<()>().await;
    }
    let (running, waiting) = (shared.gate.count_running(), shared.gate.count_waiting());
    let mut inner = shared.inner.lock();
    let now = Instant::now();
    inner.samples.push_back(LoadSample { at: now, running, waiting });
    if inner.samples.len() > SAMPLES_KEPT {
        inner.samples.pop_front();
    }
    let lag_ms = u128::from(shared.options.report_lag_ms);
    let old_enough =
        inner.samples.iter().rev().find(|s| now.duration_since(s.at).as_millis() >= lag_ms);
    let sample = old_enough.or(inner.samples.front()).copied();
    let (running, waiting, age_ms) = sample.map_or((0, 0, 0), |sample| {
        (sample.running, sample.waiting, now.duration_since(sample.at).as_millis() as u64)
    });
    let cache = list_cache_events(&inner, query.after);
    http::json(&UpstreamReport { running, waiting, age_ms, cache })
}

fn list_cache_events(inner: &Inner, after: u64) -> CacheEvents {
    let events: Vec<&CacheEvent> =
        inner.cache_events.iter().filter(|event| event.number >= after).collect();
    CacheEvents {
        first: events.first().map_or(inner.next_event, |event| event.number),
        next: inner.next_event,
        stored: events.iter().map(|event| event.block).collect(),
        removed: Vec::new(),
    }
}

/// An order of the steward's: load a model, an adapter or a version, or change role.
#[derive(Deserialize)]
struct Order {
    fencing: u64,
    #[allow(dead_code)]
    wish: Value,
}

async fn take_order(shared: types::State<Shared>, payload: types::Payload) -> HttpResponse {
    let order: Order = match http::read_json(payload).await {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    let mut inner = shared.inner.lock();
    if order.fencing < inner.highest_fencing && !shared.options.ignore_fencing {
        inner.stats.orders_refused += 1;
        return HttpResponse::PreconditionFailed().body("an old fencing number\n");
    }
    inner.highest_fencing = inner.highest_fencing.max(order.fencing);
    inner.stats.orders_taken += 1;
    HttpResponse::NoContent().finish()
}

async fn complete(
    request: HttpRequest,
    shared: types::State<Shared>,
    payload: types::Payload,
) -> HttpResponse {
    let body: Value = match http::read_json(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let Some(call) = Call::read(&request, &body) else {
        return HttpResponse::BadRequest().body("no messages\n");
    };
    let shared: Shared = Arc::clone(&shared);
    let faults = shared.inner.lock().faults.clone();
    shared.inner.lock().stats.requests += 1;
    if faults.freeze {
        std::future::pending::<()>().await;
    }
    if let Some(status) = faults.status {
        let status = ntex::http::StatusCode::from_u16(status).unwrap_or_default();
        return HttpResponse::build(status).body("told to fail\n");
    }
    pause_ms(faults.first_byte_delay_ms).await;
    let Some(place) = shared.gate.enter(call.priority).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let cached_tokens = shared.compute_prompt(&call).await;
    let answer = Answer::new(shared, call, cached_tokens, place);
    if answer.call.is_streaming {
        return HttpResponse::Ok()
            .header("content-type", "text/event-stream")
            .header("cache-control", "no-cache")
            .streaming(answer.into_stream());
    }
    answer.into_whole().await
}

impl Engine {
    /// Computes the part of a prompt that is not cached and caches it; returns the cached tokens.
    async fn compute_prompt(&self, call: &Call) -> u64 {
        let blocks = PrefixBlocks::from_prompt(call.prompt.as_bytes());
        let prompt_tokens = call.prompt_tokens();
        let cached_tokens = {
            let mut inner = self.inner.lock();
            let leading = inner.cache.count_leading(&blocks);
            let tokens_per_block = hickorycourse_routing::BLOCK_BYTES / BYTES_PER_TOKEN;
            let cached_tokens = ((leading * tokens_per_block) as u64).min(prompt_tokens);
            inner.cache.add(blocks.hashes());
            for block in &blocks.hashes()[leading..] {
                inner.add_cache_event(*block);
            }
            inner.stats.prompt_tokens += prompt_tokens;
            inner.stats.cached_tokens += cached_tokens;
            inner.stats.resumed += u64::from(call.resumed_tokens > 0);
            cached_tokens
        };
        let compute_us = (prompt_tokens - cached_tokens) * self.options.prompt_token_us;
        pause_us(compute_us).await;
        cached_tokens
    }
}

impl Inner {
    fn add_cache_event(&mut self, block: u64) {
        let number = self.next_event;
        self.next_event += 1;
        if self.faults.drop_cache_events > 0 {
            self.faults.drop_cache_events -= 1;
            return;
        }
        self.cache_events.push_back(CacheEvent { number, block });
        if self.cache_events.len() > CACHE_EVENTS_KEPT {
            self.cache_events.pop_front();
        }
    }
}

/// An answer on its way. Dropping it before its end counts as cancelled.
struct Answer {
    engine: Shared,
    call: Call,
    cached_tokens: u64,
    place_in_answer: u64,
    silent_epoch: u64,
    is_ended: bool,
    queue: VecDeque<Result<Bytes, std::io::Error>>,
    _place: Place,
}

impl Drop for Answer {
    fn drop(&mut self) {
        let mut inner = self.engine.inner.lock();
        match self.is_ended {
            true => inner.stats.finished += 1,
            false => inner.stats.cancelled += 1,
        }
    }
}

impl Answer {
    fn new(engine: Shared, call: Call, cached_tokens: u64, place: Place) -> Self {
        let silent_epoch = engine.inner.lock().silent_epoch;
        Self {
            place_in_answer: call.resumed_tokens,
            engine,
            call,
            cached_tokens,
            silent_epoch,
            is_ended: false,
            queue: VecDeque::new(),
            _place: place,
        }
    }

    fn into_stream(self) -> BodyStream {
        Box::pin(stream::unfold(self, |mut answer| async move {
            if answer.queue.is_empty() {
                answer.advance().await;
            }
            let part = answer.queue.pop_front()?;
            Some((part, answer))
        }))
    }

    async fn advance(&mut self) {
        if self.is_ended {
            return;
        }
        let faults = self.engine.inner.lock().faults.clone();
        let is_silenced = self.engine.inner.lock().silent_epoch > self.silent_epoch;
        let sent = self.place_in_answer - self.call.resumed_tokens;
        let is_due = |limit: Option<u64>| limit.is_some_and(|limit| sent >= limit);
        if faults.freeze || is_silenced || is_due(faults.silent_after_tokens) {
            std::future::pending::<()>().await;
        }
        if is_due(faults.break_after_tokens) {
            self.queue.push_back(Err(broken()));
            return;
        }
        if is_due(faults.truncate_after_tokens) {
            self.is_ended = true;
            return;
        }
        if is_due(faults.nonsense_after_tokens) {
            self.push_event("{\"nonsense\":");
        }
        if is_due(faults.cross_after_tokens) {
            let mut chunk = self.chunk(" crossed", Value::Null);
            chunk["id"] = json!("chatcmpl-another-request");
            self.push_event(&chunk.to_string());
        }
        let factor = faults.slow_factor.unwrap_or(1);
        let token_us = self.engine.options.token_us * factor;
        pause_us(token_us).await;
        self.push_token();
    }

    fn push_token(&mut self) {
        if self.place_in_answer >= self.call.total_tokens() {
            self.push_end();
            return;
        }
        let token = self.call.token(self.place_in_answer);
        self.place_in_answer += 1;
        self.engine.inner.lock().stats.answer_tokens += 1;
        let chunk = self.chunk(&token, Value::Null).to_string();
        self.push_event(&chunk);
    }

    fn push_end(&mut self) {
        let last = self.chunk("", json!(self.call.finish_reason())).to_string();
        self.push_event(&last);
        if self.call.wants_usage {
            let mut chunk = self.chunk("", Value::Null);
            chunk["choices"] = json!([]);
            chunk["usage"] = self.usage();
            self.push_event(&chunk.to_string());
        }
        self.push_event("[DONE]");
        self.is_ended = true;
    }

    fn push_event(&mut self, data: &str) {
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
        if self.call.wants_continuous_usage {
            chunk["usage"] = self.usage();
        }
        chunk
    }

    fn usage(&self) -> Value {
        let prompt_tokens = self.call.prompt_tokens();
        let completion_tokens = self.place_in_answer - self.call.resumed_tokens;
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }

    async fn into_whole(mut self) -> HttpResponse {
        while !self.is_ended {
            self.advance().await;
            if self.queue.iter().any(Result::is_err) {
                return HttpResponse::InternalServerError().finish();
            }
        }
        let words = (self.call.resumed_tokens..self.call.total_tokens())
            .map(|place| self.call.token(place));
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

//! A simulated engine: prefills prompts one at a time, most urgent first, and decodes answers in a batch.

use std::collections::BTreeMap;

use hickorycourse_placement::PromptPart;

/// Prefill throughput in prompt tokens per millisecond.
pub const PREFILL_TOKENS_PER_MS: f64 = 60.0;
/// Fixed part of the time from the start of a prefill to the first byte.
pub const IDLE_FIRST_BYTE_MS: f64 = 40.0;
/// Requests that an engine runs concurrently, the one in prefill included.
pub const BATCH_SLOTS: u64 = 16;
/// Decode time per answer token on an engine with an empty batch.
pub const DECODE_MS_PER_TOKEN: f64 = 12.0;
/// Prompt tokens that the prefix cache holds; the least recently used part is evicted first.
const CACHE_CAPACITY_TOKENS: u64 = 40_000;

/// A prefill in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prefill {
    /// Index of the request.
    pub request: usize,
    /// End of the prefill, when the first byte is sent.
    pub first_byte_at_ms: u64,
    /// Prompt tokens that were not cached and are computed.
    pub prefilled_tokens: u64,
    /// The part of `prefilled_tokens` that belongs to shared prefixes.
    pub shared_tokens: u64,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Index of the engine's zone.
    pub zone: usize,
    /// False from a crash on.
    pub is_alive: bool,
    /// Requests in the batch: those being decoded and the one in prefill.
    pub running: Vec<usize>,
    /// The request in prefill.
    pub prefilling: Option<usize>,
    /// Queued requests by urgency, then by order of arrival.
    waiting: BTreeMap<(u8, u64), usize>,
    arrivals: u64,
    /// Cached prompt parts by hash: sequence number of the last use, and tokens.
    cache: BTreeMap<u64, (u64, u64)>,
    cache_sequence: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(zone: usize) -> Self {
        Self {
            zone,
            is_alive: true,
            running: Vec::new(),
            prefilling: None,
            waiting: BTreeMap::new(),
            arrivals: 0,
            cache: BTreeMap::new(),
            cache_sequence: 0,
        }
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, request: usize, urgency: u8) {
        self.arrivals += 1;
        self.waiting.insert((urgency, self.arrivals), request);
    }

    /// Removes a request from the queue or the batch.
    pub fn drop_request(&mut self, request: usize) {
        self.waiting.retain(|_, waiting| *waiting != request);
        self.running.retain(|running| *running != request);
        if self.prefilling == Some(request) {
            self.prefilling = None;
        }
    }

    /// Crashes the engine; returns the requests that were running or queued.
    pub fn crash(&mut self) -> Vec<usize> {
        self.is_alive = false;
        self.prefilling = None;
        let mut interrupted = std::mem::take(&mut self.running);
        interrupted.extend(std::mem::take(&mut self.waiting).into_values());
        interrupted
    }

    /// Starts the prefill of the most urgent queued request, if a batch slot is free and none is in prefill.
    pub fn start_prefill<'a>(
        &mut self,
        parts_of: impl Fn(usize) -> &'a [PromptPart],
        now_ms: u64,
    ) -> Option<Prefill> {
        if !self.is_alive || self.prefilling.is_some() || self.running.len() as u64 >= BATCH_SLOTS {
            return None;
        }
        let (_, request) = self.waiting.pop_first()?;
        let parts = parts_of(request);
        let mut prefilled_tokens = 0;
        let mut shared_tokens = 0;
        for (index, part) in parts.iter().enumerate() {
            if !self.touch_cache(part) {
                prefilled_tokens += part.tokens;
                shared_tokens += if index + 1 < parts.len() { part.tokens } else { 0 };
            }
        }
        self.prefilling = Some(request);
        self.running.push(request);
        let prefill_ms = IDLE_FIRST_BYTE_MS + prefilled_tokens as f64 / PREFILL_TOKENS_PER_MS;
        Some(Prefill {
            request,
            first_byte_at_ms: now_ms + prefill_ms as u64,
            prefilled_tokens,
            shared_tokens,
        })
    }

    /// Inserts a part into the cache or marks it as most recently used; false if it was not cached.
    fn touch_cache(&mut self, part: &PromptPart) -> bool {
        self.cache_sequence += 1;
        let is_cached = self.cache.insert(part.hash, (self.cache_sequence, part.tokens)).is_some();
        while self.cache.values().map(|(_, tokens)| tokens).sum::<u64>() > CACHE_CAPACITY_TOKENS {
            let oldest = self.cache.iter().min_by_key(|(_, (last_used, _))| *last_used);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else { break };
            self.cache.remove(&hash);
        }
        is_cached
    }

    /// Time to decode an answer after its first byte; grows by up to half as the batch fills.
    pub fn decode_ms(&self, output_tokens: u64) -> u64 {
        let fill = self.running.len() as f64 / BATCH_SLOTS as f64;
        (output_tokens as f64 * DECODE_MS_PER_TOKEN * (1.0 + 0.5 * fill)) as u64
    }
}

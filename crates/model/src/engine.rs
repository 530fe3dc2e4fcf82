//! A model engine: reads prompts one after the other by rank, answers many at a time.

use std::collections::BTreeMap;

use hickorycourse_placement::PromptPart;

/// Prompt tokens read in a millisecond.
pub const READING_TOKENS_PER_MS: f64 = 60.0;
/// Time to the first byte of an empty prompt.
pub const IDLE_FIRST_BYTE_MS: f64 = 40.0;
/// Answers at a time.
pub const SLOTS: u64 = 16;
/// Time for each token of an answer.
pub const TOKEN_MS: f64 = 12.0;
/// Prompt tokens that the cache holds.
const CACHE_TOKENS: u64 = 40_000;

/// Reading of a prompt that has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The request.
    pub request: usize,
    /// When its first byte is there.
    pub until_ms: u64,
    /// Tokens read.
    pub read_tokens: u64,
    /// Tokens of the shared part that are read again.
    pub shared_tokens: u64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    /// Number of its zone.
    pub zone: usize,
    /// Whether it runs.
    pub is_alive: bool,
    /// Requests that are answered, and the one that is read.
    pub running: Vec<usize>,
    /// The request whose prompt is read.
    pub reading: Option<usize>,
    waiting: BTreeMap<(u8, u64), usize>,
    arrivals: u64,
    cache: BTreeMap<u64, (u64, u64)>,
    uses: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(zone: usize) -> Self {
        Self {
            zone,
            is_alive: true,
            running: Vec::new(),
            reading: None,
            waiting: BTreeMap::new(),
            arrivals: 0,
            cache: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Takes a request.
    pub fn enqueue(&mut self, request: usize, urgency: u8) {
        self.arrivals += 1;
        self.waiting.insert((urgency, self.arrivals), request);
    }

    /// Drops a request, wherever it is.
    pub fn drop_request(&mut self, request: usize) {
        self.waiting.retain(|_, waiting| *waiting != request);
        self.running.retain(|running| *running != request);
        if self.reading == Some(request) {
            self.reading = None;
        }
    }

    /// Ends the engine; lists the requests that break.
    pub fn kill(&mut self) -> Vec<usize> {
        self.is_alive = false;
        self.reading = None;
        let mut broken = std::mem::take(&mut self.running);
        broken.extend(std::mem::take(&mut self.waiting).into_values());
        broken
    }

    /// Begins to read the most urgent prompt if a place is free.
    pub fn start_reading<'a>(
        &mut self,
        parts_of: impl Fn(usize) -> &'a [PromptPart],
        now_ms: u64,
    ) -> Option<Reading> {
        if !self.is_alive || self.reading.is_some() || self.running.len() as u64 >= SLOTS {
            return None;
        }
        let (_, request) = self.waiting.pop_first()?;
        let parts = parts_of(request);
        let mut read_tokens = 0;
        let mut shared_tokens = 0;
        for (index, part) in parts.iter().enumerate() {
            if !self.use_part(part) {
                read_tokens += part.tokens;
                shared_tokens += if index + 1 < parts.len() { part.tokens } else { 0 };
            }
        }
        self.reading = Some(request);
        self.running.push(request);
        let took_ms = IDLE_FIRST_BYTE_MS + read_tokens as f64 / READING_TOKENS_PER_MS;
        Some(Reading { request, until_ms: now_ms + took_ms as u64, read_tokens, shared_tokens })
    }

    /// Marks a part as used just now; false if it has to be read.
    fn use_part(&mut self, part: &PromptPart) -> bool {
        self.uses += 1;
        let is_held = self.cache.insert(part.hash, (self.uses, part.tokens)).is_some();
        while self.cache.values().map(|(_, tokens)| tokens).sum::<u64>() > CACHE_TOKENS {
            let oldest = self.cache.iter().min_by_key(|(_, (used, _))| *used);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else { break };
            self.cache.remove(&hash);
        }
        is_held
    }

    /// Time that an answer takes from its first byte on.
    pub fn answer_ms(&self, output_tokens: u64) -> u64 {
        let fill = self.running.len() as f64 / SLOTS as f64;
        (output_tokens as f64 * TOKEN_MS * (1.0 + 0.5 * fill)) as u64
    }
}

//! Instances, engines and requests.

use std::collections::BTreeSet;
use std::rc::Rc;

use hickorycourse_quarantine::{PartQuarantine, QuarantineDigest, QuarantineOptions, RequestItems};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::workload::Prompt;

/// A digest and the time at which it was made.
pub type MadeDigest = (Rc<QuarantineDigest>, u64);

/// A simulated instance.
pub struct Instance {
    /// Index of its zone.
    pub zone: usize,
    /// Its evidence and verdicts.
    pub quarantine: PartQuarantine,
    /// Requests that it has sent to engines.
    pub in_flight: BTreeSet<usize>,
    /// Its latest digest as a reply to others.
    pub reply: Option<MadeDigest>,
    /// The latest digests of the aggregators of other zones.
    pub zone_digests: Vec<Option<MadeDigest>>,
}

impl Instance {
    /// Creates an instance without evidence.
    pub fn new(zone: usize, zones: usize, options: Option<QuarantineOptions>) -> Self {
        Self {
            zone,
            quarantine: PartQuarantine::new(options.unwrap_or_default()),
            in_flight: BTreeSet::new(),
            reply: None,
            zone_digests: vec![None; zones],
        }
    }
}

/// A simulated engine.
pub struct Engine {
    /// Index of its zone.
    pub zone: usize,
    /// Identifies its present or latest start.
    pub start: u64,
    /// Whether it runs.
    pub is_alive: bool,
    /// Whether it breaks requests but goes on.
    pub is_faulty: bool,
    /// Requests that it reads or answers.
    pub in_flight: BTreeSet<usize>,
}

impl Engine {
    /// Creates an engine that runs.
    pub fn new(zone: usize, rng: &mut ChaCha8Rng) -> Self {
        Self {
            zone,
            start: rng.random(),
            is_alive: true,
            is_faulty: false,
            in_flight: BTreeSet::new(),
        }
    }
}

/// A request and the state of its current attempt.
pub struct Request {
    /// Index of the instance.
    pub instance: usize,
    /// Number of the request, which no other has.
    pub number: u64,
    /// Its prompt.
    pub prompt: Prompt,
    /// Time of its arrival.
    pub arrived_at_ms: u64,
    /// Number of the current attempt; 0 before the first one.
    pub attempt: u32,
    /// Attempts that broke before their answer was well begun.
    pub broken_beginnings: u32,
    /// The engine of the current attempt.
    pub engine: Option<usize>,
    /// The start of this engine.
    pub start: u64,
    /// Time of the first byte of the current attempt.
    pub first_byte_at_ms: Option<u64>,
    /// Whether the answer of the current attempt is well begun.
    pub is_begun: bool,
    /// Whether the first attempt began to be answered.
    pub is_first_attempt_begun: bool,
}

impl Request {
    /// Creates a request that has not been sent.
    pub fn new(number: u64, instance: usize, prompt: Prompt, arrived_at_ms: u64) -> Self {
        Self {
            number,
            instance,
            prompt,
            arrived_at_ms,
            attempt: 0,
            broken_beginnings: 0,
            engine: None,
            start: 0,
            first_byte_at_ms: None,
            is_begun: false,
            is_first_attempt_begun: false,
        }
    }

    /// Hash of the whole request.
    pub fn request_hash(&self) -> u64 {
        self.prompt.request.unwrap_or_else(|| xxh3_64(&self.number.to_le_bytes()))
    }

    /// What the quarantine looks at.
    pub fn items(&self) -> RequestItems<'_> {
        RequestItems { request: Some(self.request_hash()), parts: &self.prompt.parts }
    }
}

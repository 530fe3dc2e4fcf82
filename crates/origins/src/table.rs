//! Origins of recent streams.
//!
//! Load pattern: a fleet begins up to hundreds of thousands of streams a second, and a few in a thousand are
//! taken up again, seconds later, at any instance. The origin of each is therefore kept at a few instances,
//! for as long as a stream and its caller's return can take.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Time after which the origin of a stream is forgotten.
const RETENTION_MS: u64 = 60_000;
/// Longest name of a service or version.
const MAX_NAME_BYTES: usize = 256;
/// Origins that are kept; the oldest ones are forgotten first.
const MAX_ORIGINS: usize = 65_536;
/// Streams without a known origin that are kept; the oldest ones are forgotten first.
const MAX_BEGINNINGS: usize = 4_096;

/// Identifies a stream at all instances: the organisation of its caller, and the request that began it. Ids
/// are chosen by callers, so the same id of two organisations names two streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamKey(u64, u64);

impl StreamKey {
    /// Creates the key of the stream that this request began.
    pub fn new(organisation: Option<&str>, request_id: &str) -> Self {
        let mut hasher = Xxh3::new();
        for part in [organisation.unwrap_or_default(), request_id] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&[u8::from(organisation.is_some())]);
        let hash = hasher.digest128();
        Self((hash >> 64) as u64, hash as u64)
    }

    /// Seed for the choice of holders.
    pub(crate) fn seed(self) -> u64 {
        self.0
    }
}

/// What began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The service.
    #[serde(rename = "s")]
    pub service: String,
    /// Version of its software.
    #[serde(rename = "v")]
    pub version: String,
}

/// Where a stream began, while the version of that start is not known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamBeginning {
    /// The service.
    #[serde(rename = "s")]
    pub service: String,
    /// Id of the upstream.
    #[serde(rename = "u")]
    pub upstream: String,
    /// Wall-clock time of its start, in milliseconds since the Unix epoch; `None` if the upstream does not report it.
    #[serde(rename = "b")]
    pub started_at_ms: Option<u64>,
    /// For an upstream that does not report its start: that of the latest start that was listed before the stream's
    /// connection was dialled, in milliseconds since the Unix epoch. It began the stream if it has run since.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub presumed_start_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// `None` if two origins have been recorded: the id was used twice.
    origin: Option<StreamOrigin>,
    recorded_at_ms: u64,
}

/// Origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// Keys in the order of their recording, with its time.
    recorded: VecDeque<(u64, StreamKey)>,
    /// Streams whose origin is not known yet, in the order of their recording.
    beginnings: VecDeque<(u64, StreamKey, StreamBeginning)>,
}

impl StreamBeginning {
    /// Returns whether the names are of a length that is believed.
    pub fn is_valid(&self) -> bool {
        self.service.len() <= MAX_NAME_BYTES && self.upstream.len() <= MAX_NAME_BYTES
    }
}

impl StreamOrigin {
    /// Returns whether the names are of a length that is believed.
    pub fn is_valid(&self) -> bool {
        self.service.len() <= MAX_NAME_BYTES && self.version.len() <= MAX_NAME_BYTES
    }
}

impl OriginTable {
    /// Records the origin of a stream, which has begun or goes on. A stream with two different origins has
    /// none that is known.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, now_ms: u64) {
        self.expire(now_ms);
        let entry = self
            .entries
            .entry(key)
            .or_insert_with(|| Entry { origin: Some(origin.clone()), recorded_at_ms: now_ms });
        if entry.origin.as_ref() != Some(&origin) {
            entry.origin = None;
        }
        entry.recorded_at_ms = now_ms;
        self.recorded.push_back((now_ms, key));
        while self.recorded.len() > MAX_ORIGINS {
            self.forget_oldest();
        }
    }

    /// Records where a stream began whose origin is not known yet.
    pub fn record_beginning(&mut self, key: StreamKey, beginning: StreamBeginning, now_ms: u64) {
        if self.beginnings.len() == MAX_BEGINNINGS {
            self.beginnings.pop_front();
        }
        self.beginnings.push_back((now_ms, key, beginning));
    }

    /// Records where streams began, as the store holds it. Those that are known are not renewed, as the store is read
    /// again and again.
    pub fn learn_beginnings<'a>(
        &mut self,
        beginnings: impl Iterator<Item = (StreamKey, &'a StreamBeginning)>,
        now_ms: u64,
    ) {
        let known: HashSet<StreamKey> = self.beginnings.iter().map(|(_, key, _)| *key).collect();
        for (key, beginning) in beginnings.filter(|(key, _)| !known.contains(key)) {
            self.record_beginning(key, beginning.clone(), now_ms);
        }
    }

    /// Returns where a stream began whose origin is not known.
    pub fn find_beginning(&self, key: StreamKey) -> Option<&StreamBeginning> {
        let found = self.beginnings.iter().rev().find(|(_, known, _)| *known == key);
        found.filter(|_| !self.entries.contains_key(&key)).map(|(_, _, beginning)| beginning)
    }

    /// Returns when the beginning of a stream became known here, after the stream had begun.
    pub fn beginning_known_at_ms(&self, key: StreamKey) -> Option<u64> {
        let found = self.beginnings.iter().rev().find(|(_, known, _)| *known == key);
        found.map(|(recorded_at_ms, _, _)| *recorded_at_ms)
    }

    /// Records an origin that the store holds. Unlike [`record`](Self::record), it doesn't renew one that is
    /// known, as the store is read again and again.
    pub fn learn(&mut self, key: StreamKey, origin: &StreamOrigin, now_ms: u64) {
        match self.entries.get_mut(&key) {
            Some(entry) if entry.origin.as_ref() == Some(origin) => {}
            Some(entry) => entry.origin = None,
            None => self.record(key, origin.clone(), now_ms),
        }
    }

    /// Returns the origin of a stream; `None` if it is not known.
    pub fn find(&self, key: StreamKey, now_ms: u64) -> Option<&StreamOrigin> {
        let entry = self.entries.get(&key)?;
        let is_recent = now_ms.saturating_sub(entry.recorded_at_ms) < RETENTION_MS;
        entry.origin.as_ref().filter(|_| is_recent)
    }

    /// Forgets the origins of streams that have ended by now.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some((recorded_at_ms, _)) = self.recorded.front()
            && now_ms.saturating_sub(*recorded_at_ms) >= RETENTION_MS
        {
            self.forget_oldest();
        }
        while let Some((recorded_at_ms, _, _)) = self.beginnings.front()
            && now_ms.saturating_sub(*recorded_at_ms) >= RETENTION_MS
        {
            self.beginnings.pop_front();
        }
    }

    /// Number of origins.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget_oldest(&mut self) {
        let Some((recorded_at_ms, key)) = self.recorded.pop_front() else { return };
        // One that was recorded again stays.
        if self.entries.get(&key).is_some_and(|entry| entry.recorded_at_ms == recorded_at_ms) {
            self.entries.remove(&key);
        }
    }
}

//! Beginnings of the streams of this instance whose origins are not known yet, as they are written to the platform's
//! store.

use std::collections::VecDeque;

use crate::{BeginningSegment, StreamBeginning, StreamKey};

/// Streams that are kept; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 1_024;

#[derive(Clone, Debug)]
struct BegunStream {
    key: StreamKey,
    beginning: StreamBeginning,
    expires_at_ms: u64,
}

/// Where streams of this instance began whose origins are not known yet. All are written together: they begin within moments
/// of a start, or between two heartbeats of an upstream that does not report its start.
#[derive(Clone, Debug, Default)]
pub struct BeginningJournal {
    streams: VecDeque<BegunStream>,
    /// Whether the store may not hold them.
    is_unwritten: bool,
}

impl BeginningJournal {
    /// Records where a stream began that can be taken up again until `expires_at_ms`.
    pub fn record(&mut self, key: StreamKey, beginning: StreamBeginning, expires_at_ms: u64) {
        if self.streams.len() == MAX_STREAMS {
            self.streams.pop_front();
        }
        self.streams.push_back(BegunStream { key, beginning, expires_at_ms });
        self.is_unwritten = true;
    }

    /// Returns what to write to the store; `None` if it holds all.
    pub fn next_write(&mut self, now_ms: u64) -> Option<BeginningSegment> {
        self.streams.retain(|stream| stream.expires_at_ms > now_ms);
        if !std::mem::replace(&mut self.is_unwritten, false) || self.streams.is_empty() {
            return None;
        }
        let mut segment = BeginningSegment::default();
        for stream in &self.streams {
            match segment.0.iter_mut().find(|(known, _)| *known == stream.beginning) {
                Some((_, keys)) => keys.push(stream.key),
                None => segment.0.push((stream.beginning.clone(), vec![stream.key])),
            }
        }
        Some(segment)
    }

    /// Records that the latest write has failed, or that the store has lost it.
    pub fn record_lost(&mut self) {
        self.is_unwritten = true;
    }
}

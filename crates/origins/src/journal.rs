//! Origins of the streams that this instance has begun, as they are written to the platform's store.
//!
//! Load pattern: all instances are killed while two versions of a service are listed, and callers take
//! their streams up again. Origins are written in batches: a segment is rewritten with each batch until it is
//! full or old, so that neither the keys in the store nor the bytes of a write grow with the number of batches.

use std::collections::VecDeque;

use crate::{OriginSegment, StreamKey, StreamOrigin};

/// Shortest interval between two writes of an instance.
const MIN_WRITE_INTERVAL_MS: u64 = 250;
/// Writes a second of all instances, as the store's rate is shared.
const MAX_FLEET_WRITES_PER_S: u64 = 2_000;
/// Origins after which a segment is not rewritten again.
const MAX_SEGMENT_ORIGINS: usize = 256;
/// Age after which a segment is not rewritten again.
const MAX_SEGMENT_AGE_MS: u64 = 10_000;
/// Streams that are kept; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 16_384;

/// Returns the shortest interval between two writes of an instance, in a fleet of this size.
pub fn write_interval_ms(instances: usize) -> u64 {
    MIN_WRITE_INTERVAL_MS.max(instances as u64 * 1_000 / MAX_FLEET_WRITES_PER_S)
}

/// A write to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// Number of the segment, which is part of its key.
    pub sequence: u64,
    /// Revision of its latest write; 0 before the first one.
    pub revision: u64,
    /// What it holds from now on.
    pub segment: OriginSegment,
}

#[derive(Clone, Debug)]
struct LiveStream {
    key: StreamKey,
    origin: StreamOrigin,
    expires_at_ms: u64,
    is_written: bool,
}

/// Origins of the streams that this instance has begun.
#[derive(Clone, Debug, Default)]
pub struct OriginJournal {
    streams: VecDeque<LiveStream>,
    sequence: u64,
    revision: u64,
    opened_at_ms: Option<u64>,
    segment: Vec<(StreamKey, StreamOrigin)>,
}

impl OriginJournal {
    /// Records a stream that this instance has begun or goes on with, and that can be taken up again until
    /// `expires_at_ms`.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, expires_at_ms: u64) {
        self.streams.push_back(LiveStream { key, origin, expires_at_ms, is_written: false });
        if self.streams.len() > MAX_STREAMS {
            self.streams.pop_front();
        }
    }

    /// Returns the next write; `None` if there is nothing to write. Only services for which `is_needed` returns
    /// true are written.
    pub fn next_write(
        &mut self,
        now_ms: u64,
        is_needed: impl Fn(&str) -> bool,
    ) -> Option<SegmentWrite> {
        self.streams.retain(|stream| stream.expires_at_ms > now_ms);
        let unwritten = self
            .streams
            .iter_mut()
            .filter(|stream| !stream.is_written && is_needed(&stream.origin.service));
        let mut added = 0;
        for stream in unwritten {
            stream.is_written = true;
            self.segment.push((stream.key, stream.origin.clone()));
            added += 1;
        }
        if added == 0 {
            return None;
        }
        self.opened_at_ms.get_or_insert(now_ms);
        let mut segment = OriginSegment::default();
        for (key, origin) in &self.segment {
            match segment.0.iter_mut().find(|(known, _)| known == origin) {
                Some((_, keys)) => keys.push(*key),
                None => segment.0.push((origin.clone(), vec![*key])),
            }
        }
        Some(SegmentWrite { sequence: self.sequence, revision: self.revision, segment })
    }

    /// Records that the latest write has succeeded.
    pub fn record_written(&mut self, revision: u64, now_ms: u64) {
        self.revision = revision;
        let is_old = self.opened_at_ms.is_some_and(|at_ms| now_ms >= at_ms + MAX_SEGMENT_AGE_MS);
        if is_old || self.segment.len() >= MAX_SEGMENT_ORIGINS {
            self.begin_segment();
        }
    }

    /// Records that the latest write has failed, or may have. What the segment holds is written again under
    /// another key.
    pub fn record_failed(&mut self) {
        self.rewrite(|stream, segment| segment.iter().any(|(key, _)| *key == stream.key));
    }

    /// Records that the store has lost what was written.
    pub fn record_lost(&mut self) {
        self.rewrite(|_, _| true);
    }

    fn rewrite(&mut self, is_lost: impl Fn(&LiveStream, &[(StreamKey, StreamOrigin)]) -> bool) {
        for stream in &mut self.streams {
            stream.is_written &= !is_lost(stream, &self.segment);
        }
        self.begin_segment();
    }

    fn begin_segment(&mut self) {
        self.segment.clear();
        self.sequence += 1;
        self.revision = 0;
        self.opened_at_ms = None;
    }
}

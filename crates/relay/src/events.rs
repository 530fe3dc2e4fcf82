//! Splitting of a stream into complete events (the event stream format of the HTML standard,
//! section 9.2).

/// Largest event that is buffered; bytes without an event's end may come without limit.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event that exceeds the limit; its stream must not be read on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event exceeds the limit of {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Splits the bytes of a stream into complete events and drops events that were received before. An
/// incomplete event is buffered until its rest arrives, so that a stream that resumes at another
/// upstream never joins parts of two runs.
#[derive(Clone, Debug, Default)]
pub struct EventTracker {
    partial: Vec<u8>,
    /// Length of the part of `partial` that is known not to contain the end of an event.
    scanned: usize,
    last_id: Option<u64>,
}

impl EventTracker {
    /// Creates a tracker for a stream that resumes after the event with this id.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { partial: Vec::new(), scanned: 0, last_id }
    }

    /// Appends bytes; returns the complete new events, byte for byte.
    ///
    /// # Errors
    /// The incomplete event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLarge> {
        self.partial.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_event_end(&self.partial[start..], self.scanned) {
            self.scanned = 0;
            let event = &self.partial[start..start + length];
            let id = read_id(event);
            let is_repeated = matches!((id, self.last_id), (Some(id), Some(last)) if id <= last);
            if !is_repeated {
                events.extend_from_slice(event);
                self.last_id = id.or(self.last_id);
            }
            start += length;
        }
        self.partial.drain(..start);
        // The start of the last line is scanned again, as it may continue to a blank line.
        let last_line = self.partial.iter().rposition(|byte| *byte == b'\n');
        self.scanned = last_line.map_or(0, |index| index + 1);
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLarge),
            false => Ok(events),
        }
    }

    /// Discards an incomplete event whose rest will not arrive.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the id of the last event that [`push`](Self::push) returned, or else of the event
    /// after which the stream was resumed; `None` without either.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the length of the first event, including the blank line that ends it. The search begins at
/// the start of the line at `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut line_start = from;
    for (index, byte) in bytes.iter().enumerate().skip(from) {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn read_id(event: &[u8]) -> Option<u64> {
    let value = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

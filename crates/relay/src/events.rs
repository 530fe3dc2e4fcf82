//! Splitting of a stream into complete events (the event stream format of the HTML standard,
//! section 9.2).

/// Largest event that is buffered; bytes without an event's end may come without limit.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event that must not be passed on; its stream must not be read on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EventError {
    /// It exceeds the limit.
    #[error("an event exceeds the limit of {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The first event of a resumed stream is not the next one.
    #[error("the resumed stream begins with event {found:?} after event {last}")]
    NotNext {
        /// The last event before.
        last: u64,
        /// The id of this one, if it has one.
        found: Option<u64>,
    },
}

/// May precede the first event of a response, and only that one.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Consecutive ids after which the next one is expected to be consecutive, too.
const MIN_CONSECUTIVE: u64 = 2;

/// Begins the status line of a response, which is no line of an event.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Splits the bytes of a stream into complete events and drops events that were received before. An
/// incomplete event is buffered until its rest arrives, so that a stream that resumes at another
/// upstream never joins parts of two runs.
#[derive(Clone, Debug)]
pub struct EventTracker {
    partial: Vec<u8>,
    /// Length of the part of `partial` that is known not to contain the end of an event.
    scanned: usize,
    /// Start of the last line in that part.
    line_start: usize,
    /// Whether the line before it ends with a carriage return alone.
    has_bare_return: bool,
    /// Whether nothing of the present upstream's stream has been split off.
    is_at_start: bool,
    /// Whether anything has been returned, so that a byte order mark would stand within the caller's stream.
    has_returned: bool,
    last_id: Option<u64>,
    /// Ids known of the stream: those of the events passed on, and the one after which the caller resumes.
    known_ids: u64,
    /// Whether each of them is the next number.
    is_consecutive: bool,
    /// Whether the next event is the first one after a resumption.
    is_resuming: bool,
    /// Whether another response has followed the events of the present upstream.
    has_other_response: bool,
    /// Events that have been returned.
    returned_events: u64,
}

impl Default for EventTracker {
    fn default() -> Self {
        Self {
            partial: Vec::new(),
            scanned: 0,
            line_start: 0,
            has_bare_return: false,
            is_at_start: true,
            has_returned: false,
            last_id: None,
            known_ids: 0,
            is_consecutive: false,
            is_resuming: false,
            has_other_response: false,
            returned_events: 0,
        }
    }
}

impl EventTracker {
    /// Creates a tracker for a stream that its caller resumes after the event with this id; without one, for a stream
    /// that begins. The first event is checked as after [`expect_next`](Self::expect_next), except that one id does
    /// not tell whether ids are consecutive.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        let is_resuming = last_id.is_some();
        Self {
            last_id,
            known_ids: u64::from(is_resuming),
            is_consecutive: is_resuming,
            is_resuming,
            ..Self::default()
        }
    }

    /// Expects that the stream goes on, at another upstream, with the event after the last one. An error
    /// document, a missing event and one that was passed on before are not that event.
    pub fn expect_next(&mut self) {
        self.drop_partial();
        self.is_resuming = true;
    }

    fn check_resumed(&self, event: &[u8], id: Option<u64>) -> Result<(), EventError> {
        let Some(last) = self.last_id.filter(|_| self.is_resuming && !is_eventless(event)) else {
            return Ok(());
        };
        // Ids rise; whether by one is seen from those that are known.
        let must_be_consecutive = self.is_consecutive && self.known_ids >= MIN_CONSECUTIVE;
        let is_next = id.is_some_and(|id| match must_be_consecutive {
            true => Some(id) == last.checked_add(1),
            false => id > last,
        });
        if is_next { Ok(()) } else { Err(EventError::NotNext { last, found: id }) }
    }

    fn record(&mut self, id: Option<u64>) {
        let Some(id) = id else { return };
        let is_next = self.last_id.is_none_or(|last| Some(id) == last.checked_add(1));
        self.is_consecutive = is_next && (self.known_ids == 0 || self.is_consecutive);
        self.known_ids += 1;
        self.last_id = Some(id);
        self.is_resuming = false;
    }

    /// Appends bytes; returns the complete new events, byte for byte. A byte order mark is dropped where another
    /// upstream goes on, as the format allows one only before the first event.
    ///
    /// # Errors
    /// The incomplete event exceeds the limit, or a resumed stream does not go on with the next event. Complete events
    /// that come before one that is too large are returned first.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.push_of(bytes, true)
    }

    /// As [`push`](Self::push), for a response without framing: a status line begins another response. Its bytes are dropped
    /// with those of an event that it cuts.
    ///
    /// # Errors
    /// The same.
    pub fn push_unframed(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.push_of(bytes, false)
    }

    fn push_of(&mut self, bytes: &[u8], is_framed: bool) -> Result<Vec<u8>, EventError> {
        if self.has_other_response {
            return Ok(Vec::new());
        }
        self.partial.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.find_event_end(start) {
            let block = &self.partial[start..start + length];
            // The event before it may have been cut.
            let mut lines = block.split(|byte| matches!(byte, b'\n' | b'\r'));
            if !is_framed && lines.any(|line| line.starts_with(STATUS_LINE)) {
                self.drop_partial();
                self.has_other_response = true;
                return Ok(events);
            }
            let is_at_start = std::mem::take(&mut self.is_at_start);
            let event = match block.strip_prefix(BYTE_ORDER_MARK) {
                Some(event) if is_at_start => event,
                _ => block,
            };
            let id = read_id(event);
            self.check_resumed(event, id)?;
            let is_repeated = matches!((id, self.last_id), (Some(id), Some(last)) if id <= last);
            if !is_repeated {
                events.extend_from_slice(if self.has_returned { event } else { block });
                self.has_returned = true;
                self.returned_events += u64::from(!event.starts_with(b":"));
                self.record(id);
            }
            start += length;
        }
        self.partial.drain(..start);
        self.scanned -= start;
        self.line_start -= start;
        match self.partial.len() > MAX_EVENT_BYTES && events.is_empty() {
            true => Err(EventError::TooLarge),
            false => Ok(events),
        }
    }

    /// Discards an incomplete event whose rest will not arrive.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.line_start = 0;
        self.has_bare_return = false;
        self.is_at_start = true;
        self.has_other_response = false;
    }

    /// Returns the length of the event that begins at `start`, including the blank line that ends it. A line ends
    /// with a line feed, a carriage return or both. Each byte is looked at once, however many parts an event arrives
    /// in.
    fn find_event_end(&mut self, start: usize) -> Option<usize> {
        while let Some(length) =
            self.partial[self.scanned..].iter().position(|byte| is_line_end(*byte))
        {
            self.scanned += length;
            let is_blank = self.scanned == self.line_start;
            let is_return = self.partial[self.scanned] == b'\r';
            let next = self.partial.get(self.scanned + 1);
            // The line feed of the same line may yet arrive, unless the lines of the stream have none.
            if is_return && next.is_none() && !(is_blank && self.has_bare_return) {
                return None;
            }
            let has_both = is_return && next == Some(&b'\n');
            self.has_bare_return = is_return && !has_both;
            self.scanned += if has_both { 2 } else { 1 };
            self.line_start = self.scanned;
            if is_blank {
                return Some(self.scanned - start);
            }
        }
        self.scanned = self.partial.len();
        None
    }

    /// Returns the number of events that were returned; comments are none.
    pub fn returned_events(&self) -> u64 {
        self.returned_events
    }

    /// Returns whether the first event after a resumption has yet to come.
    pub fn is_resuming(&self) -> bool {
        self.is_resuming
    }

    /// Returns whether another response has followed the events, so that the stream can't be read on.
    pub fn has_other_response(&self) -> bool {
        self.has_other_response
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

/// Returns whether a block only has comments, as upstreams send to keep a connection open, or a time to reconnect.
fn is_eventless(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| is_line_end(*byte));
    let is_eventless =
        |line: &[u8]| line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:");
    lines.all(is_eventless) && block.contains(&b':')
}

/// Returns the id of an event; the last one applies.
fn read_id(event: &[u8]) -> Option<u64> {
    let lines = event.rsplit(|byte| is_line_end(*byte));
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

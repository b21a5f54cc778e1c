//! Server-sent events: counting them, and cutting a byte stream at their boundaries.

use bytes::{Bytes, BytesMut};

const DONE_LINE: &[u8] = b"data:[DONE]";
const DONE_LINE_SPACED: &[u8] = b"data: [DONE]";
const DATA_FIELD: &[u8] = b"data:";
const KEPT_LINE_BYTES: usize = 13;

/// Counts the events of a stream whose bytes arrive in pieces of any size.
///
/// An event is a block with at least one `data` line that a blank line ends. The block
/// `data: [DONE]` ends the stream and is not counted.
///
/// ```
/// use catkin_base::EventCounter;
///
/// let mut counter = EventCounter::default();
/// counter.observe(b"data: 1\n\ndata: [DO");
/// counter.observe(b"NE]\n\n");
/// assert_eq!(counter.events(), 1);
/// assert!(counter.is_done());
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventCounter {
    events: u64,
    done: bool,
    line: LineStart,
    after_return: bool,
    in_block: bool,
    has_data: bool,
    has_done: bool,
}

impl EventCounter {
    /// Reads the next bytes. Returns the length of the part of them that ends with a block's end;
    /// bytes after the end of the stream are not read.
    pub fn observe(&mut self, bytes: &[u8]) -> usize {
        let mut boundary = 0;
        for (index, byte) in bytes.iter().enumerate() {
            if self.done {
                break;
            }
            if self.read_byte(*byte) {
                boundary = index + 1;
            }
        }
        boundary
    }

    /// Whole events so far, the end of the stream left out.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the end of the stream was seen.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn read_byte(&mut self, byte: u8) -> bool {
        let ends_pair = self.after_return && byte == b'\n';
        self.after_return = byte == b'\r';
        if ends_pair {
            return !self.in_block;
        }
        if byte != b'\n' && byte != b'\r' {
            self.line.push(byte);
            return false;
        }
        self.end_line()
    }

    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        if line.length == 0 {
            self.end_block();
            return true;
        }
        self.in_block = true;
        self.has_data |= line.starts_with(DATA_FIELD);
        self.has_done |= line.equals(DONE_LINE) || line.equals(DONE_LINE_SPACED);
        false
    }

    fn end_block(&mut self) {
        if self.has_done {
            self.done = true;
        } else if self.has_data {
            self.events += 1;
        }
        self.in_block = false;
        self.has_data = false;
        self.has_done = false;
    }
}

/// The first bytes of a line, and its length.
#[derive(Debug, Clone, Default)]
struct LineStart {
    kept: [u8; KEPT_LINE_BYTES],
    length: usize,
}

impl LineStart {
    fn push(&mut self, byte: u8) {
        if let Some(place) = self.kept.get_mut(self.length) {
            *place = byte;
        }
        self.length = self.length.saturating_add(1);
    }

    fn starts_with(&self, prefix: &[u8]) -> bool {
        self.length >= prefix.len() && self.kept.starts_with(prefix)
    }

    fn equals(&self, line: &[u8]) -> bool {
        self.length == line.len() && self.kept.starts_with(line)
    }
}

/// An event was longer than the scanner may keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {limit_bytes} bytes")]
pub struct EventTooLong {
    /// The limit.
    pub limit_bytes: usize,
}

/// Cuts a byte stream so that only whole events are passed on.
#[derive(Debug)]
pub struct SseScanner {
    counter: EventCounter,
    pending: BytesMut,
    limit_bytes: usize,
}

impl SseScanner {
    /// A scanner that keeps at most `limit_bytes` of an unfinished event.
    pub fn new(limit_bytes: usize) -> Self {
        Self { counter: EventCounter::default(), pending: BytesMut::new(), limit_bytes }
    }

    /// Takes the next bytes and returns all events that are now whole, if any.
    pub fn push(&mut self, mut bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let boundary = self.counter.observe(&bytes);
        let whole = bytes.split_to(boundary);
        let whole = self.join_pending(whole);
        if !self.counter.is_done() {
            self.keep(&bytes)?;
        }
        Ok((!whole.is_empty()).then_some(whole))
    }

    /// Whole events so far, the end of the stream left out.
    pub fn events(&self) -> u64 {
        self.counter.events()
    }

    /// Whether the end of the stream was seen.
    pub fn is_done(&self) -> bool {
        self.counter.is_done()
    }

    fn join_pending(&mut self, whole: Bytes) -> Bytes {
        if whole.is_empty() || self.pending.is_empty() {
            return whole;
        }
        self.pending.extend_from_slice(&whole);
        self.pending.split().freeze()
    }

    fn keep(&mut self, rest: &[u8]) -> Result<(), EventTooLong> {
        if self.pending.len() + rest.len() > self.limit_bytes {
            return Err(EventTooLong { limit_bytes: self.limit_bytes });
        }
        self.pending.extend_from_slice(rest);
        Ok(())
    }
}

//! Counts server-sent events and splits a byte stream at their boundaries.

use bytes::{Bytes, BytesMut};

const DONE_LINE: &[u8] = b"data:[DONE]";
const DONE_LINE_SPACED: &[u8] = b"data: [DONE]";
const DATA_FIELD: &[u8] = b"data:";
/// Length of the longest line that is compared, `data: [DONE]`.
const LINE_PREFIX_BYTES: usize = 13;

/// Counts the events of a stream whose bytes arrive in chunks of any size.
///
/// An event is a block of lines that contains a `data` line and is terminated by a blank line. The
/// block `data: [DONE]` ends the stream and is not counted.
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
    line: LinePrefix,
    after_carriage_return: bool,
    in_event: bool,
    has_data: bool,
    has_done: bool,
}

impl EventCounter {
    /// Reads the next bytes, up to the end of the stream. Returns the length of their longest
    /// prefix that ends with a complete block.
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

    /// Returns the number of complete events so far, without the end of the stream.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the end of the stream was read.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn read_byte(&mut self, byte: u8) -> bool {
        let completes_crlf = self.after_carriage_return && byte == b'\n';
        self.after_carriage_return = byte == b'\r';
        if completes_crlf {
            return !self.in_event;
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
            self.end_event();
            return true;
        }
        self.in_event = true;
        self.has_data |= line.starts_with(DATA_FIELD);
        self.has_done |= line.equals(DONE_LINE) || line.equals(DONE_LINE_SPACED);
        false
    }

    fn end_event(&mut self) {
        if self.has_done {
            self.done = true;
        } else if self.has_data {
            self.events += 1;
        }
        self.in_event = false;
        self.has_data = false;
        self.has_done = false;
    }
}

/// The first bytes of a line, and the length of the line.
#[derive(Debug, Clone, Default)]
struct LinePrefix {
    bytes: [u8; LINE_PREFIX_BYTES],
    length: usize,
}

impl LinePrefix {
    fn push(&mut self, byte: u8) {
        if let Some(target) = self.bytes.get_mut(self.length) {
            *target = byte;
        }
        self.length = self.length.saturating_add(1);
    }

    fn starts_with(&self, prefix: &[u8]) -> bool {
        self.length >= prefix.len() && self.bytes.starts_with(prefix)
    }

    fn equals(&self, line: &[u8]) -> bool {
        self.length == line.len() && self.bytes.starts_with(line)
    }
}

/// An incomplete event is longer than the scanner may buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {limit_bytes} bytes")]
pub struct EventTooLong {
    /// Maximum size of an incomplete event, in bytes.
    pub limit_bytes: usize,
}

/// Splits a byte stream so that only complete events are passed on.
#[derive(Debug)]
pub struct SseScanner {
    counter: EventCounter,
    pending: BytesMut,
    limit_bytes: usize,
}

impl SseScanner {
    /// Creates a scanner that buffers at most `limit_bytes` of an incomplete event.
    pub fn new(limit_bytes: usize) -> Self {
        Self { counter: EventCounter::default(), pending: BytesMut::new(), limit_bytes }
    }

    /// Reads the next bytes and returns all events that are now complete, if any.
    ///
    /// Fails if an incomplete event is longer than the limit. Bytes after the end of the stream are
    /// dropped.
    pub fn push(&mut self, mut bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let boundary = self.counter.observe(&bytes);
        let complete = bytes.split_to(boundary);
        let complete = self.prepend_pending(complete);
        if !self.counter.is_done() {
            self.buffer_partial(&bytes)?;
        }
        Ok((!complete.is_empty()).then_some(complete))
    }

    /// Returns the number of complete events so far, without the end of the stream.
    pub fn events(&self) -> u64 {
        self.counter.events()
    }

    /// Returns whether the end of the stream was read.
    pub fn is_done(&self) -> bool {
        self.counter.is_done()
    }

    fn prepend_pending(&mut self, complete: Bytes) -> Bytes {
        if complete.is_empty() || self.pending.is_empty() {
            return complete;
        }
        self.pending.extend_from_slice(&complete);
        self.pending.split().freeze()
    }

    fn buffer_partial(&mut self, rest: &[u8]) -> Result<(), EventTooLong> {
        if self.pending.len() + rest.len() > self.limit_bytes {
            return Err(EventTooLong { limit_bytes: self.limit_bytes });
        }
        self.pending.extend_from_slice(rest);
        Ok(())
    }
}

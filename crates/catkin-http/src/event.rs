//! Splits a stream of server-sent events whose identifiers increase into complete events.

use bytes::{Buf, Bytes, BytesMut};
use catkin_base::copy_type;

/// Names of the fields that an event must have.
const ID_FIELD: &[u8] = b"id";
const DATA_FIELD: &[u8] = b"data";

copy_type! {
    /// Reason for rejecting a stream of events.
    #[derive(thiserror::Error)]
    pub enum EventError {
        /// An incomplete event exceeds the limit of the splitter.
        #[error("an incomplete event exceeds {limit_bytes} bytes")]
        TooLong {
            /// Maximum number of buffered bytes.
            limit_bytes: usize,
        },
        /// A line is neither a field nor a comment.
        #[error("a line of an event must be a comment or a field name, a colon and a value")]
        Malformed,
        /// An event has no identifier, several or one that is no number.
        #[error("an event must have one field `id`, a decimal number")]
        InvalidId,
        /// An event has no data.
        #[error("an event must have a field `data`")]
        NoData,
        /// The identifier of an event is not greater than that of the event before.
        #[error("the identifier of an event is {id}; it must be greater than {last_id}")]
        NotIncreasing {
            /// Identifier of the event.
            id: u64,
            /// Identifier of the event before.
            last_id: u64,
        },
    }
}

/// Splits a byte stream at event boundaries. Only events with data and an identifier greater than that of
/// the event before are passed on. Comments and empty lines between events are discarded.
#[derive(Debug)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of pending bytes in which the end of the first line or event was not found.
    searched: usize,
    limit_bytes: usize,
    /// Text and value of the last identifier.
    last_id: Option<(Bytes, u64)>,
}

impl EventSplitter {
    /// Creates a splitter that buffers at most `limit_bytes` of an incomplete event. `resumed_after` is the
    /// identifier after which the stream goes on, if it does not begin.
    pub fn new(limit_bytes: usize, resumed_after: Option<&[u8]>) -> Self {
        let last_id =
            resumed_after.and_then(|id| Some((Bytes::copy_from_slice(id), parse_id(id)?)));
        Self { pending: BytesMut::new(), searched: 0, limit_bytes, last_id }
    }

    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns complete events; `None` if more input is needed. Call again until it returns
    /// `None`. Events before a malformed one are returned first.
    pub fn take_events(&mut self) -> Result<Option<Bytes>, EventError> {
        self.skip_comments()?;
        let mut end = 0;
        while let Some(length) = self.find_event_end(end) {
            match check_event(&self.pending[end..end + length], self.last_value()) {
                Ok(id) => self.last_id = Some(id),
                Err(error) if end == 0 => return Err(error),
                Err(_) => break,
            }
            end += length;
            if matches!(self.pending.get(end), Some(b':' | b'\r' | b'\n')) {
                break;
            }
        }
        if end == 0 {
            self.searched = self.pending.len();
            return self.check_length().map(|()| None);
        }
        self.searched = 0;
        Ok(Some(self.pending.split_to(end).freeze()))
    }

    /// Identifier of the last complete event, or that after which the stream goes on.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref().map(|(text, _)| text)
    }

    /// Number of bytes after the last complete event. A stream that ends with some has been broken off.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Memory that the bytes after the last complete event take, in bytes.
    pub fn capacity(&self) -> usize {
        self.pending.capacity()
    }

    /// Discards the bytes after the last complete event.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// Discards the comments and empty lines before the next event.
    fn skip_comments(&mut self) -> Result<(), EventError> {
        while matches!(self.pending.first(), Some(b':' | b'\r' | b'\n')) {
            let Some(line_feed) = memchr::memchr(b'\n', &self.pending[self.searched..]) else {
                self.searched = self.pending.len();
                return self.check_length();
            };
            let length = self.searched + line_feed + 1;
            check_line_end(&self.pending[..length])?;
            self.pending.advance(length);
            self.searched = 0;
        }
        Ok(())
    }

    fn check_length(&self) -> Result<(), EventError> {
        let limit_bytes = self.limit_bytes;
        if self.pending.len() > limit_bytes {
            Err(EventError::TooLong { limit_bytes })
        } else {
            Ok(())
        }
    }

    fn last_value(&self) -> Option<u64> {
        self.last_id.as_ref().map(|(_, value)| *value)
    }

    /// Length of the event that begins at `start`, with the blank line that ends it.
    fn find_event_end(&self, start: usize) -> Option<usize> {
        // The end may have begun with the last two bytes that were searched.
        let from = start.max(self.searched.saturating_sub(2));
        let ends = memchr::memchr_iter(b'\n', &self.pending[from..]).map(|at| from + at + 1);
        let blank =
            ends.map(|end| (end, &self.pending[end..])).find_map(|(end, rest)| match rest {
                [b'\n', ..] => Some(end + 1),
                [b'\r', b'\n', ..] => Some(end + 2),
                _ => None,
            });
        blank.map(|end| end - start)
    }
}

/// Checks a complete event, whose identifier must be greater than `last_id`. Returns the text and the value
/// of its identifier.
fn check_event(event: &[u8], last_id: Option<u64>) -> Result<(Bytes, u64), EventError> {
    let mut id = None;
    let mut has_data = false;
    for line in event.split_inclusive(|byte| *byte == b'\n') {
        match read_field(check_line_end(line)?)? {
            (ID_FIELD, _) if id.is_some() => return Err(EventError::InvalidId),
            (ID_FIELD, value) => id = Some(value),
            (DATA_FIELD, _) => has_data = true,
            _ => {}
        }
    }
    let text = id.ok_or(EventError::InvalidId)?;
    let id = parse_id(text).ok_or(EventError::InvalidId)?;
    if !has_data {
        return Err(EventError::NoData);
    }
    match last_id {
        Some(last_id) if id <= last_id => Err(EventError::NotIncreasing { id, last_id }),
        _ => Ok((Bytes::copy_from_slice(text), id)),
    }
}

/// Returns a line without its end, which is LF or CRLF. A CR elsewhere ends a line for some readers of events.
fn check_line_end(line: &[u8]) -> Result<&[u8], EventError> {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if memchr::memchr(b'\r', line).is_some() { Err(EventError::Malformed) } else { Ok(line) }
}

/// Reads the name and the value of a field. A comment and an empty line have an empty name.
fn read_field(line: &[u8]) -> Result<(&[u8], &[u8]), EventError> {
    let (name, value) = match memchr::memchr(b':', line) {
        Some(colon) => (&line[..colon], line[colon + 1..].trim_ascii()),
        // An empty value may lack the colon.
        None if line.is_empty() || line == DATA_FIELD => (line, &[][..]),
        None => return Err(EventError::Malformed),
    };
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    if name.iter().all(is_name) { Ok((name, value)) } else { Err(EventError::Malformed) }
}

/// Reads an identifier, a decimal number.
fn parse_id(text: &[u8]) -> Option<u64> {
    let is_decimal = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_decimal)?;
    text.parse().ok()
}

//! Whole events of a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// An event was longer than the splitter may keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {limit_bytes} bytes")]
pub struct EventSizeError {
    /// The limit.
    pub limit_bytes: usize,
}

/// Cuts a byte stream into whole events and remembers the last event's identifier.
#[derive(Debug)]
pub struct EventSplitter {
    pending: BytesMut,
    limit_bytes: usize,
    last_id: Option<Bytes>,
}

impl EventSplitter {
    /// A splitter that keeps at most `limit_bytes` of an unfinished event.
    pub fn new(limit_bytes: usize) -> Self {
        Self { pending: BytesMut::new(), limit_bytes, last_id: None }
    }

    /// Takes the next bytes and returns all events that are now whole, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventSizeError> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_blank_line(&self.pending) else {
            if self.pending.len() > self.limit_bytes {
                return Err(EventSizeError { limit_bytes: self.limit_bytes });
            }
            return Ok(None);
        };
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(whole.slice_ref(id));
        }
        Ok(Some(whole))
    }

    /// Identifier of the last whole event that had one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Takes the bytes behind the last whole event, once the stream ended in an orderly way.
    pub fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops the bytes of an unfinished event and returns how many there were.
    pub fn discard_partial(&mut self) -> usize {
        let torn = self.pending.len();
        self.pending.clear();
        torn
    }
}

/// Position behind the last blank line.
fn last_blank_line(bytes: &[u8]) -> Option<usize> {
    let plain = memchr::memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let carriage = memchr::memmem::rfind(bytes, b"\n\r\n").map(|at| at + 3);
    plain.max(carriage)
}

fn find_last_id(whole: &[u8]) -> Option<&[u8]> {
    let lines = whole.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next_back().map(<[u8]>::trim_ascii)
}

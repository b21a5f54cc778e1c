//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// An incomplete event exceeded the buffer limit of an [`EventSplitter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an incomplete event exceeds {limit_bytes} bytes")]
pub struct EventSizeError {
    /// Maximum number of buffered bytes.
    pub limit_bytes: usize,
}

/// Splits a byte stream at event boundaries and records the identifier of the last complete event.
#[derive(Debug)]
pub struct EventSplitter {
    pending: BytesMut,
    limit_bytes: usize,
    last_id: Option<Bytes>,
}

impl EventSplitter {
    /// Creates a splitter that buffers at most `limit_bytes` of an incomplete event.
    pub fn new(limit_bytes: usize) -> Self {
        Self { pending: BytesMut::new(), limit_bytes, last_id: None }
    }

    /// Adds the next bytes of the stream and returns all events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventSizeError> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = find_last_blank_line(&self.pending) else {
            if self.pending.len() > self.limit_bytes {
                return Err(EventSizeError { limit_bytes: self.limit_bytes });
            }
            return Ok(None);
        };
        let events = self.pending.split_to(end).freeze();
        if let Some(id) = find_last_id(&events) {
            self.last_id = Some(events.slice_ref(id));
        }
        Ok(Some(events))
    }

    /// Identifier of the last complete event that had one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Removes and returns the bytes after the last complete event. Used after an orderly end of
    /// the stream.
    pub fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Discards the bytes of an incomplete event and returns their number.
    pub fn discard_partial(&mut self) -> usize {
        let discarded = self.pending.len();
        self.pending.clear();
        discarded
    }
}

/// Position after the last blank line.
fn find_last_blank_line(bytes: &[u8]) -> Option<usize> {
    let lf_end = memchr::memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let crlf_end = memchr::memmem::rfind(bytes, b"\n\r\n").map(|at| at + 3);
    lf_end.max(crlf_end)
}

fn find_last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next_back().map(<[u8]>::trim_ascii)
}

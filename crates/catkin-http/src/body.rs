//! Decodes message bodies.

use bytes::{Bytes, BytesMut};
use catkin_base::{copy_type, value_type};

use crate::framing::BodyFraming;

/// Maximum length of a chunk's size line including extensions, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Maximum total size of the trailer lines, in bytes. Trailers are read and discarded.
const MAX_TRAILER_BYTES: usize = 4096;
/// Maximum number of hexadecimal digits in a chunk size, so that the value fits into 60 bits.
const MAX_SIZE_DIGITS: usize = 15;

copy_type! {
    /// Reason for rejecting a body.
    #[derive(thiserror::Error)]
    pub enum BodyError {
        /// A chunk's size line is malformed or too long.
        #[error("the size line of a chunk must be a short hexadecimal number, ended by CRLF")]
        ChunkSize,
        /// The data of a chunk is not followed by CRLF at the position given by its size.
        #[error("the data of a chunk must be followed by CRLF")]
        ChunkEnd,
        /// The trailers are malformed or too long.
        #[error("a trailer line does not end with CRLF or the trailers are too long")]
        Trailers,
    }
}

value_type! {
    /// Result of one decoding step.
    pub enum BodyStep {
        /// Bytes of the body.
        Data(Bytes),
        /// More input is needed.
        NeedMore,
        /// The body is complete.
        End,
    }
}

/// Decodes one body and removes it from the front of a buffer.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: DecoderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Ended,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecoderState::Ended,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.state == DecoderState::Ended
    }

    /// Whether an orderly close of the connection completes the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Decodes the next bytes of the body and removes them from `buffer`.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, BodyError> {
        loop {
            match self.state {
                DecoderState::Ended => return Ok(BodyStep::End),
                DecoderState::Length(left) => return Ok(self.take_data(buffer, left)),
                DecoderState::UntilClose => return Ok(take_all(buffer)),
                DecoderState::ChunkData(left) => return Ok(self.take_chunk(buffer, left)),
                DecoderState::ChunkSize | DecoderState::ChunkEnd | DecoderState::Trailers(_) => {
                    if !self.read_line(buffer)? {
                        return Ok(BodyStep::NeedMore);
                    }
                }
            }
        }
    }

    fn take_data(&mut self, buffer: &mut BytesMut, left: u64) -> BodyStep {
        let Some(bytes) = take_up_to(buffer, left) else { return BodyStep::NeedMore };
        let left = left - bytes.len() as u64;
        self.state = if left == 0 { DecoderState::Ended } else { DecoderState::Length(left) };
        BodyStep::Data(bytes)
    }

    fn take_chunk(&mut self, buffer: &mut BytesMut, left: u64) -> BodyStep {
        let Some(bytes) = take_up_to(buffer, left) else { return BodyStep::NeedMore };
        let left = left - bytes.len() as u64;
        self.state = if left == 0 { DecoderState::ChunkEnd } else { DecoderState::ChunkData(left) };
        BodyStep::Data(bytes)
    }

    /// Reads one line of the chunked coding and updates the state. Returns false while the line is
    /// incomplete.
    fn read_line(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        let error = self.select_line_error();
        let Some(line_feed) = memchr::memchr(b'\n', buffer) else {
            return if buffer.len() > MAX_SIZE_LINE_BYTES { Err(error) } else { Ok(false) };
        };
        let line = buffer.split_to(line_feed + 1);
        let line = line.strip_suffix(b"\r\n").ok_or(error)?;
        if line.len() > MAX_SIZE_LINE_BYTES || memchr::memchr(b'\r', line).is_some() {
            return Err(error);
        }
        self.state = match self.state {
            DecoderState::ChunkSize => match parse_chunk_size(line)? {
                0 => DecoderState::Trailers(0),
                size => DecoderState::ChunkData(size),
            },
            DecoderState::Trailers(_) if line.is_empty() => DecoderState::Ended,
            DecoderState::Trailers(trailer_bytes)
                if trailer_bytes + line.len() <= MAX_TRAILER_BYTES =>
            {
                DecoderState::Trailers(trailer_bytes + line.len())
            }
            DecoderState::ChunkEnd if line.is_empty() => DecoderState::ChunkSize,
            _ => return Err(error),
        };
        Ok(true)
    }

    fn select_line_error(&self) -> BodyError {
        match self.state {
            DecoderState::ChunkEnd => BodyError::ChunkEnd,
            DecoderState::Trailers(_) => BodyError::Trailers,
            _ => BodyError::ChunkSize,
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, limit: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let count = usize::try_from(limit).unwrap_or(usize::MAX).min(buffer.len());
    Some(buffer.split_to(count).freeze())
}

fn take_all(buffer: &mut BytesMut) -> BodyStep {
    take_up_to(buffer, u64::MAX).map_or(BodyStep::NeedMore, BodyStep::Data)
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS {
        return Err(BodyError::ChunkSize);
    }
    if !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BodyError::ChunkSize);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::ChunkSize)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::ChunkSize)
}

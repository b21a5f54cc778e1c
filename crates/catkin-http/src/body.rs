//! Bodies of messages.

use bytes::{Bytes, BytesMut};
use catkin_base::{copy_type, value_type};

use crate::framing::BodyFraming;

/// Longest size line of a chunk, extensions included, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Most bytes of trailers, which are read and dropped.
const MAX_TRAILER_BYTES: usize = 4096;
/// Most digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 15;

copy_type! {
    /// Why a body was refused.
    #[derive(thiserror::Error)]
    pub enum BodyError {
        /// A chunk's size line is malformed or too long.
        #[error("the size line of a chunk is malformed")]
        ChunkSize,
        /// A chunk does not end where its size says.
        #[error("a chunk does not end with CRLF")]
        ChunkEnd,
        /// The trailers are malformed or too long.
        #[error("the trailers are malformed")]
        Trailers,
    }
}

value_type! {
    /// What the decoder found in the buffer.
    pub enum BodyStep {
        /// Bytes of the body.
        Data(Bytes),
        /// Nothing until more bytes arrive.
        NeedMore,
        /// The body is whole.
        End,
    }
}

/// Cuts one body off the front of a buffer.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: DecoderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Counted(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Ended,
}

impl BodyDecoder {
    /// A decoder of a body with this framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecoderState::Ended,
            BodyFraming::Length(length) => DecoderState::Counted(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body is whole.
    pub fn is_complete(&self) -> bool {
        self.state == DecoderState::Ended
    }

    /// Whether an orderly end of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Takes the next piece of the body.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, BodyError> {
        loop {
            match self.state {
                DecoderState::Ended => return Ok(BodyStep::End),
                DecoderState::Counted(left) => return Ok(self.take_counted(buffer, left)),
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

    fn take_counted(&mut self, buffer: &mut BytesMut, left: u64) -> BodyStep {
        let Some(bytes) = take_up_to(buffer, left) else { return BodyStep::NeedMore };
        let left = left - bytes.len() as u64;
        self.state = if left == 0 { DecoderState::Ended } else { DecoderState::Counted(left) };
        BodyStep::Data(bytes)
    }

    fn take_chunk(&mut self, buffer: &mut BytesMut, left: u64) -> BodyStep {
        let Some(bytes) = take_up_to(buffer, left) else { return BodyStep::NeedMore };
        let left = left - bytes.len() as u64;
        self.state = if left == 0 { DecoderState::ChunkEnd } else { DecoderState::ChunkData(left) };
        BodyStep::Data(bytes)
    }

    /// Reads one line of the chunked coding; false while it is not whole.
    fn read_line(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        let error = self.line_error();
        let Some(feed) = memchr::memchr(b'\n', buffer) else {
            return if buffer.len() > MAX_SIZE_LINE_BYTES { Err(error) } else { Ok(false) };
        };
        let line = buffer.split_to(feed + 1);
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
            DecoderState::Trailers(seen) if seen + line.len() <= MAX_TRAILER_BYTES => {
                DecoderState::Trailers(seen + line.len())
            }
            DecoderState::ChunkEnd if line.is_empty() => DecoderState::ChunkSize,
            _ => return Err(error),
        };
        Ok(true)
    }

    fn line_error(&self) -> BodyError {
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

//! Determines how the end of a message body is recognized.

use catkin_base::copy_type;

use crate::field::FieldList;
use crate::head::{RequestHead, ResponseHead};

copy_type! {
    /// How the end of a body is recognized.
    pub enum BodyFraming {
        /// The message has no body.
        Empty,
        /// The body has this many bytes, from `Content-Length`.
        Length(u64),
        /// The body uses the chunked transfer coding.
        Chunked,
        /// The body ends when the connection is closed.
        UntilClose,
    }
}

copy_type! {
    /// Reason for rejecting the framing of a message.
    #[derive(thiserror::Error)]
    pub enum FramingError {
        /// `Content-Length` is not a decimal number, or occurs more than once.
        #[error("Content-Length must occur once and be a decimal number")]
        InvalidLength,
        /// Both `Content-Length` and `Transfer-Encoding` are present.
        #[error("Content-Length and Transfer-Encoding must not both be present")]
        LengthAndEncoding,
        /// `Transfer-Encoding` is not exactly `chunked`, occurs more than once, or is used in an
        /// HTTP/1.0 request.
        #[error("Transfer-Encoding must be chunked, occur once and be used with HTTP/1.1")]
        UnsupportedEncoding,
    }
}

/// Returns the framing of a request's body.
pub fn determine_request_framing(head: &RequestHead) -> Result<BodyFraming, FramingError> {
    let declared = read_declared_framing(&head.fields)?;
    if head.minor_version == 0 && declared == Some(BodyFraming::Chunked) {
        return Err(FramingError::UnsupportedEncoding);
    }
    Ok(match declared {
        Some(BodyFraming::Length(0)) | None => BodyFraming::Empty,
        Some(framing) => framing,
    })
}

/// Returns the framing of a response's body. `answers_head` says that the request was a HEAD
/// request, whose response has no body.
pub fn determine_response_framing(
    head: &ResponseHead,
    answers_head: bool,
) -> Result<BodyFraming, FramingError> {
    if answers_head || head.status < 200 || matches!(head.status, 204 | 304) {
        return Ok(BodyFraming::Empty);
    }
    Ok(read_declared_framing(&head.fields)?.unwrap_or(BodyFraming::UntilClose))
}

fn read_declared_framing(fields: &FieldList) -> Result<Option<BodyFraming>, FramingError> {
    let encodings = fields.count("transfer-encoding");
    let lengths = fields.count("content-length");
    if encodings > 0 && lengths > 0 {
        return Err(FramingError::LengthAndEncoding);
    }
    if encodings > 1 || lengths > 1 {
        return Err(if encodings > 1 {
            FramingError::UnsupportedEncoding
        } else {
            FramingError::InvalidLength
        });
    }
    if let Some(value) = fields.values("transfer-encoding").next() {
        let chunked = value.eq_ignore_ascii_case(b"chunked");
        return if chunked {
            Ok(Some(BodyFraming::Chunked))
        } else {
            Err(FramingError::UnsupportedEncoding)
        };
    }
    let value = fields.values("content-length").next();
    value.map(|value| parse_length(value).map(BodyFraming::Length)).transpose()
}

fn parse_length(value: &[u8]) -> Result<u64, FramingError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingError::InvalidLength)?;
    text.parse().map_err(|_| FramingError::InvalidLength)
}

//! Where the body of a message ends.

use catkin_base::copy_type;

use crate::field::FieldList;
use crate::head::{RequestHead, ResponseHead};

copy_type! {
    /// How the end of a body is recognized.
    pub enum BodyFraming {
        /// There is no body.
        Empty,
        /// The body has this many bytes.
        Length(u64),
        /// The body comes in chunks.
        Chunked,
        /// The body ends with the connection.
        UntilClose,
    }
}

copy_type! {
    /// Why the framing of a message was refused.
    #[derive(thiserror::Error)]
    pub enum FramingError {
        /// The length is not a number, or stands more than once.
        #[error("the content length is not one number")]
        InvalidLength,
        /// Both a length and a transfer encoding are given.
        #[error("a content length stands beside a transfer encoding")]
        LengthAndEncoding,
        /// The transfer encoding is not `chunked` alone.
        #[error("the transfer encoding is not chunked")]
        UnsupportedEncoding,
    }
}

/// The framing of a request's body.
pub fn determine_request_framing(head: &RequestHead) -> Result<BodyFraming, FramingError> {
    let declared = declared_framing(&head.fields)?;
    if head.minor_version == 0 && declared == Some(BodyFraming::Chunked) {
        return Err(FramingError::UnsupportedEncoding);
    }
    Ok(match declared {
        Some(BodyFraming::Length(0)) | None => BodyFraming::Empty,
        Some(framing) => framing,
    })
}

/// The framing of a response's body; `to_head` if it answers a HEAD request.
pub fn determine_response_framing(
    head: &ResponseHead,
    to_head: bool,
) -> Result<BodyFraming, FramingError> {
    if to_head || head.status < 200 || matches!(head.status, 204 | 304) {
        return Ok(BodyFraming::Empty);
    }
    Ok(declared_framing(&head.fields)?.unwrap_or(BodyFraming::UntilClose))
}

fn declared_framing(fields: &FieldList) -> Result<Option<BodyFraming>, FramingError> {
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

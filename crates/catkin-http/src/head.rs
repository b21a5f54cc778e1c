//! Parses the heads of requests and responses.

use std::ops::RangeInclusive;

use bytes::{Bytes, BytesMut};
use catkin_base::value_type;

use crate::field::{FieldList, HeaderField};

/// Maximum number of header fields in one head. Ordinary callers reach the byte limit first.
const MAX_FIELDS: usize = 128;
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Status codes of RFC 9110, section 15. Clients differ in what they make of others.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
const VERSION_START: &[u8] = b"HTTP/1.";

value_type! {
    /// Reason for rejecting a head.
    #[derive(Copy, thiserror::Error)]
    pub enum HeadError {
        /// The head exceeds the size limit.
        #[error("the head is longer than {limit_bytes} bytes")]
        TooLong {
            /// Maximum size of the head, in bytes.
            limit_bytes: usize,
        },
        /// A line ends without a carriage return or contains one before its end.
        #[error("each line of the head must end with CRLF and contain no other CR or LF")]
        BareLineEnd,
        /// The head does not follow the HTTP/1 grammar or has too many fields.
        #[error("the head is not valid HTTP/1 or has too many fields")]
        Malformed,
        /// A response head goes on with that of another response.
        #[error("the reason phrase or a field of the head contains a status line")]
        Joined,
    }
}

value_type! {
    /// Head of a request.
    pub struct RequestHead {
        /// Method.
        pub method: Bytes,
        /// Request target as received, usually path and query.
        pub target: Bytes,
        /// Minor version of HTTP/1, 0 or 1.
        pub minor_version: u8,
        /// Header fields.
        pub fields: FieldList,
    }
}

value_type! {
    /// Head of a response.
    pub struct ResponseHead {
        /// Status code.
        pub status: u16,
        /// Reason phrase.
        pub reason: Bytes,
        /// Minor version of HTTP/1, 0 or 1.
        pub minor_version: u8,
        /// Header fields.
        pub fields: FieldList,
    }
}

impl RequestHead {
    /// Whether the client wants to keep the connection open after the response.
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.minor_version, &self.fields)
    }
}

impl ResponseHead {
    /// Whether the server keeps the connection open after the response.
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.minor_version, &self.fields)
    }
}

fn is_keep_alive(minor_version: u8, fields: &FieldList) -> bool {
    if fields.contains_token("connection", "close") {
        return false;
    }
    minor_version >= 1 || fields.contains_token("connection", "keep-alive")
}

/// Removes a request head from the front of `buffer` and parses it. Returns `None` while the head
/// is incomplete. Rejects bare line ends and a head longer than `limit_bytes` even before it is
/// complete.
pub fn take_request_head(
    buffer: &mut BytesMut,
    limit_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_line(buffer);
    let Some(bytes) = split_head(buffer, limit_bytes)? else { return Ok(None) };
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(&bytes).map_err(|_| HeadError::Malformed)?;
    let (Some(method), Some(target), Some(minor_version)) =
        (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HeadError::Malformed);
    };
    if status.is_partial() {
        return Err(HeadError::Malformed);
    }
    Ok(Some(RequestHead {
        method: bytes.slice_ref(method.as_bytes()),
        target: bytes.slice_ref(target.as_bytes()),
        minor_version,
        fields: collect_fields(&bytes, parsed.headers),
    }))
}

/// Removes a response head from the front of `buffer` and parses it. Returns `None` while the head
/// is incomplete. Rejects bytes that cannot start a response, bare line ends and a head longer than
/// `limit_bytes` even before the head is complete, and a head that contains another status line.
pub fn take_response_head(
    buffer: &mut BytesMut,
    limit_bytes: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    if !starts_like_response(buffer) {
        return Err(HeadError::Malformed);
    }
    let Some(bytes) = split_head(buffer, limit_bytes)? else { return Ok(None) };
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    let state = parsed.parse(&bytes).map_err(|_| HeadError::Malformed)?;
    let (Some(status), Some(minor_version)) = (parsed.code, parsed.version) else {
        return Err(HeadError::Malformed);
    };
    if state.is_partial() || !STATUS_CODES.contains(&status) {
        return Err(HeadError::Malformed);
    }
    let reason = parsed.reason.unwrap_or("").as_bytes();
    let mut values = parsed.headers.iter().map(|header| header.value);
    if contains_status_line(reason) || values.any(contains_status_line) {
        return Err(HeadError::Joined);
    }
    Ok(Some(ResponseHead {
        status,
        reason: bytes.slice_ref(parsed.reason.unwrap_or("").as_bytes()),
        minor_version,
        fields: collect_fields(&bytes, parsed.headers),
    }))
}

fn skip_empty_line(buffer: &mut BytesMut) {
    if buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
}

/// Whether the received bytes can be the start of a response.
fn starts_like_response(buffer: &[u8]) -> bool {
    let common = buffer.len().min(VERSION_START.len());
    buffer[..common] == VERSION_START[..common]
}

/// Whether a part of a response head contains a status line: a server stopped there and went on with another
/// response.
fn contains_status_line(part: &[u8]) -> bool {
    let mut starts = memchr::memmem::find_iter(part, VERSION_START);
    starts.any(|start| match &part[start + VERSION_START.len()..] {
        [minor, b' ', status @ ..] => {
            let (digits, rest) = status.split_at_checked(3).unwrap_or((status, b""));
            minor.is_ascii_digit()
                && digits.len() == 3
                && digits.iter().all(u8::is_ascii_digit)
                && rest.first().is_none_or(|byte| *byte == b' ')
        }
        _ => false,
    })
}

fn split_head(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<Bytes>, HeadError> {
    let end = memchr::memmem::find(buffer, HEAD_END).map(|at| at + HEAD_END.len());
    let seen = end.unwrap_or(buffer.len());
    if has_bare_line_end(&buffer[..seen]) {
        return Err(HeadError::BareLineEnd);
    }
    if seen > limit_bytes {
        return Err(HeadError::TooLong { limit_bytes });
    }
    Ok(end.map(|end| buffer.split_to(end).freeze()))
}

fn has_bare_line_end(bytes: &[u8]) -> bool {
    let line_feeds = memchr::memchr_iter(b'\n', bytes);
    let has_bare_feed = line_feeds.into_iter().any(|at| at == 0 || bytes[at - 1] != b'\r');
    let mut carriage_returns = memchr::memchr_iter(b'\r', bytes);
    has_bare_feed || carriage_returns.any(|at| bytes.get(at + 1).is_some_and(|next| *next != b'\n'))
}

fn collect_fields(bytes: &Bytes, headers: &[httparse::Header<'_>]) -> FieldList {
    let mut fields = FieldList::default();
    for header in headers {
        let name = bytes.slice_ref(header.name.as_bytes());
        let value = bytes.slice_ref(header.value);
        fields.push(HeaderField { name, value });
    }
    fields
}

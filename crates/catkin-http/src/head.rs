//! Heads of requests and responses.

use bytes::{Bytes, BytesMut};
use catkin_base::value_type;

use crate::field::{FieldList, HeaderField};

/// Most header fields in one head; the limit on bytes binds first for ordinary callers.
const MAX_FIELDS: usize = 128;
const HEAD_END: &[u8] = b"\r\n\r\n";

value_type! {
    /// Why a head was refused.
    #[derive(Copy, thiserror::Error)]
    pub enum HeadError {
        /// The head is longer than the limit.
        #[error("the head is longer than {limit_bytes} bytes")]
        TooLong {
            /// The limit.
            limit_bytes: usize,
        },
        /// A line ends without a carriage return, or has one in its middle.
        #[error("a line of the head does not end with CRLF")]
        BareLineEnd,
        /// The head does not follow the grammar.
        #[error("the head is malformed")]
        Malformed,
    }
}

value_type! {
    /// Head of a request.
    pub struct RequestHead {
        /// Method.
        pub method: Bytes,
        /// Request target as sent: path and query.
        pub target: Bytes,
        /// Minor version of HTTP/1.
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
        /// Minor version of HTTP/1.
        pub minor_version: u8,
        /// Header fields.
        pub fields: FieldList,
    }
}

impl RequestHead {
    /// Whether the caller keeps the connection open after the answer.
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.minor_version, &self.fields)
    }
}

impl ResponseHead {
    /// Whether the server keeps the connection open after the answer.
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

/// Takes a request's head off the front of `buffer`; `None` while it is not whole.
pub fn take_request_head(
    buffer: &mut BytesMut,
    limit_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_line(buffer);
    let Some(block) = take_block(buffer, limit_bytes)? else { return Ok(None) };
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut slots);
    let status = parsed.parse(&block).map_err(|_| HeadError::Malformed)?;
    let (Some(method), Some(target), Some(minor_version)) =
        (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HeadError::Malformed);
    };
    if status.is_partial() {
        return Err(HeadError::Malformed);
    }
    Ok(Some(RequestHead {
        method: block.slice_ref(method.as_bytes()),
        target: block.slice_ref(target.as_bytes()),
        minor_version,
        fields: collect_fields(&block, parsed.headers),
    }))
}

/// Takes a response's head off the front of `buffer`; `None` while it is not whole.
pub fn take_response_head(
    buffer: &mut BytesMut,
    limit_bytes: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    if !starts_like_response(buffer) {
        return Err(HeadError::Malformed);
    }
    let Some(block) = take_block(buffer, limit_bytes)? else { return Ok(None) };
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut slots);
    let state = parsed.parse(&block).map_err(|_| HeadError::Malformed)?;
    let (Some(status), Some(minor_version)) = (parsed.code, parsed.version) else {
        return Err(HeadError::Malformed);
    };
    if state.is_partial() {
        return Err(HeadError::Malformed);
    }
    Ok(Some(ResponseHead {
        status,
        reason: block.slice_ref(parsed.reason.unwrap_or("").as_bytes()),
        minor_version,
        fields: collect_fields(&block, parsed.headers),
    }))
}

fn skip_empty_line(buffer: &mut BytesMut) {
    if buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
}

/// Whether the bytes so far can be the start of a response.
fn starts_like_response(buffer: &[u8]) -> bool {
    let start = b"HTTP/1.";
    let common = buffer.len().min(start.len());
    buffer[..common] == start[..common]
}

fn take_block(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<Bytes>, HeadError> {
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

fn has_bare_line_end(block: &[u8]) -> bool {
    let feeds = memchr::memchr_iter(b'\n', block);
    let bare_feed = feeds.into_iter().any(|at| at == 0 || block[at - 1] != b'\r');
    let mut returns = memchr::memchr_iter(b'\r', block);
    bare_feed || returns.any(|at| block.get(at + 1).is_some_and(|next| *next != b'\n'))
}

fn collect_fields(block: &Bytes, headers: &[httparse::Header<'_>]) -> FieldList {
    let mut list = FieldList::default();
    for header in headers {
        let name = block.slice_ref(header.name.as_bytes());
        let value = block.slice_ref(header.value);
        list.push(HeaderField { name, value });
    }
    list
}

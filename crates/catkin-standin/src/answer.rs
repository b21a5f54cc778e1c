//! HTTP answers and request parsing of the stand-ins that serve each request on its own thread.

use tiny_http::{Header, Request, Response};

/// An answer that is not written yet.
pub(crate) struct PlainAnswer {
    status: u16,
    body: Vec<u8>,
    version: Option<u64>,
}

impl PlainAnswer {
    /// Creates an answer without a body.
    pub(crate) fn empty(status: u16) -> Self {
        Self { status, body: Vec::new(), version: None }
    }

    /// Creates an answer with a body.
    pub(crate) fn with_body(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, version: None }
    }

    /// Adds the `x-version` header.
    pub(crate) fn with_version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Writes the answer. A client that closed the connection is not an error.
    pub(crate) fn write_to(self, request: Request) {
        // Clients recognise a complete answer by its `content-length`; a chunked answer has none.
        let mut response = Response::from_data(self.body)
            .with_status_code(self.status)
            .with_chunked_threshold(usize::MAX);
        if let Some(header) = self.version.and_then(build_version_header) {
            response.add_header(header);
        }
        if let Err(error) = request.respond(response) {
            log::debug!("standin: writing an answer failed; the client did not get it: {error}");
        }
    }
}

fn build_version_header(version: u64) -> Option<Header> {
    Header::from_bytes("x-version", version.to_string()).ok()
}

/// Returns the value of a request header.
pub(crate) fn find_header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.equiv(name))?;
    Some(found.value.as_str())
}

/// Returns the value of a query parameter of `url`, without percent-decoding.
pub(crate) fn find_query_value<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the path of `url` without its query.
pub(crate) fn strip_query(url: &str) -> &str {
    url.split_once('?').map_or(url, |(path, _)| path)
}

/// Decodes percent escapes; a malformed escape is left unchanged.
pub(crate) fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        match decode_escape(&bytes[index..]) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn decode_escape(bytes: &[u8]) -> Option<u8> {
    let digits = bytes.strip_prefix(b"%")?.get(..2)?;
    u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

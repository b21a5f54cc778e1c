//! Answers of the stand-ins that serve each request on a thread.

use tiny_http::{Header, Request, Response};

/// An answer before it is written.
pub(crate) struct PlainAnswer {
    status: u16,
    body: Vec<u8>,
    version: Option<u64>,
}

impl PlainAnswer {
    /// An answer without a body.
    pub(crate) fn empty(status: u16) -> Self {
        Self { status, body: Vec::new(), version: None }
    }

    /// An answer with a body.
    pub(crate) fn with_body(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, version: None }
    }

    /// The answer with the `x-version` header.
    pub(crate) fn versioned(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }

    /// Writes the answer. A client that went away is no error.
    pub(crate) fn write_to(self, request: Request) {
        // Clients tell a whole answer by its length, which a chunked one does not give.
        let mut response = Response::from_data(self.body)
            .with_status_code(self.status)
            .with_chunked_threshold(usize::MAX);
        if let Some(header) = self.version.and_then(version_header) {
            response.add_header(header);
        }
        if let Err(error) = request.respond(response) {
            log::debug!("standin: answer not written: {error}");
        }
    }
}

fn version_header(version: u64) -> Option<Header> {
    Header::from_bytes("x-version", version.to_string()).ok()
}

/// Value of a request header.
pub(crate) fn header_value<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.equiv(name))?;
    Some(found.value.as_str())
}

/// Value of a query parameter in `url`, without decoding.
pub(crate) fn query_value<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Path of `url` without its query.
pub(crate) fn path_of(url: &str) -> &str {
    url.split_once('?').map_or(url, |(path, _)| path)
}

/// Decodes `%` escapes; an escape that is malformed stays as it is.
pub(crate) fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        match escaped_byte(&bytes[index..]) {
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

fn escaped_byte(bytes: &[u8]) -> Option<u8> {
    let digits = bytes.strip_prefix(b"%")?.get(..2)?;
    u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

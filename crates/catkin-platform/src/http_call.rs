//! One call to the platform's HTTP API and the interpretation of its response.

use std::io;

use catkin_base::RunVerdict;
use minreq::{Method, Request, Response};

use crate::call_counts::CallKind;
use crate::store::{StoreError, StoreErrorKind, StoredObject, WriteCondition};

/// Maximum size of the head of a response in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A call that is ready to send.
pub(crate) struct HttpCall {
    pub(crate) kind: CallKind,
    pub(crate) request: Request,
}

/// A response that was received completely.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    response: Response,
    is_write: bool,
}

impl HttpCall {
    pub(crate) fn new(kind: CallKind, method: Method, url: String, timeout_seconds: u64) -> Self {
        let request = Request::new(method, url)
            .with_header("connection", "close")
            .with_follow_redirects(false)
            .with_max_headers_size(MAX_HEAD_BYTES)
            .with_max_status_line_length(MAX_HEAD_BYTES)
            .with_timeout(timeout_seconds);
        Self { kind, request }
    }

    pub(crate) fn with_condition(mut self, condition: WriteCondition) -> Self {
        self.request = match condition {
            WriteCondition::Absent => self.request.with_header("if-none-match", "*"),
            WriteCondition::Version(version) => {
                self.request.with_header("if-match", version.to_string())
            }
        };
        self
    }

    pub(crate) fn with_body(mut self, body: Vec<u8>) -> Self {
        self.request = self.request.with_body(body);
        self
    }

    /// Sends the call and blocks until the complete response has arrived.
    pub(crate) fn send(self) -> Result<CompleteResponse, StoreError> {
        let is_write = self.kind.is_write();
        match self.request.send() {
            Ok(response) if is_complete(&response) => {
                check_refusal(CompleteResponse { response, is_write })
            }
            Ok(_) => Err(unknown_outcome_error(is_write)),
            Err(error) if is_connection_refused(&error) => {
                Err(StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun })
            }
            Err(_) => Err(unknown_outcome_error(is_write)),
        }
    }
}

impl CompleteResponse {
    /// Interprets the response to a read of one object.
    pub(crate) fn into_object(self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        match self.response.status_code {
            200 => {
                let version = self.read_version()?;
                let value = self.response.into_bytes();
                Ok(Some(StoredObject { key: key.to_owned(), version, value }))
            }
            404 => Ok(None),
            _ => Err(self.unexpected_error()),
        }
    }

    /// Interprets the response to a watch; `None` if nothing changed.
    pub(crate) fn into_change(self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        match self.response.status_code {
            304 => Ok(None),
            _ => self.into_object(key),
        }
    }

    /// Whether the watched object has not changed.
    pub(crate) fn is_unchanged(&self) -> bool {
        self.response.status_code == 304
    }

    /// Interprets the response to a write; returns the new version.
    pub(crate) fn into_version(self) -> Result<u64, StoreError> {
        match self.response.status_code {
            200 => self.read_version(),
            404 | 412 => Err(not_run_error(StoreErrorKind::Conflict)),
            400 | 413 => Err(not_run_error(StoreErrorKind::Invalid)),
            _ => Err(self.unexpected_error()),
        }
    }

    /// Interprets the response to a deletion.
    pub(crate) fn into_deleted(self) -> Result<(), StoreError> {
        match self.response.status_code {
            200 => Ok(()),
            404 | 412 => Err(not_run_error(StoreErrorKind::Conflict)),
            _ => Err(self.unexpected_error()),
        }
    }

    /// Decodes the JSON document in the response.
    pub(crate) fn into_document<Document: serde::de::DeserializeOwned>(
        self,
    ) -> Result<Document, StoreError> {
        if self.response.status_code != 200 {
            return Err(self.unexpected_error());
        }
        serde_json::from_slice(self.response.as_bytes()).map_err(|_| self.unexpected_error())
    }

    fn read_version(&self) -> Result<u64, StoreError> {
        let text = self.response.header("x-version");
        text.and_then(|text| text.parse().ok()).ok_or_else(|| self.unexpected_error())
    }

    /// The error of a response outside the API contract. It does not tell whether a write took
    /// effect.
    fn unexpected_error(&self) -> StoreError {
        unknown_outcome_error(self.is_write)
    }
}

/// Converts 429 and 503 responses, which guarantee that the call had no effect, into errors.
fn check_refusal(response: CompleteResponse) -> Result<CompleteResponse, StoreError> {
    match response.response.status_code {
        429 => Err(not_run_error(StoreErrorKind::RateLimited)),
        503 => Err(not_run_error(StoreErrorKind::Unavailable)),
        _ => Ok(response),
    }
}

fn not_run_error(kind: StoreErrorKind) -> StoreError {
    StoreError { kind, ran: RunVerdict::NotRun }
}

/// The error of a call without a usable response: a write may have taken effect.
fn unknown_outcome_error(is_write: bool) -> StoreError {
    let ran = if is_write { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
    StoreError { kind: StoreErrorKind::Unavailable, ran }
}

/// Whether the response has all the bytes that its head announces. The HTTP client library reports
/// a connection closed without a response as a 503 without headers, and a truncated body as
/// complete.
fn is_complete(response: &Response) -> bool {
    let length: Option<usize> =
        response.header("content-length").and_then(|text| text.trim().parse().ok());
    match length {
        Some(length) => response.as_bytes().len() == length,
        None => matches!(response.status_code, 204 | 304) && !response.headers.is_empty(),
    }
}

fn is_connection_refused(error: &minreq::Error) -> bool {
    matches!(error, minreq::Error::IoError(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

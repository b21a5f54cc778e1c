//! One call to the platform's HTTP API, and what its answer means.

use std::io;

use catkin_base::RunVerdict;
use minreq::{Method, Request, Response};

use crate::call_counts::CallKind;
use crate::store::{StoreError, StoreErrorKind, StoredObject, WriteCondition};

/// Largest head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A call that is ready to be sent.
pub(crate) struct HttpCall {
    pub(crate) kind: CallKind,
    pub(crate) request: Request,
}

/// An answer that arrived whole.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
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

    /// Sends the call and waits for the whole answer. Blocks.
    pub(crate) fn send(self) -> Result<WholeAnswer, StoreError> {
        let is_write = self.kind.is_write();
        match self.request.send() {
            Ok(response) if is_whole(&response) => {
                check_answered(WholeAnswer { response, is_write })
            }
            Ok(_) => Err(unanswered(is_write)),
            Err(error) if is_refused(&error) => {
                Err(StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun })
            }
            Err(_) => Err(unanswered(is_write)),
        }
    }
}

impl WholeAnswer {
    /// Reads the answer to a read of one object.
    pub(crate) fn into_object(self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        match self.response.status_code {
            200 => {
                let version = self.version()?;
                let value = self.response.into_bytes();
                Ok(Some(StoredObject { key: key.to_owned(), version, value }))
            }
            404 => Ok(None),
            _ => Err(self.unexpected()),
        }
    }

    /// Reads the answer to a watch; `None` if nothing changed.
    pub(crate) fn into_change(self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        match self.response.status_code {
            304 => Ok(None),
            _ => self.into_object(key),
        }
    }

    /// Whether the watched object was left as it was.
    pub(crate) fn is_unchanged(&self) -> bool {
        self.response.status_code == 304
    }

    /// Reads the answer to a write.
    pub(crate) fn into_version(self) -> Result<u64, StoreError> {
        match self.response.status_code {
            200 => self.version(),
            404 | 412 => Err(refusal(StoreErrorKind::Conflict)),
            400 | 413 => Err(refusal(StoreErrorKind::Invalid)),
            _ => Err(self.unexpected()),
        }
    }

    /// Reads the answer to a deletion.
    pub(crate) fn into_deleted(self) -> Result<(), StoreError> {
        match self.response.status_code {
            200 => Ok(()),
            404 | 412 => Err(refusal(StoreErrorKind::Conflict)),
            _ => Err(self.unexpected()),
        }
    }

    /// Reads a JSON document.
    pub(crate) fn into_document<Document: serde::de::DeserializeOwned>(
        self,
    ) -> Result<Document, StoreError> {
        if self.response.status_code != 200 {
            return Err(self.unexpected());
        }
        serde_json::from_slice(self.response.as_bytes()).map_err(|_| self.unexpected())
    }

    fn version(&self) -> Result<u64, StoreError> {
        let text = self.response.header("x-version");
        text.and_then(|text| text.parse().ok()).ok_or_else(|| self.unexpected())
    }

    /// An answer that is outside the contract tells nothing about a write.
    fn unexpected(&self) -> StoreError {
        unanswered(self.is_write)
    }
}

/// Sorts out answers by which the platform says that it did nothing.
fn check_answered(answer: WholeAnswer) -> Result<WholeAnswer, StoreError> {
    match answer.response.status_code {
        429 => Err(refusal(StoreErrorKind::RateLimited)),
        503 => Err(refusal(StoreErrorKind::Unavailable)),
        _ => Ok(answer),
    }
}

fn refusal(kind: StoreErrorKind) -> StoreError {
    StoreError { kind, ran: RunVerdict::NotRun }
}

fn unanswered(is_write: bool) -> StoreError {
    let ran = if is_write { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
    StoreError { kind: StoreErrorKind::Unavailable, ran }
}

/// Whether the answer has all the bytes that it announced. The client library takes a connection
/// that closes without an answer for a 503 without headers, and a cut body for a whole one.
fn is_whole(response: &Response) -> bool {
    let length: Option<usize> =
        response.header("content-length").and_then(|text| text.trim().parse().ok());
    match length {
        Some(length) => response.as_bytes().len() == length,
        None => matches!(response.status_code, 204 | 304) && !response.headers.is_empty(),
    }
}

fn is_refused(error: &minreq::Error) -> bool {
    matches!(error, minreq::Error::IoError(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

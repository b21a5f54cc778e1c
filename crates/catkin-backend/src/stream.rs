//! An answer to an attempt, read over HTTP.

use std::time::Duration;

use bytes::Bytes;
use catkin_base::{RunVerdict, SseScanner};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

use crate::exchange::HttpExchange;
use crate::headers::CACHED_TOKENS_HEADER;
use crate::idle_limit::IdleLimit;
use crate::{AnswerHead, BackendError, BackendErrorKind, BackendStream};

const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// Maximum size of an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Answer of a backend server over HTTP. The parts of an event stream are complete events.
#[derive(Debug)]
pub struct HttpStream {
    exchange: HttpExchange,
    body: Incoming,
    head: AnswerHead,
    scanner: Option<SseScanner>,
    idle_limit: IdleLimit,
    ran: RunVerdict,
    ended: bool,
}

impl HttpStream {
    /// Creates the stream from an answer whose head was read.
    ///
    /// Fails if the answer is not an event stream and has neither a length nor chunks: without these, a
    /// truncated answer could not be told from a complete one.
    pub(crate) fn open(
        exchange: HttpExchange,
        response: Response<Incoming>,
        idle_timeout: Duration,
    ) -> Result<Self, BackendError> {
        let head = read_head(&response);
        if !head.streamed && !has_detectable_end(&response) {
            log::warn!(
                "backend: answer without a length rejected, because its end cannot be detected"
            );
            return Err(exchange.fail(BackendErrorKind::Broken));
        }
        let scanner = head.streamed.then(|| SseScanner::new(MAX_EVENT_BYTES));
        let body = response.into_body();
        let ran = RunVerdict::MayHaveRun;
        let idle_limit = IdleLimit::new(idle_timeout);
        Ok(Self { exchange, body, head, scanner, idle_limit, ran, ended: false })
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, BackendError> {
        loop {
            let next_frame = self.exchange.drive(self.body.frame());
            let frame = match self.idle_limit.watch(next_frame).await {
                Some(Some(Ok(frame))) => frame,
                Some(Some(Err(_))) => return Err(self.fail(BackendErrorKind::Broken)),
                Some(None) => return Ok(None),
                None => return Err(self.fail(BackendErrorKind::TimedOut)),
            };
            match frame.into_data() {
                Ok(bytes) if !bytes.is_empty() => return Ok(Some(bytes)),
                _ => {}
            }
        }
    }

    async fn next_events(&mut self) -> Result<Option<Bytes>, BackendError> {
        while !self.is_done() {
            let Some(bytes) = self.next_bytes().await? else {
                return Err(self.fail(BackendErrorKind::Broken));
            };
            if let Some(events) = self.scan(bytes)? {
                return Ok(Some(events));
            }
        }
        Ok(None)
    }

    fn is_done(&self) -> bool {
        self.scanner.as_ref().is_some_and(SseScanner::is_done)
    }

    fn scan(&mut self, bytes: Bytes) -> Result<Option<Bytes>, BackendError> {
        let Some(scanner) = &mut self.scanner else {
            return Ok(Some(bytes));
        };
        scanner.push(bytes).map_err(|error| {
            log::warn!("backend: event stream rejected; the attempt fails: {error}");
            BackendError { kind: BackendErrorKind::Broken, ran: self.ran }
        })
    }

    fn record_part(&mut self, part: &Option<Bytes>) {
        match part {
            Some(_) if is_success(self.head.status) => self.ran = RunVerdict::HasRun,
            Some(_) => {}
            None => self.ended = true,
        }
    }

    fn fail(&self, kind: BackendErrorKind) -> BackendError {
        BackendError { kind, ran: self.ran }
    }
}

impl BackendStream for HttpStream {
    fn head(&self) -> &AnswerHead {
        &self.head
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, BackendError> {
        if self.ended {
            return Ok(None);
        }
        let part =
            if self.head.streamed { self.next_events().await } else { self.next_bytes().await }?;
        self.record_part(&part);
        Ok(part)
    }
}

fn read_head(response: &Response<Incoming>) -> AnswerHead {
    let headers = response.headers();
    let content_type = header_text(headers, CONTENT_TYPE.as_str()).unwrap_or("").to_owned();
    let streamed = is_success(response.status().as_u16()) && is_event_stream(&content_type);
    let cached_tokens =
        header_text(headers, CACHED_TOKENS_HEADER).and_then(|text| text.parse().ok());
    AnswerHead { status: response.status().as_u16(), content_type, streamed, cached_tokens }
}

fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    media_type.eq_ignore_ascii_case(EVENT_STREAM_TYPE)
}

fn is_success(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_success())
}

/// Whether an answer has a length or comes in chunks. A body in another transfer encoding ends with its
/// connection.
pub(crate) fn has_detectable_end(response: &Response<Incoming>) -> bool {
    let has_length = response.body().size_hint().exact().is_some();
    has_length || is_chunked(response.headers())
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = encodings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns the text of a header. Returns `None` if the header is missing, repeated or not ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

//! Client of the platform's store, over one persistent connection.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::copy_type;
use catkin_http::{BodyFraming, ResponseHead, determine_response_framing};
use serde::de::IgnoredAny;
use tokio::time::Instant;

use crate::connection::{ExchangeFailure, HttpConnection};
use crate::list_pages::{RepeatedPageError, append_page};
use crate::wire::{EntryWire, StoreKind, StorePage, StoredEntry, WireError};

/// Maximum length of an answer of the store, in bytes. A page has about a megabyte.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Time that the answer to a wait for changes may take beyond the requested wait and the timeout of
/// other answers.
const WATCH_GRACE: Duration = Duration::from_millis(250);
/// Initial timeout of an answer. The store answers within milliseconds, and within some hundreds of
/// milliseconds when it is slow.
const FIRST_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum timeout of an answer.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Maximum wait for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

copy_type! {
    /// Condition and effect of a write.
    pub enum WriteMode {
        /// Creates the object; fails if it exists.
        Create,
        /// Replaces the object at this revision.
        Replace(u64),
    }
}

/// Timeout of answers of the store. It starts short, so that a lost answer costs little time once
/// the store is back, and doubles after each failure, so that a slow store can still answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrowingTimeout(Duration);

impl Default for GrowingTimeout {
    fn default() -> Self {
        Self(FIRST_TIMEOUT)
    }
}

impl GrowingTimeout {
    /// Returns the timeout of the next answer.
    pub fn current(self) -> Duration {
        self.0
    }

    /// Doubles the timeout, up to the maximum.
    pub fn grow(&mut self) {
        self.0 = (self.0 * 2).min(MAX_TIMEOUT);
    }
}

/// A failed call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreCallError {
    /// The store did not answer; a write may have been applied.
    #[error("the store did not answer: {0:?}")]
    Unanswered(ExchangeFailure),
    /// The store refused the call with this status; nothing was changed.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The store was restored from a copy since the last answer, so that what was known of it may be
    /// lost there; nothing is known of the call.
    #[error("the store was restored from a copy: era {era}, before {before}")]
    Restored {
        /// Era of the store before.
        before: u64,
        /// Era of this answer.
        era: u64,
    },
    /// The answer is from an era before that of an earlier answer; it is ignored.
    #[error("the answer is from era {0}, before that of an earlier answer")]
    OutdatedEra(u64),
    /// The store no longer has the changes after the revision of a wait.
    #[error("the store no longer has the changes after the requested revision")]
    HistoryGone,
    /// The object exists already, or has another revision. Holds the object if the answer contains
    /// it.
    #[error("the object exists already or has another revision than the write requires")]
    Conflict(Option<StoredEntry>),
    /// The answer cannot be decoded.
    #[error(transparent)]
    Unreadable(#[from] WireError),
    /// A list makes no progress.
    #[error(transparent)]
    Repeated(#[from] RepeatedPageError),
}

/// Client of the store, which makes one call at a time.
#[derive(Debug)]
pub struct StoreClient<W> {
    address: SocketAddr,
    connection: Option<HttpConnection>,
    /// Whether the last call used a connection on which another one was answered.
    has_reused: bool,
    /// Era of the latest answer; `None` before the first one.
    era: Option<u64>,
    wire: PhantomData<W>,
}

struct StoreAnswer {
    status: u16,
    era: u64,
    body: Bytes,
}

impl<W: EntryWire> StoreClient<W> {
    /// Creates a client. The first call connects it.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None, has_reused: false, era: None, wire: PhantomData }
    }

    /// Whether the last call used a connection on which another one was answered. If it got no answer, the connection
    /// may have failed at any time since that answer.
    pub fn has_reused(&self) -> bool {
        self.has_reused
    }

    /// Closes the connection. The next call opens another one.
    pub fn reset(&mut self) {
        self.connection = None;
    }

    /// Lists all objects of a kind, page by page.
    pub async fn list(
        &mut self,
        kind: StoreKind,
        timeout: Duration,
    ) -> Result<StorePage, StoreCallError> {
        let mut list = self.list_first(kind, timeout).await?;
        while list.has_more {
            self.list_next(kind, &mut list, timeout).await?;
        }
        Ok(list)
    }

    /// Lists the first page of objects of a kind.
    pub async fn list_first(
        &mut self,
        kind: StoreKind,
        timeout: Duration,
    ) -> Result<StorePage, StoreCallError> {
        self.list_page(kind, None, timeout).await
    }

    /// Appends the next page to `list`, as [`append_page`].
    pub async fn list_next(
        &mut self,
        kind: StoreKind,
        list: &mut StorePage,
        timeout: Duration,
    ) -> Result<(), StoreCallError> {
        let after = list.names.last().map(String::as_str);
        let page = self.list_page(kind, after, timeout).await?;
        Ok(append_page(list, page)?)
    }

    async fn list_page(
        &mut self,
        kind: StoreKind,
        after: Option<&str>,
        timeout: Duration,
    ) -> Result<StorePage, StoreCallError> {
        let target = W::list_target(kind, after);
        let answer = self.call("GET", &target, None, timeout).await?;
        check_status(answer.status)?;
        let page = W::decode_list(&answer.body)?;
        log_unreadable(kind, &page);
        Ok(StorePage { era: answer.era, ..page })
    }

    /// Waits until an object of a kind changes after `revision`, at most `wait`. The answer fails if
    /// it takes `timeout` and some grace time longer. With `allow_stale`, which costs the store less,
    /// changes may be returned seconds late.
    pub async fn watch(
        &mut self,
        kind: StoreKind,
        revision: u64,
        wait: Duration,
        timeout: Duration,
        allow_stale: bool,
    ) -> Result<StorePage, StoreCallError> {
        let target = W::watch_target(kind, revision, wait.as_millis() as u64, allow_stale);
        let answer = self.call("GET", &target, None, wait + timeout + WATCH_GRACE).await?;
        check_status(answer.status)?;
        let page = W::decode_changes(&answer.body)?;
        log_unreadable(kind, &page);
        Ok(StorePage { era: answer.era, ..page })
    }

    /// Reads one object. With `allow_stale`, which costs the store less, the object may be seconds
    /// old.
    pub async fn get(
        &mut self,
        kind: StoreKind,
        name: &str,
        allow_stale: bool,
        timeout: Duration,
    ) -> Result<Option<StoredEntry>, StoreCallError> {
        let target = W::read_target(kind, name, allow_stale);
        let answer = self.call("GET", &target, None, timeout).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        check_status(answer.status)?;
        Ok(Some(W::decode_object(&answer.body)?))
    }

    /// Writes one object, as [`Self::write`].
    pub async fn put(
        &mut self,
        kind: StoreKind,
        name: &str,
        content: &str,
        mode: WriteMode,
        timeout: Duration,
    ) -> Result<(), StoreCallError> {
        self.write(kind, name, content, mode, timeout).await.map(|_| ())
    }

    /// Writes one object and returns its revision, if the answer has it. Fails with
    /// [`StoreCallError::Conflict`] if the condition of `mode` does not hold.
    pub async fn write(
        &mut self,
        kind: StoreKind,
        name: &str,
        content: &str,
        mode: WriteMode,
        timeout: Duration,
    ) -> Result<Option<u64>, StoreCallError> {
        let (method, target, revision) = match mode {
            WriteMode::Create => ("POST", W::collection_target(kind), None),
            WriteMode::Replace(revision) => ("PUT", W::object_target(kind, name), Some(revision)),
        };
        let body = W::encode_object(name, revision, content);
        let answer = self.call(method, &target, Some(&body), timeout).await?;
        check_status(answer.status).map_err(|error| match error {
            StoreCallError::Conflict(_) => {
                StoreCallError::Conflict(W::decode_object(&answer.body).ok())
            }
            other => other,
        })?;
        Ok(W::decode_object(&answer.body).ok().map(|entry| entry.revision))
    }

    /// Deletes one object, only at `revision` if that is given. The store may execute the call seconds
    /// later, if it does not answer.
    pub async fn delete(
        &mut self,
        kind: StoreKind,
        name: &str,
        revision: Option<u64>,
        timeout: Duration,
    ) -> Result<(), StoreCallError> {
        let target = W::delete_target(kind, name, revision);
        let answer = self.call("DELETE", &target, None, timeout).await?;
        check_status(answer.status)
    }

    async fn call(
        &mut self,
        method: &str,
        target: &str,
        body: Option<&str>,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreCallError> {
        metrics::counter!("catkin_entry_store_calls_total").increment(1);
        let deadline = Instant::now() + timeout;
        let request = encode_request(method, target, self.address, body);
        let mut connection = self.take_connection(deadline).await?;
        // The connection is reused only after a complete answer, since a lost answer never arrives.
        let exchanged = connection.exchange(&request, None, false, deadline).await;
        let head = exchanged.map_err(|error| StoreCallError::Unanswered(error.failure))?;
        // A long answer may take longer than the timeout, as long as bytes arrive.
        let read = connection.read_flowing_body(MAX_ANSWER_BYTES, timeout).await;
        let body = read.map_err(StoreCallError::Unanswered)?;
        if connection.is_reusable() {
            self.connection = Some(connection);
        }
        if !is_whole_answer(&head, &body) {
            log::info!(
                "store: answer without a length ended early; its effect is unknown. status={} bytes={}",
                head.status,
                body.len()
            );
            return Err(StoreCallError::Unanswered(ExchangeFailure::Broken));
        }
        let era = self.check_era(&head)?;
        Ok(StoreAnswer { status: head.status, era, body })
    }

    /// Reads the era of an answer. One that states none is in the era of those before, at first 0.
    /// Fails if the era is not that of the answers before.
    fn check_era(&mut self, head: &ResponseHead) -> Result<u64, StoreCallError> {
        let name = W::HEADERS.store_era;
        let era = match head.fields.text(name) {
            Some(text) => text.parse().map_err(|_| WireError {
                what: "answer of the store".to_owned(),
                reason: format!("field {name} is {text:?}, not a whole number"),
            })?,
            None => return Ok(self.era.unwrap_or(0)),
        };
        let before = self.era.unwrap_or(era);
        self.era = Some(before.max(era));
        match era.cmp(&before) {
            Ordering::Greater => Err(StoreCallError::Restored { before, era }),
            Ordering::Less => Err(StoreCallError::OutdatedEra(era)),
            Ordering::Equal => Ok(era),
        }
    }

    async fn take_connection(
        &mut self,
        deadline: Instant,
    ) -> Result<HttpConnection, StoreCallError> {
        let idle = self.connection.take().filter(HttpConnection::is_idle);
        self.has_reused = idle.is_some();
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connected = HttpConnection::connect(self.address, deadline).await;
        connected.map_err(|error| {
            log::debug!("store: connection failed. address={} error={error}", self.address);
            StoreCallError::Unanswered(ExchangeFailure::Unreachable)
        })
    }
}

fn log_unreadable(kind: StoreKind, page: &StorePage) {
    if page.unreadable > 0 {
        log::warn!(
            "store: objects cannot be read; ignoring them. kind={kind:?} objects={} read={}",
            page.unreadable,
            page.entries.len()
        );
    }
}

fn encode_request(method: &str, target: &str, host: SocketAddr, body: Option<&str>) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    if let Some(body) = body {
        text.push_str("Content-Type: application/json\r\n");
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body.unwrap_or_default());
    text.into_bytes()
}

/// Whether an answer that was read to its end is whole. One with neither a length nor chunks ends with its
/// connection and is whole only with the end of its JSON object.
fn is_whole_answer(head: &ResponseHead, body: &[u8]) -> bool {
    if determine_response_framing(head, false) != Ok(BodyFraming::UntilClose) {
        return true;
    }
    // Bytes that are no UTF-8 concern the content of one object, not its end.
    let text = String::from_utf8_lossy(body);
    serde_json::from_str::<BTreeMap<String, IgnoredAny>>(&text).is_ok()
}

fn check_status(status: u16) -> Result<(), StoreCallError> {
    match status {
        200..=299 => Ok(()),
        409 => Err(StoreCallError::Conflict(None)),
        410 => Err(StoreCallError::HistoryGone),
        _ => Err(StoreCallError::Refused(status)),
    }
}

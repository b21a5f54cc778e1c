//! Calls to the platform's store over one kept connection.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::copy_type;
use tokio::time::Instant;

use crate::channel::{ExchangeFault, HttpChannel};
use crate::wire::{EntryWire, StoreKind, StorePage, StoredEntry, WireError};

/// Longest answer of the store, in bytes: a page of about a megabyte.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// How long the end of a wait for changes may be overdue.
const WATCH_PATIENCE: Duration = Duration::from_millis(1_500);
/// First and longest wait for an answer. The store answers in milliseconds, and in some hundreds
/// when it is slow.
const FIRST_PATIENCE: Duration = Duration::from_millis(350);
const LONGEST_PATIENCE: Duration = Duration::from_millis(2_800);
/// Longest wait for a connection to the store.
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

/// How long to wait for the store's answer: a little at first, so that a lost answer costs little
/// when the store is back, and twice as long after each failure, so that a slow store is heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrowingTimeout(Duration);

impl Default for GrowingTimeout {
    fn default() -> Self {
        Self(FIRST_PATIENCE)
    }
}

impl GrowingTimeout {
    /// The wait for the next answer.
    pub fn current(self) -> Duration {
        self.0
    }

    /// Waits longer from now on.
    pub fn grow(&mut self) {
        self.0 = (self.0 * 2).min(LONGEST_PATIENCE);
    }
}

/// A failed call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreCallError {
    /// The store did not answer; a write may have been done.
    #[error("the store did not answer: {0:?}")]
    Unanswered(ExchangeFault),
    /// The store refused the call for now; nothing was done.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The history that a wait needs is gone.
    #[error("the store's history is gone")]
    HistoryGone,
    /// The object exists already, or has another revision: what it is, if the answer says so.
    #[error("the object is not as the write requires")]
    Conflict(Option<StoredEntry>),
    /// The answer can't be read.
    #[error(transparent)]
    Unreadable(#[from] WireError),
}

/// Client of the store. One call at a time.
#[derive(Debug)]
pub struct StoreClient<W> {
    address: SocketAddr,
    channel: Option<HttpChannel>,
    wire: PhantomData<W>,
}

struct StoreAnswer {
    status: u16,
    body: Bytes,
}

impl<W: EntryWire> StoreClient<W> {
    /// A client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, channel: None, wire: PhantomData }
    }

    /// Closes the connection, so that the next call opens another one.
    pub fn reset(&mut self) {
        self.channel = None;
    }

    /// Lists all objects of a kind.
    pub async fn list(
        &mut self,
        kind: StoreKind,
        patience: Duration,
    ) -> Result<StorePage, StoreCallError> {
        let mut whole = self.list_page(kind, None, patience).await?;
        while whole.has_more {
            let after = whole.entries.last().map(|entry| entry.name.clone());
            let page = self.list_page(kind, after.as_deref(), patience).await?;
            // Changes between two pages are found from the first page's revision on.
            whole.has_more = page.has_more && !page.entries.is_empty();
            whole.entries.extend(page.entries);
        }
        Ok(whole)
    }

    async fn list_page(
        &mut self,
        kind: StoreKind,
        after: Option<&str>,
        patience: Duration,
    ) -> Result<StorePage, StoreCallError> {
        let target = W::list_target(kind, after);
        let answer = self.call("GET", &target, None, patience).await?;
        check_status(answer.status)?;
        Ok(W::decode_list(&answer.body)?)
    }

    /// Waits until something of a kind changes after `revision`, at most `wait`. A cheap wait may
    /// show changes seconds late.
    pub async fn watch(
        &mut self,
        kind: StoreKind,
        revision: u64,
        wait: Duration,
        cheap: bool,
    ) -> Result<StorePage, StoreCallError> {
        let target = W::watch_target(kind, revision, wait.as_millis() as u64, cheap);
        let answer = self.call("GET", &target, None, wait + WATCH_PATIENCE).await?;
        check_status(answer.status)?;
        Ok(W::decode_changes(&answer.body)?)
    }

    /// Reads one object. A cheap read may show it as it was seconds ago.
    pub async fn get(
        &mut self,
        kind: StoreKind,
        name: &str,
        cheap: bool,
        patience: Duration,
    ) -> Result<Option<StoredEntry>, StoreCallError> {
        let target = W::read_target(kind, name, cheap);
        let answer = self.call("GET", &target, None, patience).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        check_status(answer.status)?;
        Ok(Some(W::decode_object(&answer.body)?))
    }

    /// Writes one object.
    pub async fn put(
        &mut self,
        kind: StoreKind,
        name: &str,
        content: &str,
        mode: WriteMode,
        patience: Duration,
    ) -> Result<(), StoreCallError> {
        let (method, target, revision) = match mode {
            WriteMode::Create => ("POST", W::collection_target(kind), None),
            WriteMode::Replace(revision) => ("PUT", W::object_target(kind, name), Some(revision)),
        };
        let body = W::encode_object(name, revision, content);
        let answer = self.call(method, &target, Some(&body), patience).await?;
        check_status(answer.status).map_err(|fault| match fault {
            StoreCallError::Conflict(_) => {
                StoreCallError::Conflict(W::decode_object(&answer.body).ok())
            }
            other => other,
        })
    }

    /// Deletes one object.
    pub async fn delete(
        &mut self,
        kind: StoreKind,
        name: &str,
        patience: Duration,
    ) -> Result<(), StoreCallError> {
        let target = W::object_target(kind, name);
        let answer = self.call("DELETE", &target, None, patience).await?;
        check_status(answer.status)
    }

    async fn call(
        &mut self,
        method: &str,
        target: &str,
        body: Option<&str>,
        patience: Duration,
    ) -> Result<StoreAnswer, StoreCallError> {
        metrics::counter!("catkin_entry_store_calls_total").increment(1);
        let deadline = Instant::now() + patience;
        let request = encode_request(method, target, self.address, body);
        let mut channel = self.take_channel(deadline).await?;
        // The connection is kept only after a whole answer: a lost one never comes.
        let exchanged = channel.exchange(&request, None, false, deadline).await;
        let head = exchanged.map_err(|error| StoreCallError::Unanswered(error.fault))?;
        let read = channel.read_body(MAX_ANSWER_BYTES, deadline).await;
        let body = read.map_err(StoreCallError::Unanswered)?;
        if channel.is_reusable() {
            self.channel = Some(channel);
        }
        Ok(StoreAnswer { status: head.status, body })
    }

    async fn take_channel(&mut self, deadline: Instant) -> Result<HttpChannel, StoreCallError> {
        if let Some(channel) = self.channel.take().filter(HttpChannel::is_quiet) {
            return Ok(channel);
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connected = HttpChannel::connect(self.address, deadline).await;
        connected.map_err(|error| {
            log::debug!("store: Not reached. address={} error={error}", self.address);
            StoreCallError::Unanswered(ExchangeFault::Unreachable)
        })
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

fn check_status(status: u16) -> Result<(), StoreCallError> {
    match status {
        200..=299 => Ok(()),
        409 => Err(StoreCallError::Conflict(None)),
        410 => Err(StoreCallError::HistoryGone),
        _ => Err(StoreCallError::Refused(status)),
    }
}

//! Operators' side of evacuations: sets, ends and lists their entries in the store, and reads from
//! routers since when they obey them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use catkin_base::copy_type;
use catkin_http::{BodyFraming, determine_response_framing};
use tokio::time::Instant;

use crate::connection::{ExchangeFailure, HttpConnection};
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient, WriteMode};
use crate::wire::{EntryWire, StoreKind};

/// Name of the gauge of the time since which a router obeys an evacuation.
const OBEYED_METRIC: &str = "catkin_entry_evacuation_obeyed_unix_millis";
/// Content of an evacuation's entry.
const ENTRY_CONTENT: &str = "{}";
/// Number of attempts of a call that gets no answer.
const MAX_ATTEMPTS: u32 = 6;
/// Maximum time in which a router answers.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a router's metrics, in bytes.
const MAX_METRICS_BYTES: usize = 4 << 20;

copy_type! {
    /// Effect of a change of an evacuation.
    pub enum EvacuationWrite {
        /// The store accepted the change.
        Changed,
        /// The entry was so already.
        Unchanged,
    }
}

/// Sets the gauge of the time since which this router obeys an evacuation, in milliseconds since the Unix
/// epoch; `None` after its end.
pub fn record_evacuation_obeyed(domain: &str, obeyed_unix_millis: Option<u64>) {
    let millis = obeyed_unix_millis.unwrap_or(0) as f64;
    metrics::gauge!(OBEYED_METRIC, "domain" => domain.to_owned()).set(millis);
}

/// Reads the evacuations that a router obeys from the text of its metrics: failure domains, and since when,
/// in milliseconds since the Unix epoch.
pub fn parse_obeyed_evacuations(metrics: &str) -> BTreeMap<String, u64> {
    let rows = metrics.lines().filter_map(|line| {
        let labels = line.strip_prefix(OBEYED_METRIC)?.strip_prefix("{domain=\"")?;
        let (domain, value) = labels.rsplit_once("\"} ")?;
        let millis = value.trim().parse::<f64>().ok()? as u64;
        (millis > 0).then(|| (domain.to_owned(), millis))
    });
    rows.collect()
}

/// Reads from a router's metrics listener which evacuations it obeys, and since when. Metrics with neither a
/// length nor chunks may be a part, and fail.
pub async fn read_obeyed_evacuations(
    address: SocketAddr,
) -> Result<BTreeMap<String, u64>, ExchangeFailure> {
    let deadline = Instant::now() + ROUTER_TIMEOUT;
    let connected = HttpConnection::connect(address, deadline).await;
    let mut connection = connected.map_err(|_| ExchangeFailure::Unreachable)?;
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let exchanged = connection.exchange(request.as_bytes(), None, false, deadline).await;
    let head = exchanged.map_err(|error| error.failure)?;
    if determine_response_framing(&head, false) == Ok(BodyFraming::UntilClose) {
        return Err(ExchangeFailure::Broken);
    }
    let body = connection.read_body(MAX_METRICS_BYTES, deadline).await?;
    match (head.status, std::str::from_utf8(&body)) {
        (200, Ok(text)) => Ok(parse_obeyed_evacuations(text)),
        _ => Err(ExchangeFailure::Garbled),
    }
}

/// Changes and lists evacuations. Calls that get no answer are repeated: each leads to the same state.
#[derive(Debug)]
pub struct EvacuationClient<W> {
    client: StoreClient<W>,
    timeout: GrowingTimeout,
}

impl<W: EntryWire> EvacuationClient<W> {
    /// Creates a client of the store at an address.
    pub fn new(store: SocketAddr) -> Self {
        Self { client: StoreClient::new(store), timeout: GrowingTimeout::default() }
    }

    /// Evacuates a failure domain.
    pub async fn set(&mut self, domain: &str) -> Result<EvacuationWrite, StoreCallError> {
        let kind = StoreKind::Evacuations;
        let mut attempts = 0;
        loop {
            let timeout = self.timeout.current();
            let written =
                self.client.put(kind, domain, ENTRY_CONTENT, WriteMode::Create, timeout).await;
            match written {
                Ok(()) => return Ok(EvacuationWrite::Changed),
                Err(StoreCallError::Conflict(_)) => return Ok(EvacuationWrite::Unchanged),
                Err(error) => self.check_retry(error, &mut attempts)?,
            }
        }
    }

    /// Ends the evacuation of a failure domain, but not one that is set later.
    pub async fn end(&mut self, domain: &str) -> Result<EvacuationWrite, StoreCallError> {
        let kind = StoreKind::Evacuations;
        let mut attempts = 0;
        loop {
            let timeout = self.timeout.current();
            let revision = match self.client.get(kind, domain, false, timeout).await {
                Ok(Some(entry)) => Some(entry.revision),
                Ok(None) => return Ok(EvacuationWrite::Unchanged),
                Err(error) => {
                    self.check_retry(error, &mut attempts)?;
                    continue;
                }
            };
            match self.client.delete(kind, domain, revision, timeout).await {
                Ok(()) => return Ok(EvacuationWrite::Changed),
                Err(StoreCallError::Refused(404)) => return Ok(EvacuationWrite::Unchanged),
                Err(error) => self.check_retry(error, &mut attempts)?,
            }
        }
    }

    /// Names of the evacuated failure domains.
    pub async fn list(&mut self) -> Result<BTreeSet<String>, StoreCallError> {
        let mut attempts = 0;
        loop {
            let timeout = self.timeout.current();
            match self.client.list(StoreKind::Evacuations, timeout).await {
                Ok(page) => return Ok(page.entries.into_iter().map(|entry| entry.name).collect()),
                Err(error) => self.check_retry(error, &mut attempts)?,
            }
        }
    }

    /// Failure domains that have servers.
    pub async fn list_domains(&mut self) -> Result<BTreeSet<String>, StoreCallError> {
        let mut attempts = 0;
        let page = loop {
            let timeout = self.timeout.current();
            match self.client.list(StoreKind::Servers, timeout).await {
                Ok(page) => break page,
                Err(error) => self.check_retry(error, &mut attempts)?,
            }
        };
        let servers = page.entries.iter().filter_map(|entry| W::decode_server(&entry.content).ok());
        Ok(servers.map(|server| server.domain).collect())
    }

    /// Returns the error of a call unless it is to be made again.
    fn check_retry(
        &mut self,
        error: StoreCallError,
        attempts: &mut u32,
    ) -> Result<(), StoreCallError> {
        *attempts += 1;
        let may_pass = matches!(
            error,
            StoreCallError::Unanswered(_)
                | StoreCallError::Restored { .. }
                | StoreCallError::OutdatedEra(_)
        );
        if !may_pass || *attempts >= MAX_ATTEMPTS {
            return Err(error);
        }
        self.client.reset();
        self.timeout.grow();
        Ok(())
    }
}

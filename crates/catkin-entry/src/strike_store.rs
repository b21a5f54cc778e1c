//! Keeps quarantined content in the store, so that it stays refused when all routers end at once.
//! Content that turns out to be sound is removed.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkin_base::RequestDigest;
use tokio::time::sleep;

use crate::state::{EntryState, StrikeSource};
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient, WriteMode};
use crate::wire::{EntryWire, StoreKind, StrikeRecord};

/// Time for other routers to report that the content was answered, before it is stored.
const ANSWER_WAIT: Duration = Duration::from_millis(400);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of attempts to write one object. Other routers know the strikes, too.
const MAX_WRITES: u32 = 20;
/// Age from which an object counts no longer and is removed by a router that starts.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Reads the quarantined content at the start, then writes what is quarantined, until dropped.
pub(crate) async fn follow_strikes<W: EntryWire>(state: Rc<EntryState<W>>) {
    let mut store =
        StrikeStore { client: StoreClient::new(state.settings().store), state: Rc::clone(&state) };
    store.load().await;
    loop {
        let queued = state.unstored_strikes_change.notified();
        let digests = std::mem::take(&mut *state.unstored_strikes.borrow_mut());
        let refuted = std::mem::take(&mut *state.refuted_strikes.borrow_mut());
        if digests.is_empty() && refuted.is_empty() {
            queued.await;
            continue;
        }
        for digest in refuted {
            store.remove(&digest.to_string()).await;
        }
        if !digests.is_empty() {
            sleep(ANSWER_WAIT).await;
        }
        for digest in digests {
            if state.strikes.borrow().state(state.now(), digest).hold_millis > 0 {
                store.write(digest).await;
            }
        }
    }
}

struct StrikeStore<W> {
    client: StoreClient<W>,
    state: Rc<EntryState<W>>,
}

impl<W: EntryWire> StrikeStore<W> {
    /// Reads all objects; retries until the store answers.
    async fn load(&mut self) {
        let mut timeout = GrowingTimeout::default();
        let page = loop {
            match self.client.list(StoreKind::Strikes, timeout.current()).await {
                Ok(page) => break page,
                Err(error) => {
                    log::info!(
                        "strikes: reading quarantined content failed; retrying after a delay. \
                         error={error}"
                    );
                    timeout.grow();
                    self.client.reset();
                    sleep(RETRY_DELAY).await;
                }
            }
        };
        for entry in page.entries {
            let record = match W::decode_strikes(&entry.content) {
                Ok(record) => record,
                Err(error) => {
                    log::warn!(
                        "strikes: quarantined content ignored; it cannot be decoded. name={} \
                         error={error}",
                        entry.name
                    );
                    continue;
                }
            };
            if is_expired(&record) {
                self.remove(&entry.name).await;
                continue;
            }
            self.state.stored_strikes.borrow_mut().insert(record.digest);
            for server in record.servers {
                self.state.record_strike(record.digest, server, StrikeSource::Store);
                // Routers that have answered the content say so.
                self.state.updates.borrow_mut().strikes.push((record.digest, server));
            }
        }
    }

    async fn remove(&mut self, name: &str) {
        let timeout = GrowingTimeout::default().current();
        if let Err(error) = self.client.delete(StoreKind::Strikes, name, timeout).await {
            log::info!(
                "strikes: object not removed; a router that starts after it has expired removes it. \
                 name={name} \
                 error={error}"
            );
        }
    }

    /// Writes the strikes against quarantined content. Another router may have written them.
    async fn write(&mut self, digest: RequestDigest) {
        let servers = self.state.strikes.borrow().servers(digest);
        let record = StrikeRecord { digest, servers, written_unix_millis: unix_millis() };
        let content = W::encode_strikes(&record);
        let name = digest.to_string();
        let mut timeout = GrowingTimeout::default();
        for _ in 0..MAX_WRITES {
            let mode = WriteMode::Create;
            match self
                .client
                .put(StoreKind::Strikes, &name, &content, mode, timeout.current())
                .await
            {
                Ok(()) | Err(StoreCallError::Conflict(_)) => {
                    log::info!("strikes: quarantined content stored. digest={digest}");
                    self.state.stored_strikes.borrow_mut().insert(digest);
                    return;
                }
                Err(error) => {
                    log::info!(
                        "strikes: storing quarantined content failed; retrying after a delay. \
                         digest={digest} error={error}"
                    );
                    timeout.grow();
                    self.client.reset();
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        log::warn!(
            "strikes: quarantined content not stored; routers forget it if all end at once. \
             digest={digest}"
        );
    }
}

fn is_expired(record: &StrikeRecord) -> bool {
    let written = Duration::from_millis(record.written_unix_millis);
    Duration::from_millis(unix_millis()).saturating_sub(written) > MAX_AGE
}

fn unix_millis() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or(Duration::ZERO).as_millis() as u64
}

//! Keeps quarantined content in the store, so that it stays refused when all routers end at once.
//! Content that turns out to be sound is removed.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkin_policy::QuarantinedPart;
use tokio::time::sleep;

use crate::crash_book::{CrashSource, QuarantineKey};
use crate::state::EntryState;
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
        let queued = state.crash_store_change.notified();
        let (quarantined, refuted) = state.crashes.borrow_mut().drain_store_changes();
        if quarantined.is_empty() && refuted.is_empty() {
            queued.await;
            continue;
        }
        for key in refuted {
            store.remove(&object_name(key)).await;
        }
        if !quarantined.is_empty() {
            sleep(ANSWER_WAIT).await;
        }
        for key in quarantined {
            if state.crashes.borrow().is_quarantined(state.now(), key) {
                store.write(key).await;
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
            self.load_record(record);
        }
    }

    /// Records what was stored, and reports it to the other routers: those that have answered the
    /// content say so.
    fn load_record(&self, record: StrikeRecord) {
        let state = &self.state;
        state.crashes.borrow_mut().record_stored(record.key);
        match record.key {
            QuarantineKey::Content(digest) => {
                for server in record.servers {
                    state.record_strike(digest, server, CrashSource::Store);
                    state.updates.borrow_mut().crashes.strikes.push((digest, server));
                }
            }
            QuarantineKey::Part(part) => {
                let together = record.together;
                let quarantine = QuarantinedPart {
                    part,
                    together,
                    holds: 1,
                    hold_millis: u64::MAX,
                    on_trial: false,
                };
                state.record_quarantine(&quarantine, CrashSource::Store);
                state.updates.borrow_mut().crashes.quarantined.push(quarantine);
            }
        }
    }

    async fn remove(&mut self, name: &str) {
        let timeout = GrowingTimeout::default().current();
        if let Err(error) = self.client.delete(StoreKind::Strikes, name, None, timeout).await {
            log::info!(
                "strikes: object not removed; a router that starts after it has expired removes it. \
                 name={name} \
                 error={error}"
            );
        }
    }

    /// Writes what is quarantined. Another router may have written it.
    async fn write(&mut self, key: QuarantineKey) {
        let servers = self.state.crashes.borrow().servers(key);
        let together = match key {
            QuarantineKey::Content(_) => Vec::new(),
            QuarantineKey::Part(part) => {
                let quarantine = self.state.crashes.borrow().quarantine(self.state.now(), part);
                quarantine.map(|quarantine| quarantine.together).unwrap_or_default()
            }
        };
        let record = StrikeRecord { key, together, servers, written_unix_millis: unix_millis() };
        let content = W::encode_strikes(&record);
        let name = object_name(key);
        let mut timeout = GrowingTimeout::default();
        for _ in 0..MAX_WRITES {
            let mode = WriteMode::Create;
            match self
                .client
                .put(StoreKind::Strikes, &name, &content, mode, timeout.current())
                .await
            {
                Ok(()) | Err(StoreCallError::Conflict(_)) => {
                    log::info!("strikes: quarantined content stored. name={name}");
                    self.state.crashes.borrow_mut().record_stored(key);
                    return;
                }
                Err(error) => {
                    log::info!(
                        "strikes: storing quarantined content failed; retrying after a delay. \
                         name={name} error={error}"
                    );
                    timeout.grow();
                    self.client.reset();
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        log::warn!(
            "strikes: quarantined content not stored; routers forget it if all end at once. \
             name={name}"
        );
    }
}

/// Name of the object that holds a quarantine.
fn object_name(key: QuarantineKey) -> String {
    match key {
        QuarantineKey::Content(digest) => digest.to_string(),
        QuarantineKey::Part(part) => part.to_string(),
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

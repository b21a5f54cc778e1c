//! Follows the declarations and the servers in the store.

use std::rc::Rc;
use std::time::Duration;

use catkin_base::ClockTime;
use catkin_policy::BackoffPlan;
use tokio::time::{Instant, sleep};

use crate::route_table::RouteTable;
use crate::server_book::ServerChange;
use crate::state::EntryState;
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient};
use crate::wire::{EntryWire, StoreKind, StorePage, StoredEntry};

/// Length of one wait for changes. Other routers' reports show sooner that a wait went silent.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// First and longest pause after a failed call, in milliseconds.
const FIRST_PAUSE_MILLIS: u64 = 60;
const LONGEST_PAUSE_MILLIS: u64 = 600;
/// How long after a failed call missing servers are given time to come back, in milliseconds.
const UNSETTLED_MILLIS: u64 = 2_500;
/// How long changes are left to gather before the next wait. Servers enter, leave and are removed
/// one after the other within tens of milliseconds.
const GATHERING_PAUSE: Duration = Duration::from_millis(60);
/// The same at a router whose waits may show changes late anyway.
const CHEAP_GATHERING_PAUSE: Duration = Duration::from_millis(1_200);
/// How long news of a newer version may be ahead of the own wait before it is asked anew.
const STALE_PAUSE: Duration = Duration::from_millis(250);
/// The same for the servers at a router whose waits may show changes late: they change often, and
/// departures are told by the other routers.
const CHEAP_STALE_PAUSE: Duration = Duration::from_millis(1_000);

/// Follows one kind until dropped.
pub(crate) async fn follow_kind<W: EntryWire>(state: Rc<EntryState<W>>, kind: StoreKind) {
    let address = state.settings().store;
    let mut follower = StoreFollower {
        client: StoreClient::new(address),
        kind,
        revision: None,
        failed_at: None,
        backoff: BackoffPlan::new(FIRST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS),
        patience: GrowingTimeout::default(),
        state,
    };
    loop {
        if let Err(fault) = follower.step().await {
            follower.note_fault(&fault).await;
        }
    }
}

struct StoreFollower<W> {
    state: Rc<EntryState<W>>,
    client: StoreClient<W>,
    kind: StoreKind,
    /// Revision up to which changes are known; `None` before the first list.
    revision: Option<u64>,
    failed_at: Option<ClockTime>,
    backoff: BackoffPlan,
    patience: GrowingTimeout,
}

impl<W: EntryWire> StoreFollower<W> {
    async fn step(&mut self) -> Result<(), StoreCallError> {
        match self.revision {
            None => {
                let page = self.client.list(self.kind, self.patience.current()).await?;
                self.note_answer();
                self.apply_list(page);
            }
            Some(revision) => {
                let state = Rc::clone(&self.state);
                let cheap = !state.reads_fresh.get();
                let watching = self.client.watch(self.kind, revision, WATCH_WAIT, cheap);
                let page = tokio::select! {
                    page = watching => page?,
                    () = state.process_resumed.notified() => {
                        self.client.reset();
                        self.revision = None;
                        return Ok(());
                    }
                    () = wait_until_stale(&state, self.kind) => {
                        log::info!("store: Asks anew, others know more. kind={:?}", self.kind);
                        self.client.reset();
                        self.revision = None;
                        return Ok(());
                    }
                };
                self.note_answer();
                let changed = !page.entries.is_empty();
                self.apply_changes(page);
                if changed {
                    sleep(self.gathering_pause()).await;
                }
            }
        }
        Ok(())
    }

    /// How long further changes are left to gather, so that one call shows them all.
    fn gathering_pause(&self) -> Duration {
        let cheap = !self.state.reads_fresh.get() && self.kind == StoreKind::Servers;
        if cheap { CHEAP_GATHERING_PAUSE } else { GATHERING_PAUSE }
    }

    fn note_answer(&mut self) {
        self.backoff.reset();
        self.tell_failing(false);
        self.patience = GrowingTimeout::default();
        if self.failed_at.is_some() && self.is_settled() {
            log::info!("store: Settled. kind={:?}", self.kind);
            self.failed_at = None;
        }
    }

    fn tell_failing(&self, fails: bool) {
        if self.kind == StoreKind::Declarations {
            self.state.store_failing.set(fails);
        }
    }

    fn is_settled(&self) -> bool {
        let now = self.state.now();
        self.failed_at.is_none_or(|at| now.millis_since(at) > UNSETTLED_MILLIS)
    }

    async fn note_fault(&mut self, fault: &StoreCallError) {
        log::warn!("store: A call failed. kind={:?} error={fault}", self.kind);
        metrics::counter!("catkin_entry_store_failures_total").increment(1);
        self.client.reset();
        self.patience.grow();
        // After a failed call the wait may have missed changes that the store forgot.
        self.revision = None;
        let fails = *fault != StoreCallError::HistoryGone;
        self.tell_failing(fails);
        if fails {
            self.failed_at = Some(self.state.now());
            let pause = self.backoff.next_delay(&mut rand::rng());
            sleep(Duration::from_millis(pause)).await;
        }
    }

    fn apply_list(&mut self, page: StorePage) {
        self.revision = Some(page.revision);
        match self.kind {
            StoreKind::Servers => {
                let now = self.state.now();
                let entries = page.entries.into_iter();
                let entries = entries.map(|entry| {
                    let record = read_server::<W>(&entry);
                    (entry.name, entry.revision, record)
                });
                let entries = entries.collect();
                let settled = self.is_settled();
                let mut servers = self.state.servers.borrow_mut();
                let changes = servers.note_list(now, page.revision, entries, settled);
                drop(servers);
                log::info!(
                    "store: Servers listed. revision={} changes={} settled={settled}",
                    page.revision,
                    changes.len()
                );
                self.apply_server_changes(&changes);
            }
            _ => self.apply_declarations(page.entries),
        }
    }

    fn apply_changes(&mut self, page: StorePage) {
        self.revision = Some(page.revision);
        if self.kind != StoreKind::Servers {
            return self.apply_declarations(page.entries);
        }
        let now = self.state.now();
        let settled = self.is_settled();
        let mut changes = Vec::new();
        let mut servers = self.state.servers.borrow_mut();
        for entry in &page.entries {
            let change = if entry.removed {
                servers.note_removed(now, &entry.name, entry.revision.max(page.revision), settled)
            } else {
                servers.note_entry(now, &entry.name, entry.revision, read_server::<W>(entry))
            };
            changes.push(change);
        }
        servers.note_directory(page.revision);
        drop(servers);
        self.apply_server_changes(&changes);
    }

    fn apply_server_changes(&self, changes: &[ServerChange]) {
        for change in changes {
            self.state.apply_change(*change);
        }
    }

    fn apply_declarations(&self, entries: Vec<StoredEntry>) {
        let named = entries.into_iter().filter(|entry| entry.name == W::DECLARATIONS_NAME);
        for entry in named.filter(|entry| !entry.removed) {
            take_declarations(&self.state, entry.revision, &entry.content, "store");
        }
    }
}

fn read_server<W: EntryWire>(entry: &StoredEntry) -> Option<crate::record::ServerRecord> {
    match W::decode_server(&entry.content) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!("store: A server's entry is ignored. name={} error={error}", entry.name);
            None
        }
    }
}

/// Puts declarations in force if they are newer than those in force.
pub(crate) fn take_declarations<W: EntryWire>(
    state: &EntryState<W>,
    revision: u64,
    content: &str,
    source: &str,
) {
    let record = match W::decode_declarations(content) {
        Ok(record) => record,
        Err(error) => {
            log::error!("store: Declarations are ignored. revision={revision} error={error}");
            return;
        }
    };
    let old = state.table().map_or(0, |table| table.version());
    if record.version <= old && old > 0 {
        return;
    }
    log::info!(
        "declarations: In force. version={} before={old} revision={revision} source={source} \
         routes={} services={}",
        record.version,
        record.routes.len(),
        record.services.len()
    );
    *state.table.borrow_mut() = Some(Rc::new(RouteTable::new(record)));
    *state.stored_declarations.borrow_mut() = Some((revision, content.into()));
    state.updates.borrow_mut().urgent = true;
    state.capacity_change.notify_waiters();
}

/// Waits until other routers have known more for a while.
async fn wait_until_stale<W: EntryWire>(state: &EntryState<W>, kind: StoreKind) {
    let mut since: Option<Instant> = None;
    loop {
        if !is_behind(state, kind) {
            since = None;
            state.peer_versions_change.notified().await;
            continue;
        }
        let first = *since.get_or_insert_with(Instant::now);
        let cheap = !state.reads_fresh.get() && kind == StoreKind::Servers;
        let pause = if cheap { CHEAP_STALE_PAUSE } else { STALE_PAUSE };
        if first.elapsed() >= pause {
            return;
        }
        sleep(STALE_PAUSE).await;
    }
}

fn is_behind<W: EntryWire>(state: &EntryState<W>, kind: StoreKind) -> bool {
    let (declaration, directory) = state.peer_versions.get();
    match kind {
        StoreKind::Servers => directory > state.servers.borrow().directory(),
        _ => state.table.borrow().as_ref().is_none_or(|table| declaration > table.version()),
    }
}

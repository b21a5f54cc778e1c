//! Follows changes of the declarations and the servers in the store.

use std::rc::Rc;
use std::time::Duration;

use catkin_base::ClockTime;
use tokio::time::{Instant, sleep, timeout_at};

use crate::route_table::RouteTable;
use crate::server_book::ServerChange;
use crate::server_copy::ServerList;
use crate::state::{EntryState, ListCopy};
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient};
use crate::store_pace::StorePace;
use crate::store_point::StorePoint;
use crate::wire::{EntryWire, StoreKind, StorePage, StoredEntry};

/// Maximum duration of one watch, a long poll for changes. If its connection goes silent, reports of
/// other routers show newer versions before the watch ends.
const WATCH_DURATION: Duration = Duration::from_secs(8);
/// The same at the routers that the others rely on for that, since the connections of all routers may
/// go silent at once. With the timeout of the answer, and the time until the others have listed
/// again, it is below the 3 s after which declarations must be in force again.
const SHORT_WATCH_DURATION: Duration = Duration::from_millis(1_400);
/// Delay between a change and the next watch, so that one watch returns several changes. Servers
/// are added, start leaving and are removed one after the other within tens of milliseconds.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// The same for the servers at a router with stale reads, which may return changes late anyway.
const STALE_READ_BATCH_DELAY: Duration = Duration::from_millis(1_200);
/// Time for which another router may have reported a newer version before the store is read again.
const OUTDATED_DELAY: Duration = Duration::from_millis(250);
/// The same for the servers at a router with stale reads. Servers change often, and other routers
/// report those that leave.
const STALE_READ_OUTDATED_DELAY: Duration = Duration::from_millis(1_000);

/// Maximum number of changes of servers at once that are logged one by one.
const MAX_LOGGED_CHANGES: usize = 40;
/// Time for which the pages of an incomplete list are kept.
const KEPT_PAGES_TIME: Duration = Duration::from_secs(3);
/// Maximum wait for the list of another router.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Follows the objects of one kind until dropped.
pub(crate) async fn follow_kind<W: EntryWire>(state: Rc<EntryState<W>>, kind: StoreKind) {
    let address = state.settings().store;
    let mut follower = StoreFollower {
        client: StoreClient::new(address),
        kind,
        point: None,
        pages: None,
        sent: state.now(),
        answered: state.now(),
        pace: StorePace::default(),
        timeout: GrowingTimeout::default(),
        state,
    };
    loop {
        if let Err(error) = follower.read_next().await {
            follower.handle_error(&error).await;
        }
    }
}

/// The first pages of a list.
struct ListedPages {
    /// When the first page arrived.
    since: Instant,
    list: StorePage,
}

struct StoreFollower<W> {
    state: Rc<EntryState<W>>,
    client: StoreClient<W>,
    kind: StoreKind,
    /// Point up to which changes are known; `None` if the next call must list all objects.
    point: Option<StorePoint>,
    /// Pages of a list that could not be completed.
    pages: Option<ListedPages>,
    /// When the current call was sent, and the last one was answered.
    sent: ClockTime,
    answered: ClockTime,
    pace: StorePace,
    timeout: GrowingTimeout,
}

impl<W: EntryWire> StoreFollower<W> {
    /// Lists all objects, or watches for the next changes, and applies the result.
    async fn read_next(&mut self) -> Result<(), StoreCallError> {
        self.sent = self.state.now();
        match self.point {
            None => self.list_all().await?,
            Some(point) => {
                let state = Rc::clone(&self.state);
                let allow_stale = !state.consistent_reads.get();
                let timeout = self.timeout.current();
                let watching = self.client.watch(
                    self.kind,
                    point.revision(),
                    if state.short_watches.get() { SHORT_WATCH_DURATION } else { WATCH_DURATION },
                    timeout,
                    allow_stale,
                );
                let page = tokio::select! {
                    page = watching => page?,
                    () = state.process_resumed.notified() => {
                        self.client.reset();
                        self.point = None;
                        return Ok(());
                    }
                    () = state.watches_shortened.notified() => {
                        self.client.reset();
                        return Ok(());
                    }
                    () = wait_until_outdated(&state, self.kind) => {
                        log::info!(
                            "store: other routers have a newer version; listing again. kind={:?}",
                            self.kind
                        );
                        self.client.reset();
                        self.point = None;
                        return Ok(());
                    }
                };
                self.record_answer();
                let changed = !page.entries.is_empty();
                self.apply_changes(&page);
                if page.unreadable > 0 {
                    // The list shows what became of the objects.
                    self.point = None;
                }
                if changed {
                    sleep(self.batch_delay()).await;
                }
            }
        }
        Ok(())
    }

    /// Lists all objects and applies the list. Pages that arrived before a failure are kept for a
    /// while, so that the next attempt continues after them.
    async fn list_all(&mut self) -> Result<(), StoreCallError> {
        let kept = self.pages.take();
        let kept = kept.filter(|pages| pages.since.elapsed() < KEPT_PAGES_TIME);
        let mut pages = match kept {
            Some(pages) => pages,
            None => {
                let list = self.client.list_first(self.kind, self.timeout.current()).await?;
                self.answered = self.state.now();
                ListedPages { since: Instant::now(), list }
            }
        };
        if pages.list.has_more
            && self.is_first_server_list()
            && let Some(list) = self.receive_copy().await
        {
            self.apply_copy(list);
            return Ok(());
        }
        while pages.list.has_more {
            let timeout = self.timeout.current();
            self.sent = self.state.now();
            if let Err(error) = self.client.list_next(self.kind, &mut pages.list, timeout).await {
                // Pages of two eras don't make up one list, and repeated ones would be repeated again.
                let must_restart =
                    matches!(error, StoreCallError::Restored { .. } | StoreCallError::Repeated(_));
                self.pages = Some(pages).filter(|_| !must_restart);
                return Err(error);
            }
            self.timeout = GrowingTimeout::default();
            self.answered = self.state.now();
        }
        self.record_answer();
        self.apply_list(&pages.list);
        Ok(())
    }

    fn is_first_server_list(&self) -> bool {
        self.kind == StoreKind::Servers && !self.state.servers.borrow().is_listed()
    }

    /// Waits for the list of another router; `None` if this router must list from the store.
    async fn receive_copy(&self) -> Option<ServerList> {
        let state = &self.state;
        if matches!(*state.list_copy.borrow(), ListCopy::Unplanned) {
            state.list_copy.replace(ListCopy::Wanted);
            state.list_copy_change.notify_waiters();
        }
        let until = Instant::now() + COPY_TIMEOUT;
        while matches!(*state.list_copy.borrow(), ListCopy::Wanted) {
            let changed = state.list_copy_change.notified();
            if timeout_at(until, changed).await.is_err() {
                log::info!(
                    "store: no router sent its list of servers; listing all from the store."
                );
                break;
            }
        }
        match state.list_copy.replace(ListCopy::FromStore) {
            ListCopy::Received(list) => Some(list),
            _ => None,
        }
    }

    /// Applies the list of another router. The next watch starts from its point, so that it
    /// returns what changed since.
    fn apply_copy(&mut self, list: ServerList) {
        log::info!(
            "store: servers listed by another router. point={} servers={}",
            list.point,
            list.entries.len()
        );
        self.record_answer();
        self.point = Some(list.point);
        apply_server_list(&self.state, list, "peer");
    }

    /// Returns the delay before the next watch, in which further changes accumulate.
    fn batch_delay(&self) -> Duration {
        let reads_stale = !self.state.consistent_reads.get() && self.kind == StoreKind::Servers;
        if reads_stale { STALE_READ_BATCH_DELAY } else { BATCH_DELAY }
    }

    fn record_answer(&mut self) {
        self.state.store_answered.borrow_mut().insert(self.kind, Instant::now());
        self.pace.reset();
        self.set_store_failing(false);
        self.timeout = GrowingTimeout::default();
        self.answered = self.state.now();
        if self.state.store_trouble.borrow_mut().record_answer(self.state.now()) {
            log::info!("store: answers again after failed calls. kind={:?}", self.kind);
        }
    }

    /// Whether the objects of this kind are known from earlier calls.
    fn is_informed(&self) -> bool {
        match self.kind {
            StoreKind::Servers => self.state.servers.borrow().is_listed(),
            _ => self.state.route_table.borrow().is_some(),
        }
    }

    fn set_store_failing(&self, failing: bool) {
        if self.kind == StoreKind::Declarations {
            self.state.store_failing.set(failing);
        }
    }

    /// Since when the store may have been out of reach of a call that failed.
    fn find_failure_start(&self, error: &StoreCallError) -> ClockTime {
        match error {
            StoreCallError::Unanswered(_) if self.client.has_reused() => self.answered,
            StoreCallError::Unanswered(_) => self.sent,
            _ => self.state.now(),
        }
    }

    async fn handle_error(&mut self, error: &StoreCallError) {
        if let StoreCallError::Restored { before, era } = error {
            return self.handle_restore(*before, *era);
        }
        let call = if self.point.is_some() { "watch" } else { "list" };
        let answered = self.state.store_answered.borrow().get(&self.kind).copied();
        log::warn!(
            "store: call failed; all objects are listed again. kind={:?} call={call} \
             answered_before_millis={} error={error}",
            self.kind,
            answered.map_or_else(|| "-".to_owned(), |at| at.elapsed().as_millis().to_string())
        );
        metrics::counter!("catkin_entry_store_failures_total").increment(1);
        self.client.reset();
        self.timeout.grow();
        // After a failed call, a watch from the old revision could miss changes that the store no
        // longer has.
        self.point = None;
        let failing = *error != StoreCallError::HistoryGone;
        self.set_store_failing(failing);
        if failing {
            let since = self.find_failure_start(error);
            self.state.store_trouble.borrow_mut().record_failure(since);
            let delay = self.pace.next_delay(self.is_informed(), &mut rand::rng());
            sleep(Duration::from_millis(delay)).await;
        }
    }

    fn handle_restore(&mut self, before: u64, era: u64) {
        log::warn!(
            "store: restored from a copy; all objects are listed again. kind={:?} \
             era_before={before} era={era}",
            self.kind
        );
        metrics::counter!("catkin_entry_store_restores_total").increment(1);
        self.state.store_restored.notify_one();
        self.client.reset();
        self.point = None;
        // Live servers that are missing from the copy register again.
        self.state.store_trouble.borrow_mut().record_failure(self.state.now());
    }

    fn apply_list(&mut self, page: &StorePage) {
        let point = page.point();
        self.point = Some(point);
        match self.kind {
            StoreKind::Servers => {
                let entries = page.entries.iter().map(|entry| {
                    (entry.name.clone(), page.entry_point(entry), read_server::<W>(entry))
                });
                let list = ServerList { point, entries: entries.collect() };
                apply_server_list(&self.state, list, "store");
            }
            _ => self.apply_declarations(page),
        }
    }

    fn apply_changes(&mut self, page: &StorePage) {
        self.point = Some(page.point());
        if self.kind != StoreKind::Servers {
            return self.apply_declarations(page);
        }
        let now = self.state.now();
        let missing_until = find_missing_until(&self.state);
        let mut changes = Vec::new();
        let mut servers = self.state.servers.borrow_mut();
        for entry in &page.entries {
            let change = if entry.removed {
                // An event without a revision is placed at the point of the page.
                let has_revision = entry.revision > 0;
                let point = if has_revision { page.entry_point(entry) } else { page.point() };
                servers.apply_removal(now, &entry.name, point, missing_until)
            } else {
                let record = read_server::<W>(entry);
                servers.apply_entry(now, &entry.name, page.entry_point(entry), record)
            };
            changes.push(change);
        }
        servers.advance_point(page.point());
        drop(servers);
        apply_server_changes(&self.state, &changes, false);
    }

    fn apply_declarations(&self, page: &StorePage) {
        let declarations = page.entries.iter().filter(|entry| entry.name == W::DECLARATIONS_NAME);
        for entry in declarations.filter(|entry| !entry.removed) {
            let point = page.entry_point(entry);
            install_declarations(&self.state, point, &entry.content, "store");
        }
    }
}

/// Applies a list of servers. `source` is logged.
pub(crate) fn apply_server_list<W: EntryWire>(
    state: &EntryState<W>,
    list: ServerList,
    source: &str,
) {
    let ServerList { point, entries } = list;
    let now = state.now();
    let missing_until = find_missing_until(state);
    let mut servers = state.servers.borrow_mut();
    let is_first = !servers.is_listed();
    let changes = servers.apply_list(now, point, entries, missing_until);
    drop(servers);
    log::info!(
        "store: servers listed. point={point} changes={} missing={} used_for_millis={} \
         source={source}",
        changes.len(),
        state.servers.borrow().count_missing(),
        missing_until.map_or(0, |until| until.millis_since(now))
    );
    apply_server_changes(state, &changes, is_first);
    state.list_copy_change.notify_waiters();
}

/// Until when servers may be used whose entries are missing now; `None` if they are gone.
fn find_missing_until<W: EntryWire>(state: &EntryState<W>) -> Option<ClockTime> {
    let contact_millis = state.settings().contact_millis;
    state.store_trouble.borrow().missing_until(state.now(), contact_millis)
}

fn apply_server_changes<W: EntryWire>(
    state: &EntryState<W>,
    changes: &[ServerChange],
    is_first: bool,
) {
    // The lines of a long list would use up the budget of the log.
    let log_each = changes.len() <= MAX_LOGGED_CHANGES;
    for change in changes {
        state.apply_change(*change, log_each);
    }
    let appeared = changes.iter().filter_map(|change| match change {
        ServerChange::Appeared(server) => Some(*server),
        _ => None,
    });
    state.record_cold_entries(&appeared.collect(), is_first);
}

fn read_server<W: EntryWire>(entry: &StoredEntry) -> Option<crate::record::ServerRecord> {
    match W::decode_server(&entry.content) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(
                "store: entry of a server cannot be decoded; the server counts as removed. name={} \
                 error={error}",
                entry.name
            );
            None
        }
    }
}

/// Installs declarations if they are newer than those in force. `source` is logged.
pub(crate) fn install_declarations<W: EntryWire>(
    state: &EntryState<W>,
    point: StorePoint,
    content: &str,
    source: &str,
) {
    let record = match W::decode_declarations(content) {
        Ok(record) => record,
        Err(error) => {
            log::error!(
                "store: declarations ignored; they cannot be decoded. point={point} error={error}"
            );
            return;
        }
    };
    let current = state.route_table().map_or(0, |table| table.version());
    if record.version <= current && current > 0 {
        return;
    }
    log::info!(
        "declarations: new version in force. version={} before={current} point={point} \
         source={source} routes={} services={}",
        record.version,
        record.routes.len(),
        record.services.len()
    );
    *state.route_table.borrow_mut() = Some(Rc::new(RouteTable::new(record)));
    *state.stored_declarations.borrow_mut() = Some((point, content.into()));
    state.updates.borrow_mut().send_now = true;
    state.selection_input_change.notify_waiters();
}

/// Waits until other routers have had a newer version for a while, so that the pending watch
/// probably missed it.
async fn wait_until_outdated<W: EntryWire>(state: &EntryState<W>, kind: StoreKind) {
    let mut since: Option<Instant> = None;
    loop {
        if !is_outdated(state, kind) {
            since = None;
            state.peer_versions_change.notified().await;
            continue;
        }
        let first = *since.get_or_insert_with(Instant::now);
        let reads_stale = !state.consistent_reads.get() && kind == StoreKind::Servers;
        let delay = if reads_stale { STALE_READ_OUTDATED_DELAY } else { OUTDATED_DELAY };
        if first.elapsed() >= delay {
            return;
        }
        sleep(OUTDATED_DELAY).await;
    }
}

fn is_outdated<W: EntryWire>(state: &EntryState<W>, kind: StoreKind) -> bool {
    let (declaration, directory) = state.peer_versions.get();
    match kind {
        StoreKind::Servers => state.servers.borrow().is_outdated(directory),
        _ => state.route_table.borrow().as_ref().is_none_or(|table| declaration > table.version()),
    }
}

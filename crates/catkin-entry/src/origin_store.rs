//! Reads from the store at which software versions streams began, where nobody else knows, and writes
//! it for the time after all routers ended at once. `origin_plan` decides what is written.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkin_base::VmId;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::origin_book::ServiceVersions;
use crate::origin_plan::{
    EARLIER_TIME, OriginPlan, OriginWrite, WriterCandidate, WriterStanding, choose_origin_writer,
};
use crate::peer_service::PeerService;
use crate::state::EntryState;
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient, WriteMode};
use crate::wire::{EntryWire, OriginRecord, StoreKind, StorePage, VersionRecord};

const KIND: StoreKind = StoreKind::StreamOrigins;
/// End of the name of a router's object with the latest streams.
const RECENT_SUFFIX: &str = "-recent";
/// Name of the object that holds the versions of the services.
const VERSIONS_NAME: &str = "versions";
/// Interval at which a router checks whether it is the writer and something is to be written, while some service
/// has several versions.
const MIXED_INTERVAL: Duration = Duration::from_millis(25);
/// The same otherwise, for a writer.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same otherwise, for any other router.
const ROLE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the start within which most other routers become known.
const FIRST_WRITE_DELAY: Duration = Duration::from_millis(400);
/// Minimum time between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Age up to which a read counts as recent. It exceeds the interval of two reads by the wait for one.
const FRESH_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a new version is not known to be stored after which a router reads the store itself, in
/// milliseconds.
const PENDING_READ_MILLIS: u64 = 500;
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Number of failures in a row after which a writer lets another router write.
const MAX_FAILURES: u32 = 2;
/// Time for which it does so.
const YIELD_TIME: Duration = Duration::from_secs(5);
/// Age from which an object of a router is removed by a writer that starts.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Maximum number of objects that are removed at once.
const MAX_REMOVED: usize = 16;

/// Reads of the origins that requests wait for, and whether this router can write them.
#[derive(Debug, Default)]
pub(crate) struct OriginAccess {
    wanted: Notify,
    /// Signals that a version appeared, which a writer writes at once.
    appeared: Notify,
    /// Whether a read is due or under way, and has not failed yet.
    pending: Cell<bool>,
    /// When the last read ended.
    last: Cell<Option<Instant>>,
    /// Until when this router lets a better one write, since its own calls failed.
    yields_until: Cell<Option<Instant>>,
}

impl OriginAccess {
    /// Asks for a read, unless the last one is too recent.
    pub(crate) fn request(&self) {
        if self.last.get().is_none_or(|last| last.elapsed() >= READ_INTERVAL) {
            self.pending.set(true);
            self.wanted.notify_one();
        }
    }

    /// Whether the latest calls of this router as a writer did not fail.
    pub(crate) fn may_write(&self) -> bool {
        self.yields_until.get().is_none_or(|until| until <= Instant::now())
    }

    /// Whether the store was read lately.
    pub(crate) fn is_fresh(&self) -> bool {
        self.last.get().is_some_and(|last| last.elapsed() < FRESH_TIME)
    }

    /// Whether a read is under way.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending.get()
    }
}

/// Reads origins after a restart, and whenever a request wants them, until dropped.
pub(crate) async fn read_origins<W: EntryWire>(state: &Rc<EntryState<W>>) {
    let mut client = StoreClient::<W>::new(state.settings().store);
    let mut timeout = GrowingTimeout::default();
    if state.origins.borrow().is_incomplete(state.now()) {
        state.origin_access.request();
    }
    loop {
        if !state.origin_access.is_pending() {
            client.reset();
            state.origin_access.wanted.notified().await;
            continue;
        }
        match client.list(KIND, timeout.current()).await {
            Ok(page) => {
                timeout = GrowingTimeout::default();
                state.origin_access.last.set(Some(Instant::now()));
                state.origin_access.pending.set(false);
                record_page(state, &OriginPage::decode::<W>(&page));
            }
            Err(error) => {
                log::warn!(
                    "origins: reading failed; streams of unknown origin are refused. error={error}"
                );
                timeout.grow();
                client.reset();
                state.origin_access.pending.set(false);
                state.origins_change.notify_waiters();
                sleep(RETRY_DELAY).await;
                if state.origins.borrow().is_incomplete(state.now()) {
                    state.origin_access.request();
                }
            }
        }
    }
}

/// What the store has of the origins of streams.
struct OriginPage {
    /// Revision and content of the object with the versions; the content is `None` if it can't be read.
    versions: Option<(u64, Option<VersionRecord>)>,
    /// Era of the store.
    era: u64,
    /// Name, revision and content of each router's object.
    records: Vec<(String, u64, OriginRecord)>,
}

impl OriginPage {
    fn decode<W: EntryWire>(page: &StorePage) -> Self {
        let mut decoded = Self { versions: None, era: page.era, records: Vec::new() };
        for entry in &page.entries {
            let failure = if entry.name == VERSIONS_NAME {
                let read = W::decode_versions(&entry.content);
                decoded.versions = Some((entry.revision, read.as_ref().ok().cloned()));
                read.err()
            } else {
                let read = W::decode_origins(&entry.content);
                let name = entry.name.clone();
                read.map(|record| decoded.records.push((name, entry.revision, record))).err()
            };
            if let Some(error) = failure {
                log::warn!(
                    "origins: object cannot be decoded; ignoring it. name={} error={error}",
                    entry.name
                );
            }
        }
        decoded
    }
}

/// Applies what was read to the book.
fn record_page<W: EntryWire>(state: &EntryState<W>, page: &OriginPage) {
    let now = state.now();
    state.store_answered.borrow_mut().insert(StoreKind::StreamOrigins, Instant::now());
    let records = page.records.iter().flat_map(|(_, _, record)| &record.streams);
    let origins = records.flat_map(|(software, keys)| keys.iter().map(|key| (*key, *software)));
    let mut book = state.origins.borrow_mut();
    book.record_stored_origins(now, origins);
    match &page.versions {
        Some((_, Some(record))) if record.era == page.era => {
            book.record_stored_versions(now, Some(&record.services));
        }
        Some((_, Some(record))) => book.record_restored_versions(now, &record.services),
        None => book.record_stored_versions(now, None),
        Some((_, None)) => {}
    }
    drop(book);
    state.origins_change.notify_waiters();
    state.selection_input_change.notify_waiters();
    let streams: usize = page.records.iter().map(|(_, _, record)| count_streams(record)).sum();
    log::info!(
        "origins: read from the store. objects={} streams={streams} versions_known={}",
        page.records.len(),
        page.versions.is_some()
    );
}

fn count_streams(record: &OriginRecord) -> usize {
    record.streams.values().map(Vec::len).sum()
}

/// Writes origins while this router is the writer of its group, until dropped. A writer whose calls fail
/// lets another router write for a while: the store may refuse this one only.
pub(crate) async fn write_origins<W: EntryWire>(state: &Rc<EntryState<W>>, service: &PeerService) {
    let mut writer: Option<OriginWriter<W>> = None;
    let mut timeout = GrowingTimeout::default();
    let mut failures = 0;
    loop {
        let interval = match (&writer, state.origins.borrow().is_any_mixed()) {
            (_, true) => MIXED_INTERVAL,
            (None, false) => ROLE_INTERVAL,
            (Some(_), false) => CHECK_INTERVAL,
        };
        tokio::select! {
            () = sleep(interval) => {}
            () = state.origin_access.appeared.notified() => {}
        }
        if !is_writer(state, service) {
            if writer.take().is_some() {
                log::info!("origins: another router writes them from now on.");
            }
            continue;
        }
        match continue_writing(state, writer.take(), timeout.current()).await {
            Ok(current) => {
                writer = Some(current);
                timeout = GrowingTimeout::default();
                failures = 0;
            }
            Err(error) => {
                log::warn!(
                    "origins: writing failed; streams that began lately are refused if all routers \
                     end now. error={error}"
                );
                timeout.grow();
                failures += 1;
                if failures >= MAX_FAILURES {
                    failures = 0;
                    let until = Instant::now() + YIELD_TIME;
                    state.origin_access.yields_until.set(Some(until));
                    state.updates.borrow_mut().send_now = true;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes what is due. Without a writer, or after the store was restored from a copy, reads first what
/// the store has.
async fn continue_writing<W: EntryWire>(
    state: &EntryState<W>,
    writer: Option<OriginWriter<W>>,
    timeout: Duration,
) -> Result<OriginWriter<W>, StoreCallError> {
    let era = state.servers.borrow().point().era();
    let mut writer = match writer.filter(|writer| writer.era == era) {
        Some(writer) => writer,
        None => OriginWriter::open(state, era, timeout).await?,
    };
    writer.write_next(state, timeout).await?;
    Ok(writer)
}

fn is_writer<W: EntryWire>(state: &EntryState<W>, service: &PeerService) -> bool {
    choose_writer(state, service) == Some(state.local_vm)
}

impl<W> EntryState<W> {
    /// Records that the store names these versions, and tells the other routers.
    fn record_stored(&self, services: &ServiceVersions) {
        self.origins.borrow_mut().mark_stored(services);
        self.updates.borrow_mut().send_now = true;
        self.selection_input_change.notify_waiters();
    }

    /// Has the store read if a new version is still not known to be stored.
    pub(crate) fn check_pending_versions(&self) {
        let now = self.now();
        if self.origins.borrow().has_pending_since(now, PENDING_READ_MILLIS) {
            self.origin_access.request();
        }
    }

    /// Signals that servers of a version appeared.
    pub(crate) fn signal_version(&self) {
        self.origin_access.appeared.notify_one();
    }

    /// How well this router can write origins; `None` until it knows the other routers and the servers.
    pub(crate) fn writer_standing(&self) -> Option<WriterStanding> {
        let is_started = self.started.elapsed() >= FIRST_WRITE_DELAY;
        if !is_started || !self.servers.borrow().is_listed() {
            return None;
        }
        // A router that the store refuses does not even learn of new versions.
        if self.store_failing.get() || !self.origin_access.may_write() {
            return Some(WriterStanding::Refused);
        }
        if self.origins.borrow().is_incomplete(self.now()) {
            return Some(WriterStanding::Incomplete);
        }
        let standing =
            if self.is_stopping() { WriterStanding::Stopping } else { WriterStanding::Able };
        Some(standing)
    }
}

/// Chooses the router that writes the origins of this router's group.
pub(crate) fn choose_writer<W: EntryWire>(
    state: &EntryState<W>,
    service: &PeerService,
) -> Option<VmId> {
    let strength = state.settings().strength();
    let local = state.writer_standing();
    let local = local.map(|standing| WriterCandidate { vm: state.local_vm, standing, strength });
    choose_origin_writer(service.list_writer_candidates(state).into_iter().chain(local))
}

/// Writes this router's object and that of the versions.
struct OriginWriter<W> {
    client: StoreClient<W>,
    plan: OriginPlan,
    /// Era of the store in which the plan holds.
    era: u64,
    /// Revision of the object with the versions; `None` if there is none or it is unknown.
    versions_revision: Option<u64>,
    /// This router's main object, and the one with the latest streams.
    main: OwnObject,
    recent: OwnObject,
}

impl<W: EntryWire> OriginWriter<W> {
    /// Reads what the store has, and removes the objects of routers that wrote none for long.
    async fn open(
        state: &EntryState<W>,
        era: u64,
        timeout: Duration,
    ) -> Result<Self, StoreCallError> {
        let mut client = StoreClient::new(state.settings().store);
        let page = OriginPage::decode::<W>(&client.list(KIND, timeout).await?);
        record_page(state, &page);
        let name = state.local_vm.to_string();
        let recent_name = format!("{name}{RECENT_SUFFIX}");
        let is_own = |other: &String| *other == name || *other == recent_name;
        let others = page.records.iter().filter(|(other, ..)| !is_own(other));
        let expired = others.filter(|(_, _, record)| is_expired(record)).take(MAX_REMOVED);
        for (other, revision, _) in expired {
            client.delete(KIND, other, Some(*revision), timeout).await?;
        }
        let (versions_revision, versions) = page.versions.unzip();
        let versions = versions.flatten().filter(|record| record.era == page.era);
        let versions = versions.map(|record| record.services);
        let own: Vec<_> = page.records.into_iter().filter(|(other, ..)| is_own(other)).collect();
        let find_revision = |name: &str| Some(own.iter().find(|(other, ..)| other == name)?.1);
        let main = OwnObject { revision: find_revision(&name), name };
        let recent = OwnObject { revision: find_revision(&recent_name), name: recent_name };
        // Later, the objects have nothing that the book of this process lacks.
        let is_early = state.started.elapsed() < EARLIER_TIME;
        let own = own.into_iter().filter(|_| is_early).map(|(_, _, record)| record);
        let plan = OriginPlan::new(state.now(), versions, own.reduce(merge_records));
        log::info!("origins: this router writes them from now on. name={}", main.name);
        Ok(Self { client, plan, era, versions_revision, main, recent })
    }

    async fn write_next(
        &mut self,
        state: &EntryState<W>,
        timeout: Duration,
    ) -> Result<(), StoreCallError> {
        let write = self.plan.choose_write(state.now(), &state.origins.borrow());
        match write {
            None => Ok(()),
            Some(OriginWrite::Versions(services)) => {
                let record = VersionRecord { services, era: self.era };
                self.write_versions(state, record, timeout).await
            }
            Some(OriginWrite::Origins(streams)) => {
                let record = OriginRecord { streams, written_unix_millis: unix_millis() };
                if self.main.write::<W>(&mut self.client, &record, timeout).await? {
                    self.plan.record_origins(state.now(), &record.streams);
                }
                Ok(())
            }
            Some(OriginWrite::Recent(streams)) => {
                let latest = state.origins.borrow().latest_stream();
                let record = OriginRecord { streams, written_unix_millis: unix_millis() };
                if self.recent.write::<W>(&mut self.client, &record, timeout).await? {
                    self.plan.record_recent(state.now(), latest);
                }
                Ok(())
            }
        }
    }

    /// Writes the versions. Those that another router has written meanwhile are adopted.
    async fn write_versions(
        &mut self,
        state: &EntryState<W>,
        record: VersionRecord,
        timeout: Duration,
    ) -> Result<(), StoreCallError> {
        let content = W::encode_versions(&record);
        let mode = choose_mode(self.versions_revision);
        match self.client.write(KIND, VERSIONS_NAME, &content, mode, timeout).await {
            Ok(revision) => {
                log::info!(
                    "origins: versions of services written. services={}",
                    record.services.len()
                );
                self.versions_revision = revision;
                state.record_stored(&record.services);
                self.plan.record_versions(record.services);
            }
            Err(StoreCallError::Conflict(Some(found))) => {
                self.versions_revision = Some(found.revision);
                let Ok(found) = W::decode_versions(&found.content) else { return Ok(()) };
                if found.era == self.era {
                    let mut book = state.origins.borrow_mut();
                    book.record_stored_versions(state.now(), Some(&found.services));
                    drop(book);
                    state.record_stored(&found.services);
                    self.plan.record_versions(found.services);
                }
            }
            Err(error) => return Err(error),
        }
        Ok(())
    }
}

/// An object of this router.
struct OwnObject {
    name: String,
    /// Revision of the object; `None` if there is none or it is unknown.
    revision: Option<u64>,
}

impl OwnObject {
    /// Writes the object; returns false if its revision was another one, which is known then.
    async fn write<W: EntryWire>(
        &mut self,
        client: &mut StoreClient<W>,
        record: &OriginRecord,
        timeout: Duration,
    ) -> Result<bool, StoreCallError> {
        let content = W::encode_origins(record);
        let mode = choose_mode(self.revision);
        match client.write(KIND, &self.name, &content, mode, timeout).await {
            Ok(revision) => {
                self.revision = revision;
                Ok(true)
            }
            Err(StoreCallError::Conflict(Some(found))) => {
                self.revision = Some(found.revision);
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}

/// Merges what two objects have.
fn merge_records(mut merged: OriginRecord, other: OriginRecord) -> OriginRecord {
    for (software, keys) in other.streams {
        merged.streams.entry(software).or_default().extend(keys);
    }
    merged
}

fn choose_mode(revision: Option<u64>) -> WriteMode {
    revision.map_or(WriteMode::Create, WriteMode::Replace)
}

fn is_expired(record: &OriginRecord) -> bool {
    let written = Duration::from_millis(record.written_unix_millis);
    Duration::from_millis(unix_millis()).saturating_sub(written) > MAX_AGE
}

fn unix_millis() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.unwrap_or(Duration::ZERO).as_millis() as u64
}

//! What routers tell one another: versions, loads, kept parts, departures, strikes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ClockTime, RequestDigest, ServerId, VmId, hash_parts};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{DeclarationAsk, DeclarationCopy, EntryReport, PeerMessage};
use catkin_peer::{MessageSource, PeerLink, UdpLink};
use tokio::time::{Instant, sleep, timeout};

use crate::follow::take_declarations;
use crate::kept_book::KeptPair;
use crate::load_table::OpenLoad;
use crate::report::{build_report, build_status, has_news, kept_part, list_kept, wrap};
use crate::state::{EntryState, MAX_SMALL_FLEET};
use crate::wire::EntryWire;

/// Pause between two looks for news to tell.
const REPORT_PAUSE: Duration = Duration::from_millis(40);
/// Most reports that a router hears in a second.
const MAX_REPORTS_PER_SECOND: u32 = 450;
/// Routers that follow the store closely in a larger fleet.
const CLOSE_READERS: usize = 4;
/// Longest time without a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two tries to reach a router that has not been heard.
const GREET_PAUSE: Duration = Duration::from_millis(1_000);
/// Time without word after which a router is greeted again, in milliseconds.
const SILENT_MILLIS: u64 = 1_500;
/// Time without word after which a router is no longer greeted, in milliseconds.
const GONE_MILLIS: u64 = 60_000;
/// How long other routers may know newer declarations before one is asked, if the store fails.
const BEHIND_PAUSE: Duration = Duration::from_millis(200);
/// The same if the store answers: it serves many routers at once better than a router does.
const STORE_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two asks for newer declarations.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for the link's tasks while leaving.
const CLOSE_PATIENCE: Duration = Duration::from_millis(1_500);

/// Another router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownRouter {
    pub(crate) address: SocketAddr,
    pub(crate) heard: ClockTime,
}

/// The link to the other routers and what is known of them.
pub(crate) struct PeerDesk {
    link: UdpLink,
    routers: RefCell<BTreeMap<VmId, KnownRouter>>,
    asked: Cell<Option<Instant>>,
    /// Since when other routers have known newer declarations.
    behind: Cell<Option<Instant>>,
}

impl PeerDesk {
    /// A link to routers that the store lists.
    pub(crate) fn new(link: UdpLink, routers: BTreeMap<VmId, KnownRouter>) -> Self {
        let routers = RefCell::new(routers);
        Self { link, routers, asked: Cell::new(None), behind: Cell::new(None) }
    }

    /// Tells the others that this router stops, and closes the link.
    pub(crate) async fn close<W: EntryWire>(&self, state: &EntryState<W>) {
        let report = EntryReport { leaving_router: true, ..EntryReport::default() };
        self.send_all(&wrap(Kind::EntryReport(report)));
        log::debug!("peers: Closing. routers={}", state.routers());
        self.link.close().await;
    }

    /// Tells the others what was learned of engines.
    pub(crate) fn tell_kept<W: EntryWire>(&self, state: &EntryState<W>, learned: &[KeptPair]) {
        let mut report = build_status(state);
        report.kept = learned.iter().copied().map(kept_part).collect();
        self.send_all(&wrap(Kind::EntryReport(report)));
    }

    /// Routers that are known, this one included.
    pub(crate) fn list_routers<W: EntryWire>(&self, state: &EntryState<W>) -> Vec<VmId> {
        let routers = self.routers.borrow();
        routers.keys().copied().chain([state.own]).collect()
    }

    /// Bytes sent to other routers.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.link.sent_bytes()
    }

    fn send_all(&self, message: &PeerMessage) {
        for (vm, router) in self.routers.borrow().iter() {
            self.link.send(*vm, router.address, message);
        }
    }

    /// Takes what other routers send, until the link is closed.
    pub(crate) async fn receive<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        while let Some((source, message)) = self.link.receive().await {
            self.note_heard(state, &source);
            match message.kind {
                Some(Kind::EntryReport(report)) => self.take_report(state, &source, &report),
                Some(Kind::DeclarationAsk(ask)) => self.answer_ask(state, &source, &ask),
                Some(Kind::DeclarationCopy(copy)) => take_copy(state, &copy),
                _ => {}
            }
        }
    }

    fn note_heard<W: EntryWire>(&self, state: &EntryState<W>, source: &MessageSource) {
        let router = KnownRouter { address: source.address, heard: state.now() };
        if self.routers.borrow_mut().insert(source.vm, router).is_none() {
            log::info!("peers: A router appeared. vm={}", source.vm);
        }
    }

    fn take_report<W: EntryWire>(
        &self,
        state: &Rc<EntryState<W>>,
        source: &MessageSource,
        report: &EntryReport,
    ) {
        let now = state.now();
        if report.leaving_router {
            log::info!("peers: A router leaves. vm={}", source.vm);
            self.routers.borrow_mut().remove(&source.vm);
            return state.loads.borrow_mut().forget(source.vm);
        }
        let opens = report.opens.iter();
        let opens = opens.map(|row| {
            let load = OpenLoad { open: row.open, unread_tokens: row.unread_tokens };
            (ServerId(row.server), load)
        });
        let opens = opens.collect();
        state.loads.borrow_mut().note_report(now, source.vm, opens);
        for part in &report.kept {
            let server = ServerId(part.server);
            let pair = KeptPair { key: part.part, server, tokens: part.tokens };
            state.kept.borrow_mut().note(now, pair);
        }
        let listed = report.kept.iter().map(|part| ServerId(part.server));
        state.learning.borrow_mut().note_lists(listed);
        for row in &report.strikes {
            let digest = RequestDigest(row.digest);
            state.strikes.borrow_mut().note_strike(now, digest, ServerId(row.server));
        }
        for row in &report.outcomes {
            state.outcomes.borrow_mut().note_held_elsewhere(now, ServerId(row.server));
        }
        for row in &report.leaving {
            let server = ServerId(row.server);
            if state.servers.borrow_mut().note_leaving(now, server, row.revision) {
                log::info!("servers: Leaving, as told by {}. server={server}", source.vm);
                state.pool.borrow_mut().forget_server(server);
            }
        }
        let (declaration, directory) = state.told.get();
        state.told.set((declaration.max(report.declaration), directory.max(report.directory)));
        state.stale.notify_waiters();
        self.ask_declarations(state, source, report.declaration);
        if report.joining {
            let mut answer = build_status(state);
            if report.wants_kept && state.learning.borrow().is_usable() {
                answer.tells_kept = true;
                answer.knows_kept = state.learning.borrow().is_whole();
                answer.kept = list_kept(state);
            }
            self.link.send(source.vm, source.address, &wrap(Kind::EntryReport(answer)));
        }
        if report.tells_kept && (report.knows_kept || !report.kept.is_empty()) {
            let (parts, whole) = (report.kept.len(), report.knows_kept);
            log::info!("servers: Told what is kept by {}. parts={parts} whole={whole}", source.vm);
            state.learning.borrow_mut().note_told(whole);
            state.room.notify_waiters();
        }
        state.room.notify_one();
    }

    /// Asks a router that knows newer declarations for them: the store may not answer this one.
    fn ask_declarations<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        version: u64,
    ) {
        let own = state.table().map_or(0, |table| table.version());
        if version <= own {
            return self.behind.set(None);
        }
        let behind = self.behind.get().unwrap_or_else(Instant::now);
        self.behind.set(Some(behind));
        let paused = self.asked.get().is_some_and(|at| at.elapsed() < ASK_PAUSE);
        let store_time = if state.store_fails.get() { BEHIND_PAUSE } else { STORE_TIME };
        if paused || behind.elapsed() < store_time {
            return;
        }
        self.asked.set(Some(Instant::now()));
        let message = wrap(Kind::DeclarationAsk(DeclarationAsk { version: own }));
        self.link.send(source.vm, source.address, &message);
    }

    fn answer_ask<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        ask: &DeclarationAsk,
    ) {
        let version = state.table().map_or(0, |table| table.version());
        let declared = state.declared.borrow();
        let Some((revision, content)) = declared.as_ref().filter(|_| version > ask.version) else {
            return;
        };
        let content = content.as_bytes().to_vec();
        let copy = DeclarationCopy { version, revision: *revision, content };
        self.link.send(source.vm, source.address, &wrap(Kind::DeclarationCopy(copy)));
    }

    /// Reports to the others as long as the process runs.
    pub(crate) async fn report<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        let mut last: Option<Instant> = None;
        loop {
            let pause = self.report_pause();
            let due = last.is_none_or(|last| last.elapsed() >= REPORT_INTERVAL.max(pause));
            if due || has_news(state) {
                let mut report = build_report(state);
                report.joining = last.is_none();
                self.send_all(&wrap(Kind::EntryReport(report)));
                last = Some(Instant::now());
            }
            sleep(pause).await;
        }
    }

    /// Asks routers for all that they know servers to keep.
    pub(crate) fn ask_kept<W: EntryWire>(&self, state: &EntryState<W>, tellers: &[VmId]) {
        if tellers.is_empty() {
            return;
        }
        let mut report = build_status(state);
        report.joining = true;
        report.wants_kept = true;
        let message = wrap(Kind::EntryReport(report));
        let routers = self.routers.borrow();
        for vm in tellers {
            if let Some(router) = routers.get(vm) {
                self.link.send(*vm, router.address, &message);
            }
        }
    }

    /// Grows with the fleet, so that a router hears no more than a fixed number of reports.
    fn report_pause(&self) -> Duration {
        let others = self.routers.borrow().len() as u32;
        REPORT_PAUSE.max(Duration::from_secs(1) * others / MAX_REPORTS_PER_SECOND)
    }

    /// In a large fleet a few routers follow the store closely; the others learn from them.
    fn choose_readers<W: EntryWire>(&self, state: &EntryState<W>) {
        let routers = self.list_routers(state);
        let order = |vm: &VmId| choose_order(*vm);
        let ahead = routers.iter().filter(|vm| order(vm) < order(&state.own)).count();
        let fresh = routers.len() <= MAX_SMALL_FLEET as usize || ahead < CLOSE_READERS;
        if state.reads_fresh.replace(fresh) != fresh {
            log::info!("store: Reads closely: {fresh}. routers={}", routers.len());
        }
    }

    /// Greets routers that are silent, as long as the process runs.
    pub(crate) async fn greet<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        loop {
            sleep(GREET_PAUSE).await;
            self.choose_readers(state);
            let now = state.now();
            let mut routers = self.routers.borrow_mut();
            routers.retain(|_, router| now.millis_since(router.heard) < GONE_MILLIS);
            let mut report = build_status(state);
            report.joining = true;
            let message = wrap(Kind::EntryReport(report));
            let silent = |router: &&KnownRouter| now.millis_since(router.heard) > SILENT_MILLIS;
            for (vm, router) in routers.iter().filter(|(_, router)| silent(router)) {
                self.link.send(*vm, router.address, &message);
            }
        }
    }
}

fn take_copy<W: EntryWire>(state: &EntryState<W>, copy: &DeclarationCopy) {
    match std::str::from_utf8(&copy.content) {
        Ok(content) => take_declarations(state, copy.revision, content, "peer"),
        Err(error) => log::warn!("peers: Declarations are ignored. error={error}"),
    }
}

/// Place of a router in the order of readers.
fn choose_order(vm: VmId) -> (u64, VmId) {
    (hash_parts(&[b"reader", &vm.0.to_le_bytes()]), vm)
}

/// Waits for the link's tasks, but not forever.
pub(crate) async fn close_desk<W: EntryWire>(desk: &PeerDesk, state: &EntryState<W>) {
    if timeout(CLOSE_PATIENCE, desk.close(state)).await.is_err() {
        log::warn!("peers: The link did not close in time.");
    }
}

//! What routers tell one another: versions, loads, kept parts, departures, strikes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ClockTime, DomainId, RequestDigest, ServerId, VmId};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    DeclarationAsk, DeclarationCopy, EntryReport, EntryScope, PeerMessage,
};
use catkin_peer::{MessageSource, PeerLink, UdpLink};
use tokio::time::{Instant, sleep, timeout};

use crate::follow::take_declarations;
use crate::kept_book::KeptPair;
use crate::load_table::{ALIVE_MILLIS, LoadSource, OpenLoad, ReportedLoads};
use crate::outcome_book::TOLD_HOLD_MILLIS;
use crate::relay_plan::{FleetMember, MAX_SMALL_FLEET, RelayBook, TellPlan};
use crate::report::{
    build_domain_reports, build_elsewhere_reports, build_own, build_report, build_status, has_news,
    kept_part, list_kept, wrap,
};
use crate::state::{EntryState, RelayNews};
use crate::wire::EntryWire;

/// Pause between two looks for news to tell.
const REPORT_PAUSE: Duration = Duration::from_millis(40);
/// Most reports that a router hears in a second.
const MAX_REPORTS_PER_SECOND: u32 = 450;
/// Longest time without a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two tries to reach a router that has not been heard.
const GREET_PAUSE: Duration = Duration::from_millis(1_000);
/// Time without word after which a router is greeted again that sends this one no reports, since
/// others relay them, in milliseconds. Any other router is greeted once it no longer counts as alive.
const FAR_SILENT_MILLIS: u64 = 15_000;
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
    /// Its failure domain; `None` until it is heard.
    pub(crate) domain: Option<DomainId>,
    /// How much it can do for others.
    pub(crate) strength: u32,
}

/// The link to the other routers and what is known of them.
pub(crate) struct PeerDesk {
    link: UdpLink,
    routers: RefCell<BTreeMap<VmId, KnownRouter>>,
    relays: RefCell<RelayBook>,
    /// Whether this router relays for its domain.
    relaying: Cell<bool>,
    asked: Cell<Option<Instant>>,
    /// Since when other routers have known newer declarations.
    behind: Cell<Option<Instant>>,
}

impl PeerDesk {
    /// A link to routers that the store lists.
    pub(crate) fn new(link: UdpLink, routers: BTreeMap<VmId, KnownRouter>) -> Self {
        let routers = RefCell::new(routers);
        Self {
            link,
            routers,
            relays: RefCell::default(),
            relaying: Cell::new(false),
            asked: Cell::new(None),
            behind: Cell::new(None),
        }
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
            match message.kind {
                Some(Kind::EntryReport(report)) => {
                    self.note_heard(state, &source, &report);
                    self.take_report(state, &source, &report);
                }
                Some(Kind::DeclarationAsk(ask)) => self.answer_ask(state, &source, &ask),
                Some(Kind::DeclarationCopy(copy)) => take_copy(state, &copy),
                _ => {}
            }
        }
    }

    fn note_heard<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        report: &EntryReport,
    ) {
        let domain = DomainId(report.domain);
        let now = state.now();
        let router = KnownRouter {
            address: source.address,
            heard: now,
            domain: Some(domain),
            strength: report.strength,
        };
        if report.scope() == EntryScope::Domain {
            self.relays.borrow_mut().note_relay(now, domain, source.vm);
        }
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
        self.take_loads(state, source, report);
        let passed_on = self.choose_news(state, report);
        for part in &report.kept {
            let server = ServerId(part.server);
            let pair = KeptPair { key: part.part, server, tokens: part.tokens };
            let is_news = state.kept.borrow_mut().note(now, pair);
            if let Some(news) = passed_on.filter(|_| is_news && !report.tells_kept) {
                news.borrow_mut().kept.push(pair);
            }
        }
        let listed = report.kept.iter().map(|part| ServerId(part.server));
        state.learning.borrow_mut().note_lists(listed);
        for row in &report.strikes {
            let digest = RequestDigest(row.digest);
            let server = ServerId(row.server);
            state.strikes.borrow_mut().record_strike(now, digest, server);
            if let Some(news) = passed_on {
                news.borrow_mut().strikes.push((digest, server));
            }
        }
        for row in &report.outcomes {
            let server = ServerId(row.server);
            state.outcomes.borrow_mut().note_held_elsewhere(now, server);
            if let Some(news) = passed_on {
                news.borrow_mut().held.insert(server, now.plus_millis(TOLD_HOLD_MILLIS));
            }
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
            let far = self.is_far(state, Some(DomainId(report.domain)));
            let mut answer = if far { build_status(state) } else { build_own(state) };
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

    /// Takes open requests, unless they are for a relay and this router is none.
    fn take_loads<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        report: &EntryReport,
    ) {
        let loads_of = match report.scope() {
            EntryScope::Own => LoadSource::Router(source.vm),
            EntryScope::Domain if !self.relaying.get() => return,
            EntryScope::Domain => LoadSource::Domain(DomainId(report.domain)),
            EntryScope::Elsewhere => LoadSource::Elsewhere,
        };
        if report.pieces == 0 {
            return;
        }
        let opens = report.opens.iter();
        let opens = opens.map(|row| {
            let load = OpenLoad { open: row.open, unread_tokens: row.unread_tokens };
            (ServerId(row.server), load)
        });
        let EntryReport { routers, piece, pieces, .. } = *report;
        let loads = ReportedLoads { routers, piece, pieces, opens: opens.collect() };
        state.loads.borrow_mut().note_report(state.now(), loads_of, loads);
    }

    /// Where the news of a report are passed on, if this router relays. A report without loads is a
    /// greeting, or a list that its sender tells all routers itself.
    fn choose_news<'a, W: EntryWire>(
        &self,
        state: &'a EntryState<W>,
        report: &EntryReport,
    ) -> Option<&'a RefCell<RelayNews>> {
        if !self.relaying.get() || report.pieces == 0 {
            return None;
        }
        match report.scope() {
            EntryScope::Own => Some(&state.outward),
            EntryScope::Domain => Some(&state.inward),
            EntryScope::Elsewhere => None,
        }
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
        let mut greeting = build_status(state);
        greeting.joining = true;
        self.send_all(&wrap(Kind::EntryReport(greeting)));
        let mut last: Option<Instant> = None;
        loop {
            let plan = self.plan_tellings(state);
            let pause = report_pause(&plan);
            let due = last.is_none_or(|last| last.elapsed() >= REPORT_INTERVAL.max(pause));
            if due || has_news(state) {
                self.send_to(&plan.close, build_report(state));
                last = Some(Instant::now());
            }
            self.relay(state, &plan);
            sleep(pause).await;
        }
    }

    fn plan_tellings<W: EntryWire>(&self, state: &EntryState<W>) -> TellPlan {
        let (own, others) = self.list_members(state);
        let plan = self.relays.borrow_mut().plan(state.now(), own, &others);
        if self.relaying.replace(plan.relays) != plan.relays {
            log::info!("peers: Relays: {}. domain={}", plan.relays, state.domain);
        }
        if state.reads_fresh.replace(plan.reads_closely) != plan.reads_closely {
            log::info!(
                "store: Reads closely: {}. routers={}",
                plan.reads_closely,
                others.len() + 1
            );
        }
        plan
    }

    /// This router and the others, as they matter for duties.
    fn list_members<W: EntryWire>(&self, state: &EntryState<W>) -> (FleetMember, Vec<FleetMember>) {
        let now = state.now();
        let routers = self.routers.borrow();
        let member = |(vm, router): (&VmId, &KnownRouter)| FleetMember {
            vm: *vm,
            domain: router.domain,
            alive: now.millis_since(router.heard) < ALIVE_MILLIS,
            strength: router.strength,
        };
        let own = FleetMember {
            vm: state.own,
            domain: Some(state.domain),
            alive: true,
            strength: state.settings().strength(),
        };
        (own, routers.iter().map(member).collect())
    }

    /// Passes sums and news on between domains, if this router relays.
    fn relay<W: EntryWire>(&self, state: &EntryState<W>, plan: &TellPlan) {
        if !plan.relays {
            *state.outward.borrow_mut() = RelayNews::default();
            *state.inward.borrow_mut() = RelayNews::default();
            return;
        }
        state.loads.borrow_mut().expect_domains(plan.domains);
        for report in build_domain_reports(state) {
            self.send_to(&plan.far, report);
        }
        if !state.loads.borrow().tells_elsewhere() {
            return;
        }
        for report in build_elsewhere_reports(state) {
            self.send_to(&plan.close, report);
        }
    }

    /// Whether a router of this domain hears of this one by relays.
    fn is_far<W: EntryWire>(&self, state: &EntryState<W>, domain: Option<DomainId>) -> bool {
        self.routers.borrow().len() >= MAX_SMALL_FLEET && is_other(domain, state.domain)
    }

    fn send_to(&self, vms: &[VmId], report: EntryReport) {
        let message = wrap(Kind::EntryReport(report));
        let routers = self.routers.borrow();
        for vm in vms {
            if let Some(router) = routers.get(vm) {
                self.link.send(*vm, router.address, &message);
            }
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
        self.send_to(tellers, report);
    }

    /// Greets routers that are silent, as long as the process runs.
    pub(crate) async fn greet<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        loop {
            sleep(GREET_PAUSE).await;
            let now = state.now();
            let mut routers = self.routers.borrow_mut();
            routers.retain(|_, router| now.millis_since(router.heard) < GONE_MILLIS);
            let mut report = build_status(state);
            report.joining = true;
            let message = wrap(Kind::EntryReport(report));
            let large = routers.len() >= MAX_SMALL_FLEET;
            let silent = |router: &&KnownRouter| {
                let far = large && is_other(router.domain, state.domain);
                let limit = if far { FAR_SILENT_MILLIS } else { ALIVE_MILLIS };
                now.millis_since(router.heard) > limit
            };
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

fn is_other(domain: Option<DomainId>, own: DomainId) -> bool {
    domain.is_some_and(|domain| domain != own)
}

/// Grows with the routers that report to each other, so that one hears no more than a fixed number of
/// reports.
fn report_pause(plan: &TellPlan) -> Duration {
    let heard = (plan.close.len() + plan.far.len() + 1) as u32;
    REPORT_PAUSE.max(Duration::from_secs(1) * heard / MAX_REPORTS_PER_SECOND)
}

/// Waits for the link's tasks, but not forever.
pub(crate) async fn close_desk<W: EntryWire>(desk: &PeerDesk, state: &EntryState<W>) {
    if timeout(CLOSE_PATIENCE, desk.close(state)).await.is_err() {
        log::warn!("peers: The link did not close in time.");
    }
}

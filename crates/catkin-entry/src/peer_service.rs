//! Exchanges reports with the other routers: versions, loads, cached parts, leaving servers,
//! strikes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ClockTime, DomainId, PartKey, RequestDigest, ServerId, VmId};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    DeclarationAsk, DeclarationCopy, EntryReport, EntryScope, ForwardedCall, PeerMessage,
    ServerListAsk, ServerListCopy,
};
use catkin_peer::{DropReason, MessageSource, PeerLink, UdpLink};
use catkin_policy::ReachKey;
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep, timeout};

use crate::brittle_exchange::{BrittleRow, MAX_BRITTLE, encode_brittle};
use crate::cache_index::CachedPart;
use crate::cold_exchange::{MAX_COLD, encode_cold};
use crate::crash_book::CrashSource;
use crate::crash_reports::{decode_crash, decode_quarantine, encode_quarantine, encode_strike};
use crate::help_offer::HelpOffer;
use crate::limit_exchange::{MAX_LIMITS, decode_limit, encode_limit};
use crate::list_plan::{ListSource, choose_asked_router, choose_list_source};
use crate::load_table::{ALIVE_MILLIS, LoadSource, OpenLoad, ReportedLoads, ServiceKey};
use crate::origin_exchange::{decode_standing, record_origins};
use crate::origin_plan::WriterStanding;
use crate::outcome_book::PEER_EJECTION_MILLIS;
use crate::relay_plan::{FleetMember, MAX_SMALL_FLEET, RelayBook, ReportPlan};
use crate::report_builder::{
    build_domain_reports, build_load_report, build_other_domain_reports, build_report,
    build_status, decode_factor, encode_departure, encode_part, has_updates, list_cached_parts,
    wrap_message,
};
use crate::server_copy::{decode_server_list, encode_server_list};
use crate::speed_book::PEER_FACTOR_MILLIS;
use crate::state::{EntryState, ListCopy, RelayUpdates};
use crate::store_follower::{apply_server_list, install_declarations};
use crate::store_point::StorePoint;
use crate::waiting_room::decode_team;
use crate::wire::EntryWire;

/// Minimum interval of checks for updates to report.
const UPDATE_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of reports that a router receives per second.
const MAX_REPORTS_PER_SECOND: u32 = 450;
/// Maximum interval between two reports, unless the check interval is longer.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of join announcements to silent routers.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Silence after which a remote-domain peer, whose reports are relayed, is sent a join
/// announcement. Any other router is sent one once it no longer counts as alive.
const REMOTE_SILENT_MILLIS: u64 = 15_000;
/// Silence after which a router is removed and no longer sent announcements.
const REMOVAL_MILLIS: u64 = 60_000;
/// Time for which other routers may have newer declarations before they are requested from one, if
/// the store fails.
const FAILED_STORE_DELAY: Duration = Duration::from_millis(200);
/// The same time if the store answers. The store serves many routers at once better than a router
/// does.
const ANSWERING_STORE_DELAY: Duration = Duration::from_millis(1_500);
/// The same time for newer entries of servers in a small fleet, whose lists are short, if the store answers.
const SMALL_FLEET_LIST_DELAY: Duration = Duration::from_millis(300);
/// Minimum interval of requests for newer declarations, and for newer entries of servers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of requests for the list of servers.
const LIST_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum interval of sending the list of servers to the same router, which may request it again
/// while it is on its way.
const LIST_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of strikes in one report to a router that starts, so that it fits a datagram.
const MAX_JOIN_STRIKES: usize = 16;
/// Maximum number of quarantines of prompt parts in such a report.
const MAX_JOIN_QUARANTINES: usize = 4;
/// Maximum number of leaving servers in such a report.
const MAX_JOIN_LEAVES: usize = 32;
/// Maximum number of reports of one kind to a router that starts.
const MAX_JOIN_REPORTS: usize = 8;
/// Time for which a router that could not be connected to, or took no request, gets none.
const FAILED_HELPER_TIME: Duration = Duration::from_millis(1_000);
/// Maximum wait for the tasks of the link when the router leaves.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Another router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownRouter {
    pub(crate) address: SocketAddr,
    /// Time of its last message.
    pub(crate) last_heard: ClockTime,
    /// Its failure domain; `None` until known.
    pub(crate) domain: Option<DomainId>,
    /// Its relative capacity for relaying: link bandwidth times CPU share.
    pub(crate) strength: u32,
    /// Port of its listener for callers; 0 if it takes no requests of other routers, or until known.
    pub(crate) callers_port: u16,
    /// How well it can write origins of streams to the store; `None` if it can't, or until known.
    pub(crate) writer_standing: Option<WriterStanding>,
    /// What it offers if it stops.
    pub(crate) offer: Option<HelpOffer>,
}

/// A router that requests are passed on to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallHelper {
    pub(crate) vm: VmId,
    /// Address of its listener for callers.
    pub(crate) address: SocketAddr,
}

/// The link to the other routers, and their state as last reported.
pub(crate) struct PeerService {
    link: UdpLink,
    routers: RefCell<BTreeMap<VmId, KnownRouter>>,
    /// Routers that sent a message since this process started.
    heard: RefCell<BTreeSet<VmId>>,
    /// Routers that requested the list of servers before it was known.
    list_requests: RefCell<BTreeSet<VmId>>,
    /// When the list of servers was last sent to a router.
    lists_sent: RefCell<BTreeMap<VmId, Instant>>,
    /// Incarnation of each router that was told origins of streams when it joined, and when that was.
    pub(crate) origins_told: RefCell<BTreeMap<VmId, (u64, Instant)>>,
    relays: RefCell<RelayBook>,
    /// Whether this router is the relay of its domain.
    is_relay: Cell<bool>,
    /// When declarations were last requested.
    requested_at: Cell<Option<Instant>>,
    /// Since when other routers have had newer declarations than this one.
    outdated_since: Cell<Option<Instant>>,
    /// Services that other routers don't reach, as reported.
    lost_services: RefCell<BTreeMap<VmId, BTreeSet<ReachKey>>>,
    /// Routers that could not be connected to or take no requests, and until when they get none.
    failed_helpers: RefCell<BTreeMap<VmId, Instant>>,
    /// Since when other routers have had newer entries of servers than this one.
    list_outdated_since: Cell<Option<Instant>>,
    /// When another router was last asked for newer entries of servers.
    changes_asked_at: Cell<Option<Instant>>,
    /// Number of received messages that were dropped because of an incarnation, as last logged.
    logged_drops: Cell<u64>,
}

impl PeerService {
    /// Creates the service for the routers listed in the store.
    pub(crate) fn new(link: UdpLink, routers: BTreeMap<VmId, KnownRouter>) -> Self {
        let routers = RefCell::new(routers);
        Self {
            link,
            routers,
            heard: RefCell::default(),
            list_requests: RefCell::default(),
            lists_sent: RefCell::default(),
            origins_told: RefCell::default(),
            relays: RefCell::default(),
            is_relay: Cell::new(false),
            requested_at: Cell::new(None),
            outdated_since: Cell::new(None),
            lost_services: RefCell::default(),
            failed_helpers: RefCell::default(),
            list_outdated_since: Cell::new(None),
            changes_asked_at: Cell::new(None),
            logged_drops: Cell::new(0),
        }
    }

    /// Announces to the other routers that this one leaves, and closes the link.
    pub(crate) async fn close<W: EntryWire>(&self, state: &EntryState<W>) {
        let report = EntryReport { leaving_router: true, ..EntryReport::default() };
        self.send_all(&wrap_message(Kind::EntryReport(report)));
        log::debug!("peers: leaving; closing the peer link. routers={}", state.live_routers());
        self.link.close().await;
    }

    /// Sends all other routers the cached parts that engines listed.
    pub(crate) fn announce_cached_parts<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        parts: &[CachedPart],
    ) {
        let mut report = build_status(state);
        report.kept = parts.iter().copied().map(encode_part).collect();
        self.send_all(&wrap_message(Kind::EntryReport(report)));
    }

    /// Returns the known routers, this one included.
    pub(crate) fn list_routers<W: EntryWire>(&self, state: &EntryState<W>) -> Vec<VmId> {
        let routers = self.routers.borrow();
        routers.keys().copied().chain([state.local_vm]).collect()
    }

    /// Returns the number of bytes sent to other routers.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.link.sent_bytes()
    }

    fn send_all(&self, message: &PeerMessage) {
        for (vm, router) in self.routers.borrow().iter() {
            self.link.send(*vm, router.address, message);
        }
    }

    /// Handles the messages of other routers until the link is closed.
    pub(crate) async fn receive<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        while let Some((source, message)) = self.link.receive().await {
            match message.kind {
                Some(Kind::EntryReport(report)) => {
                    self.record_router(state, &source, &report);
                    self.apply_report(state, &source, &report);
                }
                Some(Kind::DeclarationAsk(ask)) => {
                    self.answer_declaration_ask(state, &source, &ask)
                }
                Some(Kind::DeclarationCopy(copy)) => apply_declaration_copy(state, &copy),
                Some(Kind::ServerListAsk(_)) => self.handle_list_request(state, &source),
                Some(Kind::StreamOrigins(reported)) => record_origins(state, &reported),
                Some(Kind::StreamOriginAsk(ask)) => self.answer_origin_ask(state, &source, &ask),
                Some(Kind::ServerListCopy(copy)) => self.record_list_copy(state, &source, &copy),
                _ => {}
            }
        }
    }

    fn record_router<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        report: &EntryReport,
    ) {
        let domain = DomainId(report.domain);
        let now = state.now();
        let router = KnownRouter {
            address: source.address,
            last_heard: now,
            domain: Some(domain),
            strength: report.strength,
            callers_port: u16::try_from(report.callers_port).unwrap_or(0),
            writer_standing: decode_standing(report),
            offer: report.stopping_help.and_then(|stated| HelpOffer::decode(now, stated)),
        };
        let lost = report.lost_services.iter().copied().map(ReachKey).collect();
        self.lost_services.borrow_mut().insert(source.vm, lost);
        if report.scope() == EntryScope::Domain {
            self.relays.borrow_mut().record_relay(now, domain, source.vm);
        }
        self.heard.borrow_mut().insert(source.vm);
        if self.routers.borrow_mut().insert(source.vm, router).is_none() {
            log::info!("peers: first message of a router; added to the fleet. vm={}", source.vm);
        }
    }

    fn apply_report<W: EntryWire>(
        &self,
        state: &Rc<EntryState<W>>,
        source: &MessageSource,
        report: &EntryReport,
    ) {
        let now = state.now();
        if report.leaving_router {
            log::info!(
                "peers: router announced that it leaves; removed from the fleet. vm={}",
                source.vm
            );
            self.routers.borrow_mut().remove(&source.vm);
            self.lost_services.borrow_mut().remove(&source.vm);
            return state.loads.borrow_mut().remove_router(source.vm);
        }
        state.apply_evacuation_report(report, source.vm);
        self.record_loads(state, source, report);
        let relayed = self.choose_relay_updates(state, report);
        for row in &report.kept {
            let server = ServerId(row.server);
            let part = CachedPart { key: row.part, server, tokens: row.tokens };
            let is_new = state.cache_index.borrow_mut().record_part(now, part);
            if let Some(updates) = relayed.filter(|_| is_new && !report.tells_kept) {
                updates.borrow_mut().cached_parts.push(part);
            }
        }
        let listed = report.kept.iter().map(|row| ServerId(row.server));
        state.cache_sync.borrow_mut().record_lists(listed);
        for row in &report.strikes {
            let digest = RequestDigest(row.digest);
            let server = ServerId(row.server);
            let is_new = state.record_strike(digest, server, CrashSource::Router(source.vm));
            if let Some(updates) = relayed.filter(|_| is_new) {
                updates.borrow_mut().crashes.strikes.push((digest, server));
            }
        }
        apply_part_reports(state, source, report, relayed);
        for digest in &report.sound {
            let digest = RequestDigest(*digest);
            let struck = state.record_sound(digest);
            if let Some(updates) = relayed.filter(|_| struck) {
                updates.borrow_mut().crashes.sound.push(digest);
            }
        }
        for row in &report.outcomes {
            let server = ServerId(row.server);
            state.outcomes.borrow_mut().record_peer_ejection(now, server);
            if let Some(updates) = relayed {
                updates.borrow_mut().ejected.insert(server, now.plus_millis(PEER_EJECTION_MILLIS));
            }
        }
        for row in &report.slow {
            let server = ServerId(row.server);
            let factor = decode_factor(*row);
            state.speeds.borrow_mut().record_peer_factor(now, server, factor);
            if let Some(updates) = relayed {
                let until = now.plus_millis(PEER_FACTOR_MILLIS);
                updates.borrow_mut().slow.insert(server, (factor, until));
            }
        }
        state.apply_stated_speeds(report, relayed);
        for statement in report.limits.iter().map(|row| decode_limit(now, row)) {
            let is_new = state.record_limit(statement, &source.vm.to_string());
            if let Some(updates) = relayed.filter(|_| is_new) {
                updates.borrow_mut().limits.push(statement);
            }
        }
        for row in state.apply_brittle_report(report, &source.vm.to_string()) {
            if let Some(updates) = relayed {
                updates.borrow_mut().brittle.push(row);
            }
        }
        for (server, until) in state.apply_cold_report(report, &source.vm.to_string()) {
            if let Some(updates) = relayed {
                updates.borrow_mut().cold.push(server, until);
            }
        }
        for row in &report.leaving {
            let server = ServerId(row.server);
            let point = StorePoint::from_number(row.revision);
            if row.stated {
                state.record_leave_statement(server, &source.vm.to_string());
            } else if state.servers.borrow_mut().mark_leaving(now, server, point) {
                log::info!(
                    "servers: reported as leaving by {}; no new requests. server={server}",
                    source.vm
                );
                state.pool.borrow_mut().drop_idle_to(server);
            }
        }
        if state.origins.borrow_mut().mark_reported_stored(&report.stored_versions) {
            state.selection_input_change.notify_waiters();
        }
        let (declaration, directory) = state.peer_versions.get();
        let reported_directory = StorePoint::from_number(report.directory);
        state
            .peer_versions
            .set((declaration.max(report.declaration), directory.max(reported_directory)));
        state.peer_versions_change.notify_waiters();
        self.request_declarations(state, source, report.declaration);
        self.request_changed_servers(state, source, reported_directory);
        if report.joining {
            let remote = self.receives_relayed(state, Some(DomainId(report.domain)));
            let mut answer = if remote { build_status(state) } else { build_load_report(state) };
            if report.wants_kept && state.cache_sync.borrow().is_usable() {
                answer.tells_kept = true;
                answer.knows_kept = state.cache_sync.borrow().is_complete();
                answer.kept = list_cached_parts(state);
            }
            self.link.send(source.vm, source.address, &wrap_message(Kind::EntryReport(answer)));
            if !report.wants_kept {
                self.tell_joining(state, source, remote);
            }
            if !remote {
                self.send_strikes(state, source);
                self.send_leave_statements(state, source);
                self.send_limits(state, source);
                self.send_brittle_servers(state, source);
                self.send_cold_servers(state, source);
            }
        }
        if report.tells_kept && (report.knows_kept || !report.kept.is_empty()) {
            let (parts, complete) = (report.kept.len(), report.knows_kept);
            log::info!(
                "servers: cache index received from {}. parts={parts} whole={complete}",
                source.vm
            );
            state.cache_sync.borrow_mut().record_peer_sync(complete);
            state.selection_input_change.notify_waiters();
        }
        state.wake_for_room();
    }

    /// Sends the strikes that count to a router that starts, or that was silent.
    fn send_strikes<W: EntryWire>(&self, state: &EntryState<W>, source: &MessageSource) {
        let strikes = state.crashes.borrow().active_strikes(state.now());
        for batch in strikes.chunks(MAX_JOIN_STRIKES).take(MAX_JOIN_REPORTS) {
            let mut report = build_status(state);
            report.strikes = batch.iter().copied().map(encode_strike).collect();
            self.link.send(source.vm, source.address, &wrap_message(Kind::EntryReport(report)));
        }
        let quarantines = state.crashes.borrow().quarantined_parts(state.now());
        for batch in quarantines.chunks(MAX_JOIN_QUARANTINES).take(MAX_JOIN_REPORTS) {
            let mut report = build_status(state);
            report.quarantined = batch.iter().map(encode_quarantine).collect();
            self.link.send(source.vm, source.address, &wrap_message(Kind::EntryReport(report)));
        }
    }

    /// Sends the servers that stated that they leave to a router that starts, or that was silent. The
    /// store may list them as ready.
    fn send_leave_statements<W: EntryWire>(&self, state: &EntryState<W>, source: &MessageSource) {
        let stated: Vec<_> = state.servers.borrow().stated_leaves().collect();
        for batch in stated.chunks(MAX_JOIN_LEAVES).take(MAX_JOIN_REPORTS) {
            let mut report = build_status(state);
            report.leaving = batch.iter().copied().map(encode_departure).collect();
            self.link.send(source.vm, source.address, &wrap_message(Kind::EntryReport(report)));
        }
    }

    /// Sends the limits that servers name to a router that starts, or that was silent.
    fn send_limits<W: EntryWire>(&self, state: &EntryState<W>, source: &MessageSource) {
        let limits: Vec<_> = state.limits.borrow().statements().collect();
        for batch in limits.chunks(MAX_LIMITS).take(MAX_JOIN_REPORTS) {
            let mut report = build_status(state);
            let now = state.now();
            report.limits = batch.iter().map(|limit| encode_limit(now, limit)).collect();
            self.link.send(source.vm, source.address, &wrap_message(Kind::EntryReport(report)));
        }
    }

    /// Sends the servers that are brittle to a router that starts, or that was silent.
    fn send_brittle_servers<W: EntryWire>(&self, state: &EntryState<W>, source: &MessageSource) {
        let now = state.now();
        let rows: Vec<_> = state.brittle.borrow().statements().map(BrittleRow::from).collect();
        for batch in rows.chunks(MAX_BRITTLE).take(MAX_JOIN_REPORTS) {
            let mut report = build_status(state);
            report.brittle = batch.iter().map(|row| encode_brittle(now, row)).collect();
            self.link.send(source.vm, source.address, &wrap_message(Kind::EntryReport(report)));
        }
    }

    /// Sends the servers that are cold to a router that starts, or that was silent.
    fn send_cold_servers<W: EntryWire>(&self, state: &EntryState<W>, source: &MessageSource) {
        let now = state.now();
        let cold: Vec<_> = state.cold.borrow().table.stated(now).collect();
        for batch in cold.chunks(MAX_COLD).take(MAX_JOIN_REPORTS) {
            let mut report = build_status(state);
            report.cold = batch.iter().map(|cold| encode_cold(now, *cold)).collect();
            self.link.send(source.vm, source.address, &wrap_message(Kind::EntryReport(report)));
        }
    }

    /// Records the open requests of a report, unless they are for a relay and this router is not
    /// one.
    fn record_loads<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        report: &EntryReport,
    ) {
        let load_source = match report.scope() {
            EntryScope::Own => LoadSource::Router(source.vm),
            EntryScope::Domain if !self.is_relay.get() => return,
            EntryScope::Domain => LoadSource::Domain(DomainId(report.domain)),
            EntryScope::Elsewhere => LoadSource::OtherDomains,
        };
        if report.pieces == 0 {
            return;
        }
        let opens = report.opens.iter();
        let opens = opens.map(|row| {
            let load = OpenLoad {
                open: row.open,
                unread_tokens: row.unread_tokens,
                recent_sends: row.recent_sends,
            };
            (ServerId(row.server), load)
        });
        let EntryReport { routers, piece: fragment, pieces: fragments, .. } = *report;
        let demands = report.demands.iter();
        let demands = demands.map(|row| (ServiceKey(row.service), row.requests)).collect();
        let team_demands = report.team_demands.iter().map(decode_team).collect();
        let loads = ReportedLoads {
            routers,
            fragment,
            fragments,
            opens: opens.collect(),
            demands,
            team_demands,
        };
        state.loads.borrow_mut().record_report(state.now(), load_source, loads);
    }

    /// Returns the pending updates to which the updates of a report are added, if this router is a
    /// relay. A report without loads is a join announcement, or a list that its sender itself sends
    /// to all routers.
    fn choose_relay_updates<'a, W: EntryWire>(
        &self,
        state: &'a EntryState<W>,
        report: &EntryReport,
    ) -> Option<&'a RefCell<RelayUpdates>> {
        if !self.is_relay.get() || report.pieces == 0 {
            return None;
        }
        match report.scope() {
            EntryScope::Own => Some(&state.to_other_domains),
            EntryScope::Domain => Some(&state.to_own_domain),
            EntryScope::Elsewhere => None,
        }
    }

    /// Requests newer declarations from the router that reported them, since the store may not
    /// answer this router.
    fn request_declarations<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        version: u64,
    ) {
        let known = state.route_table().map_or(0, |table| table.version());
        let (newest, _) = state.peer_versions.get();
        if newest <= known {
            return self.outdated_since.set(None);
        }
        // The sender may be as outdated as this router, which says nothing about the others.
        if version <= known {
            return;
        }
        let since = self.outdated_since.get().unwrap_or_else(Instant::now);
        self.outdated_since.set(Some(since));
        let too_early = self.requested_at.get().is_some_and(|at| at.elapsed() < REQUEST_INTERVAL);
        let delay =
            if state.store_failing.get() { FAILED_STORE_DELAY } else { ANSWERING_STORE_DELAY };
        if too_early || since.elapsed() < delay {
            return;
        }
        self.requested_at.set(Some(Instant::now()));
        let message = wrap_message(Kind::DeclarationAsk(DeclarationAsk { version: known }));
        self.link.send(source.vm, source.address, &message);
    }

    fn answer_declaration_ask<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        ask: &DeclarationAsk,
    ) {
        let version = state.route_table().map_or(0, |table| table.version());
        let declarations = state.stored_declarations.borrow();
        let Some((point, content)) = declarations.as_ref().filter(|_| version > ask.version) else {
            return;
        };
        let content = content.as_bytes().to_vec();
        let copy = DeclarationCopy { version, revision: point.as_number(), content };
        self.link.send(source.vm, source.address, &wrap_message(Kind::DeclarationCopy(copy)));
    }

    /// Requests the list of servers from other routers, if the list is long and this router is not
    /// one of those that list it from the store.
    pub(crate) async fn request_server_list<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        let (local, others) = self.list_members(state);
        let ListSource::Routers(sources) = choose_list_source(local, &others) else {
            *state.list_copy.borrow_mut() = ListCopy::FromStore;
            return state.list_copy_change.notify_waiters();
        };
        let mut attempt = 0;
        while !state.servers.borrow().is_listed() {
            let changed = state.list_copy_change.notified();
            if !matches!(*state.list_copy.borrow(), ListCopy::Wanted) {
                changed.await;
                continue;
            }
            let asked =
                choose_asked_router(&sources, attempt, |vm| self.heard.borrow().contains(&vm));
            if let Some(vm) = asked {
                self.send_kind(vm, Kind::ServerListAsk(ServerListAsk {}));
            }
            attempt += 1;
            sleep(LIST_REQUEST_INTERVAL).await;
        }
    }

    /// Requests the list of servers from the router that reported a newer change, since the store may not answer
    /// this router. A server may have started again with another software version.
    fn request_changed_servers<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        change: StorePoint,
    ) {
        let (_, newest) = state.peer_versions.get();
        let servers = state.servers.borrow();
        if !servers.is_listed() || !servers.is_outdated(newest) {
            return self.list_outdated_since.set(None);
        }
        // The sender may be as outdated as this router, which says nothing about the others.
        if !servers.is_outdated(change) {
            return;
        }
        let since = self.list_outdated_since.get().unwrap_or_else(Instant::now);
        self.list_outdated_since.set(Some(since));
        let is_small = self.routers.borrow().len() < MAX_SMALL_FLEET;
        let delay = match (state.store_failing.get(), is_small) {
            (true, _) => Duration::ZERO,
            (false, true) => SMALL_FLEET_LIST_DELAY,
            (false, false) => ANSWERING_STORE_DELAY,
        };
        let asked = self.changes_asked_at.get();
        if since.elapsed() < delay || asked.is_some_and(|at| at.elapsed() < REQUEST_INTERVAL) {
            return;
        }
        self.changes_asked_at.set(Some(Instant::now()));
        self.send_kind(source.vm, Kind::ServerListAsk(ServerListAsk {}));
    }

    /// Sends the list of servers, once it is known, to the routers that requested it before.
    pub(crate) async fn answer_list_requests<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        while !state.servers.borrow().is_listed() {
            state.list_copy_change.notified().await;
        }
        let waiting = std::mem::take(&mut *self.list_requests.borrow_mut());
        for vm in waiting {
            self.send_server_list(state, vm);
        }
    }

    /// Answers a request for the list of servers, or records it until the list is known.
    fn handle_list_request<W: EntryWire>(&self, state: &EntryState<W>, source: &MessageSource) {
        if state.servers.borrow().is_listed() {
            self.send_server_list(state, source.vm);
        } else {
            self.list_requests.borrow_mut().insert(source.vm);
        }
    }

    /// Hands a list of servers to the follower of the store, if that waits for one, or applies it if it was requested
    /// since this router lacks changes.
    fn record_list_copy<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        copy: &ServerListCopy,
    ) {
        let is_wanted = matches!(*state.list_copy.borrow(), ListCopy::Wanted);
        if !is_wanted && self.changes_asked_at.get().is_none() {
            return;
        }
        let Some(list) = decode_server_list(copy) else {
            log::warn!(
                "peers: list of servers of another router ignored; a row has an invalid address or \
                 refers to a missing name. vm={}",
                source.vm
            );
            return;
        };
        if is_wanted {
            *state.list_copy.borrow_mut() = ListCopy::Received(list);
            state.list_copy_change.notify_waiters();
        } else if list.point > state.servers.borrow().point() {
            apply_server_list(state, list, "peer");
        }
    }

    fn send_server_list<W: EntryWire>(&self, state: &EntryState<W>, vm: VmId) {
        let sent = self.lists_sent.borrow().get(&vm).copied();
        if sent.is_some_and(|sent| sent.elapsed() < LIST_RESEND_INTERVAL) {
            return;
        }
        self.lists_sent.borrow_mut().insert(vm, Instant::now());
        let copy = encode_server_list(&state.servers.borrow());
        log::info!(
            "peers: list of servers sent to a router that starts. vm={vm} servers={}",
            copy.rows.len()
        );
        self.send_kind(vm, Kind::ServerListCopy(copy));
    }

    /// How well a router can write origins of streams to the store, as it last reported.
    pub(crate) fn writer_standing(&self, vm: VmId) -> Option<WriterStanding> {
        self.routers.borrow().get(&vm)?.writer_standing
    }

    pub(crate) fn send_kind(&self, vm: VmId, kind: Kind) {
        if let Some(router) = self.routers.borrow().get(&vm) {
            self.link.send(vm, router.address, &wrap_message(kind));
        }
    }

    /// Sends a join announcement, then reports to the other routers as long as the process runs.
    pub(crate) async fn send_reports<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        let mut announcement = build_status(state);
        announcement.joining = true;
        self.send_all(&wrap_message(Kind::EntryReport(announcement)));
        let mut last: Option<Instant> = None;
        loop {
            let plan = self.plan_reports(state);
            state.accrue_retries();
            let interval = choose_check_interval(&plan);
            let due = last.is_none_or(|last| last.elapsed() >= MAX_REPORT_INTERVAL.max(interval));
            if due || has_updates(state) {
                self.send_to(&plan.direct_peers, build_report(state));
                last = Some(Instant::now());
            }
            self.relay_updates(state, &plan);
            self.send_origins(state);
            sleep(interval).await;
        }
    }

    fn plan_reports<W: EntryWire>(&self, state: &EntryState<W>) -> ReportPlan {
        let (local, others) = self.list_members(state);
        let plan = self.relays.borrow_mut().plan_reports(state.now(), local, &others);
        *state.other_routers.borrow_mut() = others.iter().map(|member| member.vm).collect();
        if self.is_relay.replace(plan.is_relay) != plan.is_relay {
            log::info!(
                "peers: relay role changed; this router is the relay of its domain: {}. domain={}",
                plan.is_relay,
                state.local_domain
            );
        }
        if state.consistent_reads.replace(plan.consistent_reads) != plan.consistent_reads {
            log::info!(
                "store: read mode changed; consistent reads: {}. routers={}",
                plan.consistent_reads,
                others.len() + 1
            );
        }
        if !state.short_watches.replace(plan.short_watches) && plan.short_watches {
            state.watches_shortened.notify_waiters();
        }
        plan
    }

    /// Returns this router and the others, as input to the report plan.
    pub(crate) fn list_members<W: EntryWire>(
        &self,
        state: &EntryState<W>,
    ) -> (FleetMember, Vec<FleetMember>) {
        let now = state.now();
        let routers = self.routers.borrow();
        let member = |(vm, router): (&VmId, &KnownRouter)| FleetMember {
            vm: *vm,
            domain: router.domain,
            alive: now.millis_since(router.last_heard) < ALIVE_MILLIS,
            strength: router.strength,
        };
        let local = FleetMember {
            vm: state.local_vm,
            domain: Some(state.local_domain),
            alive: true,
            strength: state.settings().strength(),
        };
        (local, routers.iter().map(member).collect())
    }

    /// Sends load totals and updates between domains, if this router is a relay.
    fn relay_updates<W: EntryWire>(&self, state: &EntryState<W>, plan: &ReportPlan) {
        if !plan.is_relay {
            *state.to_other_domains.borrow_mut() = RelayUpdates::default();
            *state.to_own_domain.borrow_mut() = RelayUpdates::default();
            return;
        }
        state.loads.borrow_mut().set_other_domain_count(plan.other_domain_count);
        for report in build_domain_reports(state) {
            self.send_to(&plan.remote_peers, report);
        }
        if !state.loads.borrow().covers_other_domains() {
            return;
        }
        for report in build_other_domain_reports(state) {
            self.send_to(&plan.direct_peers, report);
        }
    }

    /// Whether a router of this domain receives the reports of this router through relays.
    fn receives_relayed<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        domain: Option<DomainId>,
    ) -> bool {
        self.routers.borrow().len() >= MAX_SMALL_FLEET && is_remote(domain, state.local_domain)
    }

    /// Chooses a router that reaches the service, in the own failure domain if at least half of it
    /// does; else one that stops, if it lasts until `deadline`.
    pub(crate) fn choose_helper<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        service: ReachKey,
        deadline: Instant,
        tried: &BTreeSet<VmId>,
    ) -> Option<CallHelper> {
        let now = state.now();
        let routers = self.routers.borrow();
        let lost = self.lost_services.borrow();
        let failed = self.failed_helpers.borrow();
        let large = routers.len() >= MAX_SMALL_FLEET;
        let helps = |vm: &VmId, router: &KnownRouter| {
            let remote = large && is_remote(router.domain, state.local_domain);
            let silent_millis = if remote { REMOVAL_MILLIS } else { ALIVE_MILLIS };
            now.millis_since(router.last_heard) < silent_millis
                && lost.get(vm).is_none_or(|services| !services.contains(&service))
                && failed.get(vm).is_none_or(|until| *until <= Instant::now())
                && !tried.contains(vm)
        };
        let (helpers, others): (Vec<_>, Vec<_>) = routers
            .iter()
            .filter(|(vm, router)| helps(vm, router))
            .partition(|(_, router)| router.callers_port != 0);
        let is_near = |router: &KnownRouter| router.domain == Some(state.local_domain);
        let near = helpers.iter().copied().filter(|(_, router)| is_near(router));
        let near: Vec<_> = near.collect();
        let near_routers = routers.values().filter(|router| is_near(router)).count();
        let chosen =
            if !near.is_empty() && near.len() * 2 >= near_routers { near } else { helpers };
        let deadline = now.plus(deadline.saturating_duration_since(Instant::now()));
        let offers = others.into_iter().filter_map(|(vm, router)| {
            let offer = router.offer.filter(|offer| offer.allows(now, deadline))?;
            Some((vm, router, offer.port))
        });
        let serving = chosen.into_iter().map(|(vm, router)| (vm, router, router.callers_port));
        let mut random = rand::rng();
        let (vm, router, port) =
            serving.choose(&mut random).or_else(|| offers.choose(&mut random))?;
        Some(CallHelper { vm: *vm, address: SocketAddr::new(router.address.ip(), port) })
    }

    /// Records that a router could not be connected to, or can't take requests.
    pub(crate) fn record_failed_helper(&self, vm: VmId) {
        self.failed_helpers.borrow_mut().insert(vm, Instant::now() + FAILED_HELPER_TIME);
    }

    /// Signs the statement that accompanies a request to another router.
    pub(crate) fn sign_forwarded(&self, vm: VmId, forwarded: ForwardedCall) -> Vec<u8> {
        self.link.sign_message(vm, &wrap_message(Kind::ForwardedCall(forwarded)))
    }

    /// Verifies such a statement.
    pub(crate) fn verify_forwarded(&self, frame: &[u8]) -> Option<ForwardedCall> {
        match self.link.verify_message(frame)?.kind {
            Some(Kind::ForwardedCall(forwarded)) => Some(forwarded),
            _ => None,
        }
    }

    fn send_to(&self, vms: &[VmId], report: EntryReport) {
        let message = wrap_message(Kind::EntryReport(report));
        let routers = self.routers.borrow();
        for vm in vms {
            if let Some(router) = routers.get(vm) {
                self.link.send(*vm, router.address, &message);
            }
        }
    }

    /// Requests the cache index of other routers.
    pub(crate) fn request_cache_index<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        sources: &[VmId],
    ) {
        if sources.is_empty() {
            return;
        }
        let mut report = build_status(state);
        // Routers answer only reports with `joining` set.
        report.joining = true;
        report.wants_kept = true;
        self.send_to(sources, report);
    }

    /// Counts received messages that the link dropped, and logs those dropped because of an
    /// incarnation. Some are dropped around each restart of a router; if it goes on, two routers
    /// disagree on which process of a VM is the latest.
    fn report_drops(&self) {
        let drops = self.link.dropped();
        for reason in DropReason::ALL {
            metrics::counter!("catkin_entry_peer_drops_total", "reason" => reason.as_word())
                .absolute(drops.count(reason));
        }
        let old_sender = drops.count(DropReason::OldSender);
        let old_receiver = drops.count(DropReason::OldReceiver);
        if old_sender + old_receiver > self.logged_drops.replace(old_sender + old_receiver) {
            log::info!(
                "peers: messages from or to earlier processes of a VM dropped. \
                 old_sender_total={old_sender} old_receiver_total={old_receiver}"
            );
        }
    }

    /// Sends join announcements to silent routers as long as the process runs.
    pub(crate) async fn announce_to_silent<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        loop {
            sleep(ANNOUNCE_INTERVAL).await;
            self.report_drops();
            let now = state.now();
            let mut routers = self.routers.borrow_mut();
            routers.retain(|_, router| now.millis_since(router.last_heard) < REMOVAL_MILLIS);
            self.lost_services.borrow_mut().retain(|vm, _| routers.contains_key(vm));
            self.origins_told.borrow_mut().retain(|vm, _| routers.contains_key(vm));
            self.failed_helpers.borrow_mut().retain(|_, until| Instant::now() < *until);
            let mut report = build_status(state);
            report.joining = true;
            let message = wrap_message(Kind::EntryReport(report));
            let large = routers.len() >= MAX_SMALL_FLEET;
            let is_silent = |router: &&KnownRouter| {
                let remote = large && is_remote(router.domain, state.local_domain);
                let limit = if remote { REMOTE_SILENT_MILLIS } else { ALIVE_MILLIS };
                now.millis_since(router.last_heard) > limit
            };
            for (vm, router) in routers.iter().filter(|(_, router)| is_silent(router)) {
                self.link.send(*vm, router.address, &message);
            }
        }
    }
}

/// Applies what a report says of prompt parts that may crash servers, and queues what is new to be
/// relayed.
fn apply_part_reports<W: EntryWire>(
    state: &EntryState<W>,
    source: &MessageSource,
    report: &EntryReport,
    relayed: Option<&RefCell<RelayUpdates>>,
) {
    let reporter = CrashSource::Router(source.vm);
    let now = state.now();
    for crash in report.crashes.iter().map(|crash| decode_crash(now, crash)) {
        let is_new = state.record_crash(&crash, reporter);
        if let Some(updates) = relayed.filter(|_| is_new) {
            updates.borrow_mut().crashes.crashes.push(crash);
        }
    }
    for quarantine in report.quarantined.iter().map(decode_quarantine) {
        let is_new = state.record_quarantine(&quarantine, reporter);
        if let Some(updates) = relayed.filter(|_| is_new) {
            updates.borrow_mut().crashes.quarantined.push(quarantine);
        }
    }
    let sound: Vec<PartKey> = report.sound_parts.iter().copied().map(PartKey).collect();
    for part in state.clear_parts(&sound) {
        if let Some(updates) = relayed {
            updates.borrow_mut().crashes.sound_parts.push(part);
        }
    }
}

fn apply_declaration_copy<W: EntryWire>(state: &EntryState<W>, copy: &DeclarationCopy) {
    match std::str::from_utf8(&copy.content) {
        Ok(content) => {
            let point = StorePoint::from_number(copy.revision);
            install_declarations(state, point, content, "peer");
        }
        Err(error) => log::warn!(
            "peers: declarations of another router ignored; they are not UTF-8. error={error}"
        ),
    }
}

fn is_remote(domain: Option<DomainId>, local: DomainId) -> bool {
    domain.is_some_and(|domain| domain != local)
}

/// Returns the interval of checks for updates to report. It grows with the number of routers that
/// report to one another, so that a router receives at most [`MAX_REPORTS_PER_SECOND`].
fn choose_check_interval(plan: &ReportPlan) -> Duration {
    let senders = (plan.direct_peers.len() + plan.remote_peers.len() + 1) as u32;
    UPDATE_CHECK_INTERVAL.max(Duration::from_secs(1) * senders / MAX_REPORTS_PER_SECOND)
}

/// Announces that this router leaves and closes the link, waiting at most [`CLOSE_TIMEOUT`].
pub(crate) async fn close_service<W: EntryWire>(service: &PeerService, state: &EntryState<W>) {
    if timeout(CLOSE_TIMEOUT, service.close(state)).await.is_err() {
        log::warn!("peers: closing the peer link timed out; leaving the fleet anyway.");
    }
}

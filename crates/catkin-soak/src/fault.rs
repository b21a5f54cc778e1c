//! Injects faults into routers, links, servers and the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use catkin_entry::{ColdRecord, StoreKind};
use rand::Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::check::SoakBounds;
use crate::ledger::{
    CallKind, ColdPeriod, CutRecord, DOMAINS, EvacuationRecord, FaultPeriod, FaultTarget,
    LeavingRecord, LimitRecord, VersionRecord,
};
use crate::link::{LinkFlow, LinkProxy};
use crate::plan::{FaultKind, LinkFault, PlannedFault};
use crate::router::RouterSupervisor;
use crate::run::{
    FIRST_SOFTWARE, SoakContext, domain_name, encode_server_entry, write_declarations,
};
use crate::server::{ServerIdentity, StandinServer};
use crate::source_cut::{CutKind, SourceCuts};
use crate::store::{StandinStore, StoreBehavior};
use crate::wire::StandinWire;

/// Delay of a delayed link in each direction, in milliseconds.
const DELAY_MILLIS: u64 = 250;
/// Time for which a leaving server keeps serving; longer than `SoakBounds::leaving`, after which no
/// request may reach it.
const LEAVING_SERVE_TIME: Duration = Duration::from_millis(3_200);
/// Time for which the entry of a crashed server stays in the store.
const ENTRY_EXPIRY_DELAY: Duration = Duration::from_millis(1_500);
/// Time between a server's end and the start of one with a newer version.
const RELEASE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between a server's end and the next use of its address.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_millis(2_000);
/// Interval between the stops of two routers when all are stopped one after the other.
const STOP_INTERVAL: Duration = Duration::from_millis(700);
/// Time in which callers may still use a blackholed connection, in milliseconds: one request.
const BLACKHOLE_MILLIS: u64 = 9_000;
/// Time after a restore of the store until the operator and the servers have written again what was
/// lost.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Minimum number of servers that each service keeps.
const MIN_SERVERS: usize = 2;

/// The components of a soak that faults affect.
pub(crate) struct SoakFleet<W> {
    pub(crate) context: Rc<SoakContext>,
    pub(crate) store: Rc<StandinStore<W>>,
    pub(crate) routers: Vec<Rc<RouterSupervisor>>,
    pub(crate) servers: Vec<Rc<StandinServer<W>>>,
    /// By address index of the server; the links below are by index of the router.
    pub(crate) server_links: Vec<LinkProxy>,
    pub(crate) caller_links: Vec<LinkProxy>,
    pub(crate) store_links: Vec<LinkProxy>,
    /// Whether a fault already affects the server at an address.
    pub(crate) faulted: Vec<Cell<bool>>,
    /// Number in the name of the newest server.
    pub(crate) newest_identity: Cell<usize>,
    pub(crate) version: Cell<u64>,
    /// Newest version of the software of servers that stream.
    pub(crate) software: Cell<u32>,
    /// The service whose servers are cold after a start, if any.
    pub(crate) cold: Option<(CallKind, ColdRecord)>,
    /// The evacuated failure domains, and when the store accepted their entries.
    pub(crate) evacuated: RefCell<BTreeMap<usize, u64>>,
}

impl<W: StandinWire> SoakFleet<W> {
    /// Injects a fault and returns once everything that it affected works again.
    pub(crate) async fn inject(&self, fault: PlannedFault) {
        let length = Duration::from_millis(fault.length);
        match fault.kind {
            FaultKind::StopRouter(router) => self.routers[router].stop().await,
            FaultKind::KillRouter(router) => self.routers[router].kill(),
            FaultKind::PauseRouter(router) => self.pause_router(router, length).await,
            FaultKind::ReloadSettings(router) => self.reload_router(router),
            FaultKind::RewriteSettings(router) => self.rewrite_settings(router),
            FaultKind::KillAll => self.routers.iter().for_each(|router| router.kill()),
            FaultKind::StopAll => self.stop_all().await,
            FaultKind::CallerLink(router, link_fault) => {
                let target = FaultTarget::CallerLink(router);
                self.break_link(&self.caller_links[router], target, link_fault, length).await;
            }
            FaultKind::StoreLink(router, link_fault) => {
                let target = FaultTarget::StoreLink(router);
                self.break_link(&self.store_links[router], target, link_fault, length).await;
            }
            FaultKind::ServerLink(server, link_fault) => {
                let target = FaultTarget::ServerLink(server);
                self.break_link(&self.server_links[server], target, link_fault, length).await;
            }
            FaultKind::StoreDown => self.break_store(StoreBehavior::Down, length).await,
            FaultKind::StoreSlow => self.break_store(StoreBehavior::Slow, length).await,
            FaultKind::StoreLosesAnswers => {
                self.break_store(StoreBehavior::LosesAnswers, length).await;
            }
            FaultKind::StoreDropsHistory => self.store.drop_history(),
            FaultKind::RestoreStore => self.restore_store(length).await,
            FaultKind::SilenceStore => self.silence_store().await,
            FaultKind::CrashServer(server) => self.crash_server(server, length).await,
            FaultKind::AnnounceLeave(server) => self.replace_server(server, true).await,
            FaultKind::RemoveServer(server) => self.replace_server(server, false).await,
            FaultKind::WriteDeclarations => self.write_version(),
            FaultKind::NameLimit(server, limit) => self.limit_server(server, limit, length).await,
            FaultKind::AskPauses(server, pause) => {
                self.servers[server].set_pause(Some(pause));
                sleep(length).await;
                self.servers[server].set_pause(None);
            }
            FaultKind::CutRouters(first, count, kind) => {
                self.cut_routers(first, count, kind, length).await;
            }
            FaultKind::SilenceServers(first, count) => {
                self.silence_servers(first, count, length).await;
            }
            FaultKind::EvacuateDomain(domain) => self.evacuate_domain(domain, length).await,
            FaultKind::RestartServer(server) => self.restart_server(server, length).await,
            FaultKind::TurnCold(server) => self.turn_cold(server).await,
            FaultKind::ReleaseSoftware(percent) => self.release_software(percent).await,
        }
    }

    async fn pause_router(&self, router: usize, length: Duration) {
        let target = FaultTarget::Router(router);
        let Some(process) = self.routers[router].signal(Signal::STOP) else { return };
        let period = self.begin_fault(target, false);
        sleep(length).await;
        if self.routers[router].process() == Some(process) {
            self.routers[router].signal(Signal::CONT);
        }
        self.context.end_period(period);
    }

    fn reload_router(&self, router: usize) {
        self.rewrite_settings(router);
        self.routers[router].reload_settings();
    }

    fn rewrite_settings(&self, router: usize) {
        if let Err(error) = self.routers[router].rewrite_settings() {
            self.context.record_error(error);
        }
    }

    async fn stop_all(&self) {
        let stops = self.routers.iter().enumerate().map(|(index, router)| async move {
            sleep(STOP_INTERVAL * index as u32).await;
            router.stop().await;
        });
        join_all(stops.collect()).await;
    }

    async fn break_link(
        &self,
        link: &LinkProxy,
        target: FaultTarget,
        fault: LinkFault,
        length: Duration,
    ) {
        let period = self.begin_fault(target, false);
        match fault {
            LinkFault::Reset => link.update_state(|state| state.resets += 1),
            LinkFault::Blackhole => link.update_state(|state| state.blackholes += 1),
            LinkFault::HoldForward => link.update_state(|state| state.forward = LinkFlow::Hold),
            LinkFault::HoldBackward => link.update_state(|state| state.backward = LinkFlow::Hold),
            LinkFault::Delay => link.update_state(|state| {
                state.forward = LinkFlow::Delay(DELAY_MILLIS);
                state.backward = LinkFlow::Delay(DELAY_MILLIS);
            }),
        }
        match (fault, target) {
            (LinkFault::Blackhole, FaultTarget::CallerLink(_)) => {
                sleep(Duration::from_millis(BLACKHOLE_MILLIS)).await;
            }
            (LinkFault::Reset | LinkFault::Blackhole, _) => {}
            _ => sleep(length).await,
        }
        link.update_state(|state| {
            state.forward = LinkFlow::Pass;
            state.backward = LinkFlow::Pass;
        });
        self.context.end_period(period);
    }

    async fn break_store(&self, behavior: StoreBehavior, length: Duration) {
        let period = self.begin_fault(FaultTarget::Store, false);
        self.store.set_behavior(behavior);
        sleep(length).await;
        self.store.set_behavior(StoreBehavior::Normal);
        self.context.end_period(period);
    }

    async fn restore_store(&self, lost: Duration) {
        let (copy, copied_at) = (self.store.copy(), self.context.now());
        sleep(lost).await;
        let period = self.begin_fault(FaultTarget::Store, false);
        let before = self.store.restore(copy.clone());
        sleep(REWRITE_DELAY).await;
        self.store.write_again(&copy, &before);
        self.write_evacuations_again(copied_at);
        self.context.end_period(period);
        self.expect_current_version().await;
    }

    async fn silence_store(&self) {
        let period = self.begin_fault(FaultTarget::Store, false);
        for link in &self.store_links {
            link.update_state(|state| state.blackholes += 1);
        }
        self.context.end_period(period);
        self.write_version();
        self.expect_current_version().await;
    }

    /// Expects that the current declarations come into force once the limits hold again after a fault
    /// that has just ended.
    async fn expect_current_version(&self) {
        let version = self.version.get();
        sleep(Duration::from_millis(SoakBounds::default().fault_grace + 1)).await;
        let record = VersionRecord { version, at: self.context.now() };
        self.context.ledger.borrow_mut().versions.push(record);
    }

    async fn crash_server(&self, address_index: usize, length: Duration) {
        if self.faulted[address_index].replace(true) {
            return;
        }
        let period = self.begin_fault(FaultTarget::Server(address_index), false);
        let server = &self.servers[address_index];
        let identity = server.identity();
        server.crash();
        sleep(ENTRY_EXPIRY_DELAY).await;
        self.store.remove(StoreKind::Servers, &identity.name);
        sleep(length).await;
        self.start_server(address_index, self.choose_identity(identity.service));
        self.context.end_period(period);
        self.warm_up(address_index).await;
        self.faulted[address_index].set(false);
    }

    /// Removes a server, with an announcement in the store or without, and starts another one at
    /// its address.
    async fn replace_server(&self, address_index: usize, announces: bool) {
        let server = &self.servers[address_index];
        let identity = server.identity();
        let is_usable = |other: &&Rc<StandinServer<W>>| {
            other.identity().service == identity.service && !self.faulted[other.address_index].get()
        };
        if self.faulted[address_index].get()
            || self.servers.iter().filter(is_usable).count() <= MIN_SERVERS
        {
            return;
        }
        self.faulted[address_index].set(true);
        server.leave();
        if announces {
            self.write_server_entry(address_index, true, 0);
        } else {
            self.store.remove(StoreKind::Servers, &identity.name);
        }
        let leaving = LeavingRecord { server: identity.name.clone(), at: self.context.now() };
        self.context.ledger.borrow_mut().leavings.push(leaving);
        sleep(LEAVING_SERVE_TIME).await;
        let period = self.begin_fault(FaultTarget::Server(address_index), false);
        server.crash();
        self.store.remove(StoreKind::Servers, &identity.name);
        sleep(ADDRESS_REUSE_DELAY).await;
        let services = [CallKind::Single.service(), CallKind::Stream.service()];
        let service = services[rand::rng().random_range(0..services.len())];
        self.start_server(address_index, self.choose_identity(service.to_owned()));
        self.context.end_period(period);
        self.warm_up(address_index).await;
        self.faulted[address_index].set(false);
    }

    /// Makes a server name a limit for a while, unless it crashes or leaves meanwhile.
    async fn limit_server(&self, address_index: usize, per_second: u64, length: Duration) {
        let server = &self.servers[address_index];
        let name = server.identity().name;
        if server.names_limit() {
            return;
        }
        server.set_limit(Some(per_second));
        let from = self.context.now();
        sleep(length).await;
        server.set_limit(None);
        if server.identity().name == name {
            let until = self.context.now();
            let record = LimitRecord { server: name, per_second, from, until };
            self.context.ledger.borrow_mut().limits.push(record);
        }
    }

    /// Cuts routers off from all servers, unless others are.
    async fn cut_routers(&self, first: usize, count: usize, kind: CutKind, length: Duration) {
        if !self.context.cuts.borrow().is_empty() {
            return;
        }
        let all = self.routers.len();
        let routers: Vec<usize> = (first..first + count).map(|router| router % all).collect();
        let sources = routers.iter().map(|router| (self.routers[*router].source(), kind));
        self.context.cuts.send_replace(sources.collect());
        let periods = routers.iter().map(|router| FaultTarget::ServerPaths(*router));
        let periods: Vec<usize> = periods.map(|target| self.begin_fault(target, false)).collect();
        let from = self.context.now();
        sleep(length).await;
        let until = self.context.now();
        self.context.cuts.send_replace(SourceCuts::new());
        periods.into_iter().for_each(|period| self.context.end_period(period));
        self.context.ledger.borrow_mut().cuts.push(CutRecord { routers, from, until });
    }

    /// Holds all bytes to and from servers while new declarations come.
    async fn silence_servers(&self, first: usize, count: usize, length: Duration) {
        let all = self.server_links.len();
        let silences = (first..first + count).map(|server| async move {
            let server = server % all;
            let (link, target) = (&self.server_links[server], FaultTarget::ServerLink(server));
            link.update_state(|state| state.forward = LinkFlow::Hold);
            self.break_link(link, target, LinkFault::HoldBackward, length).await;
        });
        self.write_version();
        join_all(silences.collect()).await;
    }

    fn choose_identity(&self, service: String) -> ServerIdentity {
        self.newest_identity.set(self.newest_identity.get() + 1);
        let name = format!("s{}", self.newest_identity.get());
        let is_released = service == CallKind::Stream.service();
        let software = if is_released { self.software.get() } else { FIRST_SOFTWARE };
        ServerIdentity { name, service, software, started: self.context.now() }
    }

    fn start_server(&self, address_index: usize, identity: ServerIdentity) {
        let cold_millis = self.begin_cold(address_index, &identity);
        self.servers[address_index].start(identity);
        self.write_server_entry(address_index, false, cold_millis);
    }

    fn write_server_entry(&self, address_index: usize, leaving: bool, cold_millis: u32) {
        let identity = self.servers[address_index].identity();
        let address = self.server_links[address_index].address;
        let entry =
            encode_server_entry::<W>(&identity, address_index, address, leaving, cold_millis);
        self.store.write(StoreKind::Servers, &identity.name, entry);
    }

    /// Makes a server cold if its service has cold servers, and returns for how many milliseconds.
    fn begin_cold(&self, address_index: usize, identity: &ServerIdentity) -> u32 {
        let is_cold = |(kind, _): &(CallKind, ColdRecord)| kind.service() == identity.service;
        let Some((_, record)) = self.cold.filter(is_cold) else { return 0 };
        let millis = record.start.as_millis() as u32;
        let from = self.context.now();
        let until = from + u64::from(millis);
        self.servers[address_index].set_cold_until(until);
        let (server, per_thousand_seconds) = (identity.name.clone(), record.per_thousand_seconds);
        let period = ColdPeriod { server, per_thousand_seconds, from, until };
        self.context.ledger.borrow_mut().cold_periods.push(period);
        millis
    }

    /// Waits until a server is warm, and writes that to its entry. The server must be marked as affected
    /// by a fault.
    async fn warm_up(&self, address_index: usize) {
        let service = self.servers[address_index].identity().service;
        let Some((_, record)) = self.cold.filter(|(kind, _)| kind.service() == service) else {
            return;
        };
        sleep(record.start).await;
        self.write_server_entry(address_index, false, 0);
    }

    /// Crashes a server and starts it again under its name.
    async fn restart_server(&self, address_index: usize, length: Duration) {
        if self.faulted[address_index].replace(true) {
            return;
        }
        let period = self.begin_fault(FaultTarget::Server(address_index), false);
        let server = &self.servers[address_index];
        server.crash();
        sleep(length).await;
        let identity = ServerIdentity { started: self.context.now(), ..server.identity() };
        self.start_server(address_index, identity);
        self.context.end_period(period);
        self.warm_up(address_index).await;
        self.faulted[address_index].set(false);
    }

    /// Replaces a percentage of the servers that stream with servers of a newer version, one after the
    /// other at the same addresses.
    async fn release_software(&self, percent: usize) {
        self.software.set(self.software.get() + 1);
        let service = CallKind::Stream.service();
        let streams = |index: &usize| self.servers[*index].identity().service == service;
        let mut addresses: Vec<usize> = (0..self.servers.len()).filter(streams).collect();
        addresses.truncate((addresses.len() * percent).div_ceil(100));
        let replace = async |(index, address_index): (usize, usize)| {
            sleep(RELEASE_INTERVAL * index as u32).await;
            // Meanwhile a server of another service may have started at the address.
            if !streams(&address_index) || self.faulted[address_index].replace(true) {
                return;
            }
            let period = self.begin_fault(FaultTarget::Server(address_index), false);
            let server = &self.servers[address_index];
            server.crash();
            self.store.remove(StoreKind::Servers, &server.identity().name);
            sleep(RELEASE_INTERVAL).await;
            self.start_server(address_index, self.choose_identity(service.to_owned()));
            self.context.end_period(period);
            self.warm_up(address_index).await;
            self.faulted[address_index].set(false);
        };
        join_all(addresses.into_iter().enumerate().map(replace).collect()).await;
    }

    /// Makes a server cold that runs on. It does not while the store has a fault, since its entry
    /// could not be written then.
    async fn turn_cold(&self, address_index: usize) {
        let now = self.context.now();
        let is_down = self.context.ledger.borrow().is_affected(&[FaultTarget::Store], now, now);
        if is_down || self.faulted[address_index].replace(true) {
            return;
        }
        let cold_millis = self.begin_cold(address_index, &self.servers[address_index].identity());
        self.write_server_entry(address_index, false, cold_millis);
        self.warm_up(address_index).await;
        self.faulted[address_index].set(false);
    }

    /// Evacuates a failure domain for a while, unless it is evacuated already.
    async fn evacuate_domain(&self, domain: usize, length: Duration) {
        if self.evacuated.borrow().contains_key(&domain) {
            return;
        }
        self.store.write(StoreKind::Evacuations, &domain_name(domain), "{}".to_owned());
        self.evacuated.borrow_mut().insert(domain, self.context.now());
        sleep(length).await;
        self.store.remove(StoreKind::Evacuations, &domain_name(domain));
        let from = self.evacuated.borrow_mut().remove(&domain);
        let Some(from) = from else { return };
        let record = EvacuationRecord { domain, from, until: self.context.now() };
        self.context.ledger.borrow_mut().evacuations.push(record);
    }

    /// Writes the evacuations again that a restore of the store lost, or removes those that it brought
    /// back.
    fn write_evacuations_again(&self, copied_at: u64) {
        for domain in 0..DOMAINS {
            let name = domain_name(domain);
            match self.evacuated.borrow_mut().get_mut(&domain) {
                Some(from) => {
                    self.store.write(StoreKind::Evacuations, &name, "{}".to_owned());
                    if *from >= copied_at {
                        *from = self.context.now();
                    }
                }
                None => self.store.remove(StoreKind::Evacuations, &name),
            }
        }
    }

    fn write_version(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        write_declarations(&self.store, version, self.cold);
        let record = VersionRecord { version, at: self.context.now() };
        self.context.ledger.borrow_mut().versions.push(record);
    }

    fn begin_fault(&self, target: FaultTarget, planned: bool) -> usize {
        let from = self.context.now();
        self.context.begin_period(FaultPeriod { target, from, until: u64::MAX, planned })
    }
}

/// Waits for all futures.
pub(crate) async fn join_all(futures: Vec<impl Future<Output = ()>>) {
    let mut pending: Vec<_> = futures.into_iter().map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

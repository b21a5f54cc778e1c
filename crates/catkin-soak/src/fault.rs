//! Plays faults on routers, links, servers and the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use catkin_entry::StoreKind;
use rand::Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::ledger::{CallKind, FaultPeriod, FaultSubject, LeavingRecord, VersionRecord};
use crate::link::{LinkFlow, LinkProxy};
use crate::plan::{FaultKind, LinkTrouble, PlannedFault};
use crate::router::RouterKeeper;
use crate::run::{SoakBoard, declare, server_entry};
use crate::server::{ServerIdentity, StandinServer};
use crate::store::{StandinStore, StoreMood};
use crate::wire::StandinWire;

/// Delay of a late link, each way, in milliseconds.
const LATE_MILLIS: u64 = 250;
/// How long a leaving server serves on, longer than the bound in which requests may reach it.
const LEAVING_TIME: Duration = Duration::from_millis(3_200);
/// How long after its end a crashed server's entry is still there.
const LAPSE_TIME: Duration = Duration::from_millis(1_500);
/// How long after a server's end its address is used again.
const REUSE_TIME: Duration = Duration::from_millis(2_000);
/// Pause between two routers that are stopped in turn.
const ROLL_PAUSE: Duration = Duration::from_millis(700);
/// How long a caller may hold on to a connection that went silent, in milliseconds: one request.
const SILENT_CALLER_MILLIS: u64 = 9_000;
/// Fewest servers that a service keeps.
const MIN_SERVERS: usize = 2;

/// The parts of a soak that faults are played on.
pub(crate) struct SoakFleet<W> {
    pub(crate) board: Rc<SoakBoard>,
    pub(crate) store: Rc<StandinStore<W>>,
    pub(crate) routers: Vec<Rc<RouterKeeper>>,
    pub(crate) servers: Vec<Rc<StandinServer<W>>>,
    /// By server; other links by router.
    pub(crate) server_links: Vec<LinkProxy>,
    pub(crate) caller_links: Vec<LinkProxy>,
    pub(crate) store_links: Vec<LinkProxy>,
    /// Servers that a fault is on already.
    pub(crate) busy: Vec<Cell<bool>>,
    /// Number of the newest identity of a server.
    pub(crate) identities: Cell<usize>,
    pub(crate) version: Cell<u64>,
}

impl<W: StandinWire> SoakFleet<W> {
    /// Plays a fault until all that it harmed works again.
    pub(crate) async fn play(&self, fault: PlannedFault) {
        let length = Duration::from_millis(fault.length);
        match fault.kind {
            FaultKind::Stop(router) => self.routers[router].stop().await,
            FaultKind::Kill(router) => self.routers[router].kill(),
            FaultKind::Pause(router) => self.pause(router, length).await,
            FaultKind::Reload(router) => self.reload(router),
            FaultKind::Rewrite(router) => self.rewrite(router),
            FaultKind::KillAll => self.routers.iter().for_each(|router| router.kill()),
            FaultKind::StopAll => self.stop_all().await,
            FaultKind::CallerLink(router, trouble) => {
                let subject = FaultSubject::CallerLink(router);
                self.trouble(&self.caller_links[router], subject, trouble, length).await;
            }
            FaultKind::StoreLink(router, trouble) => {
                let subject = FaultSubject::StoreLink(router);
                self.trouble(&self.store_links[router], subject, trouble, length).await;
            }
            FaultKind::ServerLink(server, trouble) => {
                let subject = FaultSubject::ServerLink(server);
                self.trouble(&self.server_links[server], subject, trouble, length).await;
            }
            FaultKind::StoreDown => self.store_mood(StoreMood::Down, length).await,
            FaultKind::StoreSlow => self.store_mood(StoreMood::Slow, length).await,
            FaultKind::StoreLosesAnswers => {
                self.store_mood(StoreMood::LosesAnswers, length).await;
            }
            FaultKind::StoreForgets => self.store.forget_history(),
            FaultKind::CrashServer(server) => self.crash_server(server, length).await,
            FaultKind::LeaveServer(server) => self.leave(server, true).await,
            FaultKind::RemoveServer(server) => self.leave(server, false).await,
            FaultKind::Declare => self.declare(),
        }
    }

    async fn pause(&self, router: usize, length: Duration) {
        let subject = FaultSubject::Router(router);
        let Some(process) = self.routers[router].signal(Signal::STOP) else { return };
        let period = self.begin(subject, false);
        sleep(length).await;
        if self.routers[router].process() == Some(process) {
            self.routers[router].signal(Signal::CONT);
        }
        self.board.end_period(period);
    }

    fn reload(&self, router: usize) {
        self.rewrite(router);
        self.routers[router].hang_up();
    }

    fn rewrite(&self, router: usize) {
        if let Err(error) = self.routers[router].rewrite_settings() {
            self.board.note_fault(error);
        }
    }

    async fn stop_all(&self) {
        let stops = self.routers.iter().enumerate().map(|(index, router)| async move {
            sleep(ROLL_PAUSE * index as u32).await;
            router.stop().await;
        });
        join_all(stops.collect()).await;
    }

    async fn trouble(
        &self,
        link: &LinkProxy,
        subject: FaultSubject,
        trouble: LinkTrouble,
        length: Duration,
    ) {
        let period = self.begin(subject, false);
        match trouble {
            LinkTrouble::Reset => link.change(|mood| mood.resets += 1),
            LinkTrouble::Silence => link.change(|mood| mood.silences += 1),
            LinkTrouble::CutForward => link.change(|mood| mood.forward = LinkFlow::Hold),
            LinkTrouble::CutBack => link.change(|mood| mood.back = LinkFlow::Hold),
            LinkTrouble::Late => link.change(|mood| {
                mood.forward = LinkFlow::Late(LATE_MILLIS);
                mood.back = LinkFlow::Late(LATE_MILLIS);
            }),
        }
        match (trouble, subject) {
            (LinkTrouble::Silence, FaultSubject::CallerLink(_)) => {
                sleep(Duration::from_millis(SILENT_CALLER_MILLIS)).await;
            }
            (LinkTrouble::Reset | LinkTrouble::Silence, _) => {}
            _ => sleep(length).await,
        }
        link.change(|mood| {
            mood.forward = LinkFlow::Pass;
            mood.back = LinkFlow::Pass;
        });
        self.board.end_period(period);
    }

    async fn store_mood(&self, mood: StoreMood, length: Duration) {
        let period = self.begin(FaultSubject::Store, false);
        self.store.set_mood(mood);
        sleep(length).await;
        self.store.set_mood(StoreMood::Sound);
        self.board.end_period(period);
    }

    async fn crash_server(&self, place: usize, length: Duration) {
        if self.busy[place].replace(true) {
            return;
        }
        let period = self.begin(FaultSubject::Server(place), false);
        let server = &self.servers[place];
        let identity = server.identity();
        server.crash();
        sleep(LAPSE_TIME).await;
        self.store.remove(StoreKind::Servers, &identity.name);
        sleep(length).await;
        self.start_server(place, identity.service);
        self.board.end_period(period);
        self.busy[place].set(false);
    }

    /// A server leaves, with a word or without, and another one takes its address.
    async fn leave(&self, place: usize, tells: bool) {
        let server = &self.servers[place];
        let identity = server.identity();
        let left = |other: &&Rc<StandinServer<W>>| {
            other.identity().service == identity.service && !self.busy[other.place].get()
        };
        if self.busy[place].get() || self.servers.iter().filter(left).count() <= MIN_SERVERS {
            return;
        }
        self.busy[place].set(true);
        if tells {
            let address = self.server_links[place].address;
            let entry = server_entry::<W>(&identity, place, address, true);
            self.store.write(StoreKind::Servers, &identity.name, entry);
        } else {
            self.store.remove(StoreKind::Servers, &identity.name);
        }
        let leaving = LeavingRecord { server: identity.name.clone(), at: self.board.now() };
        self.board.ledger.borrow_mut().leavings.push(leaving);
        sleep(LEAVING_TIME).await;
        let period = self.begin(FaultSubject::Server(place), false);
        server.crash();
        self.store.remove(StoreKind::Servers, &identity.name);
        sleep(REUSE_TIME).await;
        let services = [CallKind::Single.service(), CallKind::Stream.service()];
        let service = services[rand::rng().random_range(0..services.len())];
        self.start_server(place, service.to_owned());
        self.board.end_period(period);
        self.busy[place].set(false);
    }

    fn start_server(&self, place: usize, service: String) {
        self.identities.set(self.identities.get() + 1);
        let identity = ServerIdentity { name: format!("s{}", self.identities.get()), service };
        self.servers[place].start(identity.clone());
        let address = self.server_links[place].address;
        let entry = server_entry::<W>(&identity, place, address, false);
        self.store.write(StoreKind::Servers, &identity.name, entry);
    }

    fn declare(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        declare(&self.store, version);
        let record = VersionRecord { version, at: self.board.now() };
        self.board.ledger.borrow_mut().versions.push(record);
    }

    fn begin(&self, subject: FaultSubject, planned: bool) -> usize {
        let from = self.board.now();
        self.board.begin_period(FaultPeriod { subject, from, until: u64::MAX, planned })
    }
}

/// Waits for all of them.
pub(crate) async fn join_all(futures: Vec<impl Future<Output = ()>>) {
    let mut pending: Vec<_> = futures.into_iter().map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

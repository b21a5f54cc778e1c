//! Runs a soak: sets the fleet up, plays the faults, judges what was seen.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use catkin_entry::{
    CallerBounds, DeclarationRecord, EngineRecord, RouteKind, RouteRecord, ServerRecord,
    ServiceRecord, ServiceShare, StoreKind, TeamRecord,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::caller::{HOST, KEY, run_caller};
use crate::check::{SoakBounds, SoakBreach, find_breaches};
use crate::fault::{SoakFleet, join_all};
use crate::ledger::{CallKind, FaultPeriod, FaultSubject, SoakLedger, VersionRecord};
use crate::link::LinkProxy;
use crate::message::MessageReader;
use crate::plan::{SoakSize, plan_faults};
use crate::router::{RouterAddresses, RouterKeeper};
use crate::server::{SLOTS, ServerIdentity, StandinServer};
use crate::store::StandinStore;
use crate::wire::StandinWire;

/// Callers for each router, and the fewest of all.
const CALLERS_PER_ROUTER: usize = 2;
const MIN_CALLERS: usize = 12;
/// Longest wait until all routers are ready.
const START_PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks whether a router is ready.
const READY_PAUSE: Duration = Duration::from_millis(50);
/// How long requests are watched after the recovery.
const WATCHED_TIME: Duration = Duration::from_secs(4);
/// Pause between two looks at the machine's own timers, and how late they may be.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
const LATE_LOOK: Duration = Duration::from_millis(120);
/// Addresses on loopback that one soak takes.
const ADDRESSES: u32 = 1 << 10;

/// What a soak is run with.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The router's program.
    pub program: PathBuf,
    /// Where settings and logs are written; made if missing.
    pub folder: PathBuf,
    /// Decides the faults.
    pub seed: u64,
    /// How much of everything.
    pub size: SoakSize,
}

/// What came of a soak.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Broken promises.
    pub breaches: Vec<SoakBreach>,
    /// All that was seen.
    pub ledger: SoakLedger,
}

/// Why a soak could not be run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A socket, file or process could not be used.
    #[error("the soak could not be run: {0}")]
    Io(#[from] io::Error),
    /// A router did not become ready.
    #[error("router {0} did not become ready before the soak")]
    NotReady(usize),
}

/// What all parts of a soak share.
pub(crate) struct SoakBoard {
    started: Instant,
    pub(crate) ledger: RefCell<SoakLedger>,
    /// Cancelled when callers stop.
    pub(crate) closed: CancellationToken,
    fault: RefCell<Option<io::Error>>,
}

impl SoakBoard {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            ledger: RefCell::default(),
            closed: CancellationToken::new(),
            fault: RefCell::new(None),
        }
    }

    /// Milliseconds since the start.
    pub(crate) fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Notes a fault; returns its index.
    pub(crate) fn begin_period(&self, period: FaultPeriod) -> usize {
        let mut ledger = self.ledger.borrow_mut();
        ledger.periods.push(period);
        ledger.periods.len() - 1
    }

    /// Notes that a fault is over.
    pub(crate) fn end_period(&self, index: usize) {
        let now = self.now();
        self.ledger.borrow_mut().periods[index].until = now;
    }

    /// Notes that the soak itself failed.
    pub(crate) fn note_fault(&self, error: io::Error) {
        *self.fault.borrow_mut() = Some(error);
    }
}

/// Runs a soak on a runtime of one thread.
pub async fn run_soak<W: StandinWire>(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let tasks = LocalSet::new();
    tasks.run_until(run::<W>(options)).await
}

async fn run<W: StandinWire>(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let board = Rc::new(SoakBoard::new());
    let mut standins = JoinSet::new();
    let fleet = Rc::new(set_up::<W>(options, &board, &mut standins).await?);
    standins.spawn_local(watch_machine(Rc::clone(&board)));
    let mut processes = JoinSet::new();
    for keeper in &fleet.routers {
        let keeper = Rc::clone(keeper);
        processes.spawn_local(async move { keeper.keep().await });
    }
    wait_until_ready(&fleet).await?;
    let mut callers = start_callers::<W>(&fleet, options);
    play_all(&fleet, options).await;
    callers.join_next().await;
    while callers.join_next().await.is_some() {}
    join_all(fleet.routers.iter().map(|router| router.retire()).collect()).await;
    while processes.join_next().await.is_some() {}
    standins.shutdown().await;
    take_fault(&fleet)?;
    let ledger = board.ledger.borrow().clone();
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        close_links(fleet).await;
    }
    Ok(SoakReport { breaches: find_breaches(&ledger, &SoakBounds::default()), ledger })
}

async fn close_links<W>(fleet: SoakFleet<W>) {
    let links = [fleet.caller_links, fleet.store_links, fleet.server_links];
    for link in links.into_iter().flatten() {
        link.close().await;
    }
}

fn take_fault<W: StandinWire>(fleet: &SoakFleet<W>) -> Result<(), SoakError> {
    let faults = fleet.routers.iter().filter_map(|router| router.take_fault());
    match faults.chain(fleet.board.fault.borrow_mut().take()).next() {
        Some(error) => Err(error.into()),
        None => Ok(()),
    }
}

async fn play_all<W: StandinWire>(fleet: &Rc<SoakFleet<W>>, options: &SoakOptions) {
    let began = fleet.board.now();
    let mut faults = JoinSet::new();
    for fault in plan_faults(options.seed, options.size) {
        let due = began + fault.at;
        sleep(Duration::from_millis(due.saturating_sub(fleet.board.now()))).await;
        let fleet = Rc::clone(fleet);
        faults.spawn_local(async move { fleet.play(fault).await });
    }
    while faults.join_next().await.is_some() {}
    fleet.board.ledger.borrow_mut().calm_from = fleet.board.now();
    let recovery = Duration::from_millis(SoakBounds::default().recovery);
    sleep(recovery + WATCHED_TIME).await;
    fleet.board.closed.cancel();
}

fn start_callers<W: StandinWire>(fleet: &SoakFleet<W>, options: &SoakOptions) -> JoinSet<()> {
    let addresses: Vec<SocketAddr> = fleet.caller_links.iter().map(|link| link.address).collect();
    let addresses = Rc::new(addresses);
    let mut callers = JoinSet::new();
    let count = (options.size.routers * CALLERS_PER_ROUTER).max(MIN_CALLERS);
    for index in 0..count {
        let board = Rc::clone(&fleet.board);
        callers.spawn_local(run_caller::<W>(board, Rc::clone(&addresses), index, options.seed));
    }
    callers
}

/// Notes when the machine itself is late, so that nobody is held to a bound in time then.
async fn watch_machine(board: Rc<SoakBoard>) {
    loop {
        let slept = Instant::now();
        sleep(LOOK_PAUSE).await;
        let late = slept.elapsed().saturating_sub(LOOK_PAUSE);
        if late > LATE_LOOK {
            let until = board.now();
            let from = until.saturating_sub(late.as_millis() as u64);
            let subject = FaultSubject::Machine;
            board.begin_period(FaultPeriod { subject, from, until, planned: false });
        }
    }
}

async fn set_up<W: StandinWire>(
    options: &SoakOptions,
    board: &Rc<SoakBoard>,
    tasks: &mut JoinSet<()>,
) -> Result<SoakFleet<W>, SoakError> {
    let store = Rc::new(StandinStore::<W>::new());
    let common = loopback_address(0);
    let store_address = store.serve(common, tasks).await?;
    declare(&store, 1);
    board.ledger.borrow_mut().versions.push(VersionRecord { version: 1, at: board.now() });
    let mut fleet = SoakFleet {
        board: Rc::clone(board),
        store,
        routers: Vec::new(),
        servers: Vec::new(),
        server_links: Vec::new(),
        caller_links: Vec::new(),
        store_links: Vec::new(),
        busy: (0..options.size.servers).map(|_| Cell::new(false)).collect(),
        identities: Cell::new(options.size.servers),
        version: Cell::new(1),
    };
    for place in 0..options.size.servers {
        let kind = if place % 2 == 0 { CallKind::Single } else { CallKind::Stream };
        let identity =
            ServerIdentity { name: format!("s{place}"), service: kind.service().to_owned() };
        let server = Rc::new(StandinServer::new(Rc::clone(board), place, identity.clone()));
        let address = server.serve(common, tasks).await?;
        let link = LinkProxy::start(common, address).await?;
        let entry = server_entry::<W>(&identity, place, link.address, false);
        fleet.store.write(StoreKind::Servers, &identity.name, entry);
        fleet.servers.push(server);
        fleet.server_links.push(link);
    }
    for index in 0..options.size.routers {
        let store_link = LinkProxy::start(common, store_address).await?;
        let addresses = choose_addresses(index, store_link.address).await?;
        let caller_link = LinkProxy::start(common, addresses.callers).await?;
        let board = Rc::clone(board);
        let keeper = RouterKeeper::new(index, board, &options.program, &options.folder, addresses)?;
        fleet.routers.push(Rc::new(keeper));
        fleet.store_links.push(store_link);
        fleet.caller_links.push(caller_link);
    }
    Ok(fleet)
}

/// A loopback address that this process alone uses.
fn loopback_address(index: u32) -> IpAddr {
    let blocks = (1 << 24) / ADDRESSES - 1;
    let block = 1 + std::process::id() % blocks;
    let network = u32::from(Ipv4Addr::new(127, 0, 0, 0));
    Ipv4Addr::from(network + block * ADDRESSES + 1 + index % (ADDRESSES - 2)).into()
}

/// Free ports on an address of the router's own, so that nobody takes them before it starts.
async fn choose_addresses(index: usize, store: SocketAddr) -> io::Result<RouterAddresses> {
    let ip = loopback_address(1 + index as u32);
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind((ip, 0)).await?);
    }
    Ok(RouterAddresses {
        callers: listeners[0].local_addr()?,
        ready: listeners[1].local_addr()?,
        peers: listeners[2].local_addr()?,
        metrics: listeners[3].local_addr()?,
        store,
    })
}

async fn wait_until_ready<W: StandinWire>(fleet: &SoakFleet<W>) -> Result<(), SoakError> {
    for router in &fleet.routers {
        let ready = async {
            while !is_ready::<W>(router.ready_address()).await {
                sleep(READY_PAUSE).await;
            }
        };
        timeout(START_PATIENCE, ready).await.map_err(|_| SoakError::NotReady(router.index))?;
    }
    Ok(())
}

async fn is_ready<W: StandinWire>(address: SocketAddr) -> bool {
    use tokio::io::AsyncWriteExt;
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let text = format!("GET {} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n", W::READY_PATH);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    let answer = MessageReader::new(stream).read().await;
    answer.is_ok_and(|answer| answer.status() == Some(200))
}

/// A server's entry in the store.
pub(crate) fn server_entry<W: StandinWire>(
    identity: &ServerIdentity,
    place: usize,
    address: SocketAddr,
    leaving: bool,
) -> String {
    W::encode_server(&ServerRecord {
        service: identity.service.clone(),
        address,
        domain: format!("domain-{}", place % 3),
        slots: SLOTS,
        leaving,
        started_unix_millis: 1,
    })
}

/// Writes a version of the declarations. The team's name tells servers the version.
pub(crate) fn declare<W: StandinWire>(store: &StandinStore<W>, version: u64) {
    let routes = CallKind::ALL.into_iter().map(|kind| RouteRecord {
        name: kind.as_word().to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{}/", kind.as_word()),
        kind: match kind {
            CallKind::Idempotent => RouteKind::Idempotent,
            CallKind::Single => RouteKind::Single,
            CallKind::Stream | CallKind::Resumable => RouteKind::Streaming,
        },
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(500),
        priority: 1,
        services: vec![ServiceShare { service: kind.service().to_owned(), weight: 1 }],
        max_attempts: 3,
        public: false,
        resumable: kind == CallKind::Resumable,
    });
    let plain = ServiceRecord { max_connections: 200, engine: None };
    let engine = ServiceRecord { engine: Some(EngineRecord { memory_tokens: 100_000 }), ..plain };
    let team =
        TeamRecord { name: format!("team-{version}"), keys: vec![KEY.to_owned()], priority: None };
    let record = DeclarationRecord {
        version,
        routes: routes.collect(),
        services: BTreeMap::from([
            (CallKind::Single.service().to_owned(), plain),
            (CallKind::Stream.service().to_owned(), engine),
        ]),
        bounds: CallerBounds {
            head_bytes: 8_192,
            body_bytes: 65_536,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: Some(vec![team]),
    };
    store.write(StoreKind::Declarations, W::DECLARATIONS_NAME, W::encode_declarations(&record));
}

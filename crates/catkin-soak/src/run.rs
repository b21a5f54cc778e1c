//! Runs a soak: sets up the fleet, injects the faults and checks the records.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use catkin_entry::{
    CallerBounds, ColdRecord, DeclarationRecord, EngineRecord, RouteKind, RouteRecord,
    ServerRecord, ServiceRecord, ServiceShare, StoreKind, TeamRecord,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::caller::{HOST, KEY, run_caller};
use crate::check::{SoakBounds, SoakViolation, find_violations};
use crate::fault::{SoakFleet, join_all};
use crate::ledger::{CallKind, DOMAINS, FaultPeriod, FaultTarget, SoakLedger, VersionRecord};
use crate::link::LinkProxy;
use crate::message::MessageReader;
use crate::plan::{SoakSize, draw_cold_service, draw_has_releases, plan_faults};
use crate::router::{RouterAddresses, RouterSupervisor};
use crate::server::{SLOTS, ServerIdentity, StandinServer};
use crate::source_cut::SourceCuts;
use crate::store::StandinStore;
use crate::wire::StandinWire;

/// Number of callers for each router, and minimum number of callers.
const CALLERS_PER_ROUTER: usize = 2;
const MIN_CALLERS: usize = 12;
/// Maximum wait for one router to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a router is polled for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which requests are recorded after the recovery time.
const RECOVERED_WATCH_TIME: Duration = Duration::from_secs(4);
/// Version of the servers' software at the start.
pub(crate) const FIRST_SOFTWARE: u32 = 1;
/// Interval at which the machine's timers are checked, and how late they may fire.
const TIMER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_TIMER_DELAY: Duration = Duration::from_millis(120);
/// Number of loopback addresses reserved for one soak.
const ADDRESS_BLOCK_SIZE: u32 = 1 << 10;

/// Options of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Path of the router's program.
    pub program: PathBuf,
    /// Folder for settings and logs; created if missing.
    pub folder: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// Number of processes and servers, and duration.
    pub size: SoakSize,
}

/// Result of a soak.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Violated guarantees.
    pub violations: Vec<SoakViolation>,
    /// Everything recorded.
    pub ledger: SoakLedger,
}

/// Why a soak could not be run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// An operation on a socket, file or process failed.
    #[error("the soak stopped: an operation on a socket, file or process failed")]
    Io(#[from] io::Error),
    /// A router did not become ready within a minute.
    #[error("router {0} was not ready after waiting for 60 seconds")]
    NotReady(usize),
}

/// State shared by all tasks of a soak.
pub(crate) struct SoakContext {
    started: Instant,
    pub(crate) ledger: RefCell<SoakLedger>,
    /// Cancelled when callers are to stop.
    pub(crate) callers_stopped: CancellationToken,
    error: RefCell<Option<io::Error>>,
    /// Indices of the routers by the address from which they connect to servers.
    sources: RefCell<BTreeMap<IpAddr, usize>>,
    /// Addresses that are cut off from all servers.
    pub(crate) cuts: watch::Sender<SourceCuts>,
}

impl SoakContext {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            ledger: RefCell::default(),
            callers_stopped: CancellationToken::new(),
            error: RefCell::new(None),
            sources: RefCell::default(),
            cuts: watch::Sender::default(),
        }
    }

    /// The router that connects to servers from this address.
    pub(crate) fn find_router(&self, source: IpAddr) -> Option<usize> {
        self.sources.borrow().get(&source).copied()
    }

    /// Milliseconds since the start of the soak.
    pub(crate) fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Records the start of a fault and returns its index in the ledger.
    pub(crate) fn begin_period(&self, period: FaultPeriod) -> usize {
        let mut ledger = self.ledger.borrow_mut();
        ledger.periods.push(period);
        ledger.periods.len() - 1
    }

    /// Records the end of a fault.
    pub(crate) fn end_period(&self, index: usize) {
        let now = self.now();
        self.ledger.borrow_mut().periods[index].until = now;
    }

    /// Records an error of the soak itself; it makes the soak fail.
    pub(crate) fn record_error(&self, error: io::Error) {
        *self.error.borrow_mut() = Some(error);
    }
}

/// Runs a soak. Needs a runtime of one thread.
pub async fn run_soak<W: StandinWire>(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let tasks = LocalSet::new();
    tasks.run_until(run::<W>(options)).await
}

async fn run<W: StandinWire>(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let context = Rc::new(SoakContext::new());
    let mut standins = JoinSet::new();
    let fleet = Rc::new(set_up::<W>(options, &context, &mut standins).await?);
    standins.spawn_local(watch_timers(Rc::clone(&context)));
    let mut processes = JoinSet::new();
    for supervisor in &fleet.routers {
        let supervisor = Rc::clone(supervisor);
        processes.spawn_local(async move { supervisor.run_until_retired().await });
    }
    wait_until_ready(&fleet).await?;
    let mut callers = start_callers::<W>(&fleet, options);
    inject_faults(&fleet, options).await;
    callers.join_next().await;
    while callers.join_next().await.is_some() {}
    join_all(fleet.routers.iter().map(|router| router.retire()).collect()).await;
    while processes.join_next().await.is_some() {}
    standins.shutdown().await;
    take_error(&fleet)?;
    let ledger = context.ledger.borrow().clone();
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        close_links(fleet).await;
    }
    Ok(SoakReport { violations: find_violations(&ledger, &SoakBounds::default()), ledger })
}

async fn close_links<W>(fleet: SoakFleet<W>) {
    let links = [fleet.caller_links, fleet.store_links, fleet.server_links];
    for link in links.into_iter().flatten() {
        link.close().await;
    }
}

fn take_error<W: StandinWire>(fleet: &SoakFleet<W>) -> Result<(), SoakError> {
    let errors = fleet.routers.iter().filter_map(|router| router.take_error());
    match errors.chain(fleet.context.error.borrow_mut().take()).next() {
        Some(error) => Err(error.into()),
        None => Ok(()),
    }
}

async fn inject_faults<W: StandinWire>(fleet: &Rc<SoakFleet<W>>, options: &SoakOptions) {
    let start = fleet.context.now();
    let mut faults = JoinSet::new();
    for fault in plan_faults(options.seed, options.size) {
        let due = start + fault.at;
        sleep(Duration::from_millis(due.saturating_sub(fleet.context.now()))).await;
        let fleet = Rc::clone(fleet);
        faults.spawn_local(async move { fleet.inject(fault).await });
    }
    while faults.join_next().await.is_some() {}
    fleet.context.ledger.borrow_mut().last_fault_end = fleet.context.now();
    let recovery = Duration::from_millis(SoakBounds::default().recovery);
    sleep(recovery + RECOVERED_WATCH_TIME).await;
    fleet.context.callers_stopped.cancel();
}

fn start_callers<W: StandinWire>(fleet: &SoakFleet<W>, options: &SoakOptions) -> JoinSet<()> {
    let addresses: Vec<SocketAddr> = fleet.caller_links.iter().map(|link| link.address).collect();
    let addresses = Rc::new(addresses);
    let mut callers = JoinSet::new();
    let count = (options.size.routers * CALLERS_PER_ROUTER).max(MIN_CALLERS);
    for index in 0..count {
        let context = Rc::clone(&fleet.context);
        let addresses = Rc::clone(&addresses);
        callers.spawn_local(run_caller::<W>(context, addresses, index, false, options.seed));
    }
    // Where software is released, there are as many callers of long streams.
    let streams = if draw_has_releases(options.seed) { count..2 * count } else { 0..0 };
    for index in streams {
        let context = Rc::clone(&fleet.context);
        let addresses = Rc::clone(&addresses);
        callers.spawn_local(run_caller::<W>(context, addresses, index, true, options.seed));
    }
    callers
}

/// Records when the machine's timers fire late, so that no time limit is enforced then.
async fn watch_timers(context: Rc<SoakContext>) {
    loop {
        let slept = Instant::now();
        sleep(TIMER_CHECK_INTERVAL).await;
        let late = slept.elapsed().saturating_sub(TIMER_CHECK_INTERVAL);
        if late > MAX_TIMER_DELAY {
            let until = context.now();
            let from = until.saturating_sub(late.as_millis() as u64);
            let target = FaultTarget::Machine;
            context.begin_period(FaultPeriod { target, from, until, planned: false });
        }
    }
}

async fn set_up<W: StandinWire>(
    options: &SoakOptions,
    context: &Rc<SoakContext>,
    tasks: &mut JoinSet<()>,
) -> Result<SoakFleet<W>, SoakError> {
    let store = Rc::new(StandinStore::<W>::new());
    let shared_ip = loopback_address(0);
    let store_address = store.serve(shared_ip, tasks).await?;
    let cold = draw_cold_service(options.seed);
    write_declarations(&store, 1, cold);
    context.ledger.borrow_mut().versions.push(VersionRecord { version: 1, at: context.now() });
    let mut fleet = SoakFleet {
        context: Rc::clone(context),
        store,
        routers: Vec::new(),
        servers: Vec::new(),
        server_links: Vec::new(),
        caller_links: Vec::new(),
        store_links: Vec::new(),
        faulted: (0..options.size.servers).map(|_| Cell::new(false)).collect(),
        newest_identity: Cell::new(options.size.servers),
        cold,
        evacuated: RefCell::default(),
        version: Cell::new(1),
        software: Cell::new(FIRST_SOFTWARE),
    };
    for address_index in 0..options.size.servers {
        let kind = if address_index % 2 == 0 { CallKind::Single } else { CallKind::Stream };
        let identity = ServerIdentity {
            name: format!("s{address_index}"),
            service: kind.service().to_owned(),
            software: FIRST_SOFTWARE,
            started: 1,
        };
        let server =
            Rc::new(StandinServer::new(Rc::clone(context), address_index, identity.clone()));
        let address = server.serve(shared_ip, tasks).await?;
        let link = LinkProxy::start_to_server(shared_ip, address, context.cuts.subscribe()).await?;
        let entry = encode_server_entry::<W>(&identity, address_index, link.address, false, 0);
        fleet.store.write(StoreKind::Servers, &identity.name, entry);
        fleet.servers.push(server);
        fleet.server_links.push(link);
    }
    for index in 0..options.size.routers {
        let store_link = LinkProxy::start(shared_ip, store_address).await?;
        let addresses = choose_addresses(index, store_link.address).await?;
        context.sources.borrow_mut().insert(addresses.callers.ip(), index);
        let caller_link = LinkProxy::start(shared_ip, addresses.callers).await?;
        let context = Rc::clone(context);
        let supervisor =
            RouterSupervisor::new(index, context, &options.program, &options.folder, addresses)?;
        fleet.routers.push(Rc::new(supervisor));
        fleet.store_links.push(store_link);
        fleet.caller_links.push(caller_link);
    }
    Ok(fleet)
}

/// Returns a loopback address from the block that this process uses.
fn loopback_address(index: u32) -> IpAddr {
    let blocks = (1 << 24) / ADDRESS_BLOCK_SIZE - 1;
    let block = 1 + std::process::id() % blocks;
    let network = u32::from(Ipv4Addr::new(127, 0, 0, 0));
    Ipv4Addr::from(network + block * ADDRESS_BLOCK_SIZE + 1 + index % (ADDRESS_BLOCK_SIZE - 2))
        .into()
}

/// Chooses free ports on a loopback address of the router's own, so that no other process takes
/// them before the router starts.
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
                sleep(READY_POLL_INTERVAL).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.map_err(|_| SoakError::NotReady(router.index))?;
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

/// Name of a failure domain.
pub(crate) fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

/// Encodes a server's entry for the store.
pub(crate) fn encode_server_entry<W: StandinWire>(
    identity: &ServerIdentity,
    address_index: usize,
    address: SocketAddr,
    leaving: bool,
    cold_millis: u32,
) -> String {
    W::encode_server(&ServerRecord {
        service: identity.service.clone(),
        address,
        domain: domain_name(address_index % DOMAINS),
        slots: SLOTS,
        leaving,
        software: format!("v{}", identity.software),
        started_unix_millis: identity.started,
        cold_millis,
    })
}

/// Writes a version of the declarations to the store. The team's name carries the version, so that
/// servers can record it.
pub(crate) fn write_declarations<W: StandinWire>(
    store: &StandinStore<W>,
    version: u64,
    cold: Option<(CallKind, ColdRecord)>,
) {
    let routes = CallKind::ALL.into_iter().map(|kind| RouteRecord {
        name: kind.as_str().to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{}/", kind.as_str()),
        kind: match kind {
            CallKind::Idempotent => RouteKind::Idempotent,
            CallKind::Single => RouteKind::Single,
            CallKind::Stream | CallKind::Resumable => RouteKind::Streaming,
        },
        timeout: Duration::from_secs(if kind == CallKind::Resumable { 12 } else { 5 }),
        target_latency: Duration::from_millis(500),
        priority: 1,
        services: vec![ServiceShare { service: kind.service().to_owned(), weight: 1 }],
        max_attempts: 3,
        public: false,
        resumable: kind == CallKind::Resumable,
    });
    let declare_service = |kind: CallKind, engine: Option<EngineRecord>| {
        let cold = cold.filter(|(cold_kind, _)| *cold_kind == kind).map(|(_, record)| record);
        (kind.service().to_owned(), ServiceRecord { max_connections: 200, engine, cold })
    };
    let engine = EngineRecord { kv_capacity_tokens: 100_000 };
    let team =
        TeamRecord { name: format!("team-{version}"), keys: vec![KEY.to_owned()], priority: None };
    let record = DeclarationRecord {
        version,
        routes: routes.collect(),
        services: BTreeMap::from([
            declare_service(CallKind::Single, None),
            declare_service(CallKind::Stream, Some(engine)),
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

//! A run: starts the fleet around the router, waits for it, and measures it step by step.

use std::io::{self, BufRead};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkin_base::digest_hex;
use catkin_membership::MemberSpec;
use catkin_operator::{
    ApplyError, ApplyMetadata, FetchError, RevisionReader, StoreSource, apply_declarations,
};
use catkin_peer::{BindError, KeyError, LinkSettings, PeerKey};
use catkin_platform::{GuardLimits, HttpStore, HttpStoreOptions};
use catkin_router::RuntimeClock;
use catkin_settings::{FleetDeclarations, LogSettings, RouterSettings};
use catkin_standin::{PlatformOptions, PlatformStandin, VmEntry};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::backend::{bind_servers, list_addresses, serve_backends};
use crate::load::{LoadFeeder, LoadSwitches, LoadTarget};
use crate::measure::{ProcessReading, fetch_metrics, find_metric};
use crate::peer::{LightPeer, RevisionSource};
use crate::report::{Reading, WindowRates, print_header};
use crate::shape::{
    DOMAINS, FleetShape, RouterPlace, domain_name, peer_name, region_name, team_name,
};
use crate::traffic::FeederTraffic;

/// Light peers of each domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Time that a router takes part at the faster pace of a new one, and some more.
const SETTLE: Duration = Duration::from_secs(15);
/// Time that open requests take to reach their steady number.
const RAMP: Duration = Duration::from_secs(25);
/// Longest wait for all peers to take the router as live.
const SIGHT_LIMIT: Duration = Duration::from_secs(45);
/// Longest wait for a revision.
const WAIT_LIMIT: Duration = Duration::from_secs(180);
/// Interval between two looks at the router.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Ports that the router listens on.
const ROUTER_PORTS: usize = 3;
/// Ports to choose from, below those that the system gives out by itself.
const ROUTER_PORT_RANGE: std::ops::Range<u16> = 20_000..30_000;
/// Changes of configuration that are timed.
const CHANGES: usize = 10;
/// Calls a second that the feeder itself may send to the platform.
const FEEDER_CALLS: u32 = 10_000;
/// Bytes that the router sent to others.
const BYTES_METRIC: &str = "catkin_peer_bytes_total";
/// Revision in force on the router.
const REVISION_METRIC: &str = "catkin_revision";

/// What a run is started with.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Size of the fleet.
    pub shape: FleetShape,
    /// Length of each window of measurement.
    pub window: Duration,
    /// Seed of the load.
    pub seed: u64,
    /// Where the settings of the router are written.
    pub settings_out: PathBuf,
}

/// Why a run failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    /// A file, socket or process could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A light peer did not start.
    #[error(transparent)]
    Peer(#[from] BindError),
    /// The peer key is malformed.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The declarations were not put in force.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The declarations were not read back.
    #[error("the declarations were not read back: {0}")]
    Fetch(#[from] FetchError),
    /// The settings could not be written as JSON.
    #[error(transparent)]
    Settings(#[from] serde_json::Error),
    /// No name gives the router the share of the mean router.
    #[error("no name of the router was found that gives it the mean share and one pool")]
    NoPlace,
    /// The process id was not given.
    #[error("the first line on standard input must be the router's process id")]
    NoProcess,
    /// A revision did not come in force on the router.
    #[error("the router did not reach this within {} s: {awaited}", WAIT_LIMIT.as_secs())]
    Late {
        /// What was waited for.
        awaited: &'static str,
    },
}

/// The fleet around the router.
struct FedFleet {
    options: RunOptions,
    settings: RouterSettings,
    platform: PlatformStandin,
    store: HttpStore,
    declarations: FleetDeclarations,
    traffic: Arc<FeederTraffic>,
    switches: Arc<LoadSwitches>,
    load: Arc<LoadFeeder>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

/// Runs the feeder and prints what it measured.
pub async fn run_feeder(options: RunOptions) -> Result<(), RunError> {
    let fleet = FedFleet::start(options).await?;
    let outcome = fleet.measure().await;
    fleet.stop.cancel();
    fleet.tasks.close();
    fleet.tasks.wait().await;
    for peer in &fleet.load.peers {
        peer.link.close().await;
    }
    outcome
}

impl FedFleet {
    async fn start(options: RunOptions) -> Result<Self, RunError> {
        let shape = options.shape;
        let place = shape.place_router().ok_or(RunError::NoPlace)?;
        let platform = PlatformStandin::start(&PlatformOptions::default())?;
        let store = HttpStore::new(store_options(platform.address(), options.seed));
        let listeners = bind_servers(shape.servers).await?;
        let declarations = shape.declare(&list_addresses(&listeners)?);
        let traffic = Arc::new(FeederTraffic::new(shape.servers));
        let settings = plan_settings(&shape, &place, platform.address())?;
        let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
        let models: Vec<String> = (0..shape.servers).map(|index| shape.model_of(index)).collect();
        serve_backends(listeners, &models, &traffic, &tasks, &stop);
        let peers = bind_peers(&shape, &settings.peer_key).await?;
        let switches = Arc::new(LoadSwitches::default());
        let load = Arc::new(LoadFeeder {
            shape,
            target: LoadTarget {
                place,
                peer_address: settings.peer_address,
                caller_address: settings.caller_address,
            },
            peers,
            traffic: Arc::clone(&traffic),
            switches: Arc::clone(&switches),
            tasks: tasks.clone(),
        });
        let fleet = Self {
            options,
            settings,
            platform,
            store,
            declarations,
            traffic,
            switches,
            load,
            tasks,
            stop,
        };
        fleet.apply(&fleet.declarations, "first").await?;
        fleet.platform.set_vms(fleet.list_vms());
        fleet.spawn_peers();
        Ok(fleet)
    }

    async fn apply(&self, declarations: &FleetDeclarations, id: &str) -> Result<(), RunError> {
        let note = ApplyMetadata {
            apply_id: id.to_owned(),
            author: "feeder".to_owned(),
            comment: String::new(),
            unix_millis: unix_now().as_millis() as u64,
        };
        apply_declarations(&self.store, declarations, None, &note).await?;
        let mut reader = RevisionReader::clone(&self.traffic.reader());
        let source = StoreSource::new(&self.store);
        if let Some(head) = reader.read_head(&source).await? {
            reader.fetch(&source, &head).await?;
        }
        self.traffic.set_reader(reader);
        Ok(())
    }

    fn list_vms(&self) -> Vec<VmEntry> {
        let peers = self.load.peers.iter().enumerate();
        let peers = peers.map(|(index, peer)| (peer_name(index), index, peer.spec.address));
        let own = (self.settings.vm.clone(), self.load.peers.len(), self.settings.peer_address);
        let entries = peers.chain([own]).map(|(name, index, peer_address)| VmEntry {
            name,
            peer_address,
            domain: domain_name(index),
            region: region_name(index),
            leaving: false,
        });
        entries.collect()
    }

    fn spawn_peers(&self) {
        let peers = &self.load.peers;
        let specs: Arc<Vec<MemberSpec>> = Arc::new(peers.iter().map(|peer| peer.spec).collect());
        let clock = RuntimeClock::start_now(unix_now());
        for peer in peers {
            self.tasks.spawn(Arc::clone(peer).run(
                Arc::clone(&specs),
                self.load.target.place.spec.vm,
                Arc::clone(&self.traffic),
                clock,
                self.stop.clone(),
            ));
        }
        let load = Arc::clone(&self.load);
        self.tasks.spawn(load.run_load(self.options.seed, self.stop.clone()));
        let load = Arc::clone(&self.load);
        self.tasks.spawn(load.run_reports(self.stop.clone()));
    }

    async fn measure(&self) -> Result<(), RunError> {
        self.print_start()?;
        let process = read_process_id().await?;
        let began = Instant::now();
        self.wait_revision(1).await?;
        println!("declarations in force after {} ms", began.elapsed().as_millis());
        self.wait_sighted().await;
        let sighted = self.traffic.sighted.load(Ordering::Relaxed);
        let peers = self.load.peers.len();
        println!("live at {sighted} of {peers} peers after {} ms", began.elapsed().as_millis());
        sleep(SETTLE).await;
        print_header();
        self.measure_window("membership", process).await?;
        self.switches.asks.store(true, Ordering::Relaxed);
        sleep(RAMP).await;
        self.measure_window("+ asks as owner", process).await?;
        self.switches.calls.store(true, Ordering::Relaxed);
        self.measure_window("+ calls as entry", process).await?;
        self.load.fill_directory().await;
        let last = self.measure_window("+ directory", process).await?;
        self.measure_changes(process).await?;
        last.print_kinds();
        Ok(())
    }

    fn print_start(&self) -> Result<(), RunError> {
        let text = serde_json::to_string_pretty(&self.settings)?;
        std::fs::write(&self.options.settings_out, text)?;
        let FleetShape { routers, servers, teams, models } = self.options.shape;
        println!("{routers} routers, {servers} servers, {teams} teams, {models} models");
        let place = &self.load.target.place;
        println!("the router owns {} servers, aggregates 1 pool", place.owned.len());
        println!("start: catkin-router {}", self.options.settings_out.display());
        println!("then write its process id on a line of standard input");
        Ok(())
    }

    async fn wait_revision(&self, revision: u64) -> Result<(), RunError> {
        let limit = Instant::now() + WAIT_LIMIT;
        while Instant::now() < limit {
            let metrics = self.metrics().await;
            let found = metrics.as_deref().and_then(|text| find_metric(text, REVISION_METRIC));
            if found.is_some_and(|found| found >= revision as f64) {
                return Ok(());
            }
            sleep(LOOK_INTERVAL).await;
        }
        Err(RunError::Late { awaited: "revision in force" })
    }

    /// Waits until all peers take the router as live, or for as long as that is waited for.
    async fn wait_sighted(&self) {
        let limit = Instant::now() + SIGHT_LIMIT;
        while Instant::now() < limit {
            if self.traffic.sighted.load(Ordering::Relaxed) == self.load.peers.len() {
                return;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    async fn metrics(&self) -> Option<String> {
        let address = self.settings.operator_address;
        tokio::task::spawn_blocking(move || fetch_metrics(address)).await.ok().flatten()
    }

    async fn read(&self, process: u32) -> Result<Reading, RunError> {
        let metrics = self.metrics().await;
        let bytes = metrics.as_deref().and_then(|text| find_metric(text, BYTES_METRIC));
        Ok(Reading {
            process: ProcessReading::read(process)?,
            bytes: bytes.unwrap_or(f64::NAN),
            kinds: self.traffic.kinds(),
            platform_calls: self.platform.counts().total(),
            at: Instant::now(),
        })
    }

    async fn measure_window(&self, name: &str, process: u32) -> Result<WindowRates, RunError> {
        let before = self.read(process).await?;
        let loads = self.traffic.counts();
        sleep(self.options.window).await;
        let after = self.read(process).await?;
        let rates = WindowRates::between(&before, &after);
        rates.print(name, &after.process);
        let now = self.traffic.counts();
        println!(
            "    asks {} granted {} queued {} passed on {} refused {}; calls {} whole {}; seen by {}",
            now.asks - loads.asks,
            now.granted - loads.granted,
            now.queued - loads.queued,
            now.passed_on - loads.passed_on,
            now.refused - loads.refused,
            now.calls - loads.calls,
            now.whole - loads.whole,
            self.traffic.sighted.load(Ordering::Relaxed),
        );
        Ok(rates)
    }

    /// Changes one team's quota a few times, and times each until it is in force.
    async fn measure_changes(&self, process: u32) -> Result<(), RunError> {
        let mut declarations = self.declarations.clone();
        for number in 0..CHANGES {
            let name = team_name(number * 7 % self.options.shape.teams);
            if let Some(team) = declarations.teams.get_mut(&name) {
                team.max_open += 1;
            }
            let before = self.read(process).await?;
            self.apply(&declarations, &format!("change-{number}")).await?;
            let applied = Instant::now();
            self.wait_revision(self.traffic.revision()).await?;
            let millis = applied.elapsed().as_millis();
            let after = self.read(process).await?;
            let ticks = after.process.ticks - before.process.ticks;
            println!(
                "change {number}: in force {millis} ms after its write, {} ms of processor time \
                 within {} ms, resident {} KiB, peak {} KiB",
                ticks * 10,
                (after.at - before.at).as_millis(),
                after.process.resident_kib,
                after.process.peak_kib,
            );
        }
        self.measure_window("after the changes", process).await?;
        Ok(())
    }
}

fn store_options(address: SocketAddr, seed: u64) -> HttpStoreOptions {
    let limits = GuardLimits {
        writes_per_second: FEEDER_CALLS,
        reads_per_second: FEEDER_CALLS,
        ..GuardLimits::default()
    };
    HttpStoreOptions { limits, rates: None, ..HttpStoreOptions::new(address, seed) }
}

fn plan_settings(
    shape: &FleetShape,
    place: &RouterPlace,
    platform_address: SocketAddr,
) -> io::Result<RouterSettings> {
    let index = shape.routers - 1;
    let addresses = find_addresses();
    if addresses.len() < ROUTER_PORTS {
        return Err(io::Error::from(io::ErrorKind::AddrInUse));
    }
    Ok(RouterSettings {
        vm: place.name.clone(),
        domain: domain_name(index),
        region: region_name(index),
        caller_address: addresses[0],
        peer_address: addresses[1],
        operator_address: addresses[2],
        platform_address,
        seeds: Vec::new(),
        peer_key: "5a".repeat(32),
        operator_token_digest: digest_hex(b"operator"),
        max_connections: 4_096,
        max_body_bytes: 1 << 20,
        drain_millis: 5_000,
        log: LogSettings { level: "warn".to_owned(), json: false },
    })
}

/// Addresses for the router that are free for TCP and UDP, outside the system's own choice.
fn find_addresses() -> Vec<SocketAddr> {
    let ports = ROUTER_PORT_RANGE.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let free = ports
        .filter(|address| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok());
    free.take(ROUTER_PORTS).collect()
}

async fn bind_peers(shape: &FleetShape, key: &str) -> Result<Vec<Arc<LightPeer>>, RunError> {
    let key = PeerKey::from_hex(key)?;
    let incarnation = unix_now().as_micros() as u64;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut peers = Vec::new();
    for (index, router) in shape.peers().into_iter().enumerate() {
        let settings = LinkSettings { vm: router.vm, incarnation, address, key: key.clone() };
        let spec = MemberSpec {
            vm: router.vm,
            incarnation,
            address,
            domain: router.domain,
            region: router.region,
        };
        let watches = index < WATCHERS_PER_DOMAIN * DOMAINS;
        let source = if watches { RevisionSource::Watch } else { RevisionSource::Peers };
        peers.push(Arc::new(LightPeer::bind(&settings, spec, source).await?));
    }
    Ok(peers)
}

async fn read_process_id() -> Result<u32, RunError> {
    let line = tokio::task::spawn_blocking(|| {
        let mut line = String::new();
        io::stdin().lock().read_line(&mut line).map(|_| line)
    });
    let line = line.await.map_err(io::Error::other)??;
    line.trim().parse().map_err(|_| RunError::NoProcess)
}

fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
}

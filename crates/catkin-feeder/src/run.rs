//! Runs a measurement: starts the simulated fleet, waits for the measured router, and measures it
//! while the load grows step by step.

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
use crate::load_generator::{LoadGenerator, LoadSwitches, LoadTarget};
use crate::measure::{ProcessReading, fetch_metrics, find_metric};
use crate::peer::{RevisionSource, SimulatedPeer};
use crate::report::{RouterReading, WindowRates, print_header};
use crate::shape::{
    DOMAINS, FleetShape, RouterAssignment, domain_name, peer_name, region_name, team_name,
};
use crate::state::FeederState;

/// Number of simulated peers per failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Wait until the router has left the faster membership pace of a new member, with some margin.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_secs(15);
/// Wait until the number of open requests is steady.
const LOAD_RAMP_TIME: Duration = Duration::from_secs(25);
/// Longest wait until all peers see the router as live.
const VISIBILITY_TIMEOUT: Duration = Duration::from_secs(45);
/// Longest wait until a revision is in force on the router.
const REVISION_TIMEOUT: Duration = Duration::from_secs(180);
/// Interval at which the router and the peers are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of ports that the router listens on.
const ROUTER_PORTS: usize = 3;
/// Ports to choose from, below the ephemeral ports that the system assigns.
const ROUTER_PORT_RANGE: std::ops::Range<u16> = 20_000..30_000;
/// Number of configuration changes that are timed.
const TIMED_CHANGES: usize = 10;
/// Rate limits of the feeder's own reads and writes at the platform, in calls per second.
const FEEDER_CALLS_PER_SECOND: u32 = 10_000;
/// Metric of the bytes that the router sent to other routers.
const BYTES_METRIC: &str = "catkin_peer_bytes_total";
/// Metric of the revision in force on the router.
const REVISION_METRIC: &str = "catkin_revision";

/// Options of a measurement.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Size of the fleet.
    pub shape: FleetShape,
    /// Length of each measurement window.
    pub window: Duration,
    /// Seed of the random draws of the load.
    pub seed: u64,
    /// File to which the settings of the measured router are written.
    pub settings_out: PathBuf,
}

/// Errors of a measurement.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    /// A file, socket or process could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The link of a simulated peer could not be bound.
    #[error(transparent)]
    Peer(#[from] BindError),
    /// The peer key is malformed.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The declarations could not be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The applied declarations could not be read back.
    #[error("the applied declarations could not be read back: {0}")]
    Fetch(#[from] FetchError),
    /// The settings could not be written as JSON.
    #[error(transparent)]
    Settings(#[from] serde_json::Error),
    /// None of the tried VM names assigns the mean number of servers and one pool to the router.
    #[error(
        "none of the tried VM names gives the router the mean number of servers and exactly one pool; use other numbers of routers, servers or models"
    )]
    NoAssignment,
    /// The first line on standard input is not a process id.
    #[error("the first line on standard input must be the router's process id")]
    InvalidProcessId,
    /// A revision was not in force on the router in time.
    #[error("timed out after {} s waiting for the router: {awaited}", REVISION_TIMEOUT.as_secs())]
    RevisionTimeout {
        /// The awaited state.
        awaited: &'static str,
    },
}

/// The simulated fleet around the measured router.
struct FeederFleet {
    options: RunOptions,
    settings: RouterSettings,
    platform: PlatformStandin,
    store: HttpStore,
    declarations: FleetDeclarations,
    state: Arc<FeederState>,
    switches: Arc<LoadSwitches>,
    generator: Arc<LoadGenerator>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

/// Runs a measurement and prints its results to standard output.
///
/// Writes the settings of the router, then expects the id of the started router process on the
/// first line of standard input.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, the declarations cannot be applied, or the
/// router cannot be read or does not reach a revision in time.
pub async fn run_feeder(options: RunOptions) -> Result<(), RunError> {
    let fleet = FeederFleet::start(options).await?;
    let outcome = fleet.measure().await;
    fleet.stop.cancel();
    fleet.tasks.close();
    fleet.tasks.wait().await;
    for peer in &fleet.generator.peers {
        peer.link.close().await;
    }
    outcome
}

impl FeederFleet {
    async fn start(options: RunOptions) -> Result<Self, RunError> {
        let shape = options.shape;
        let assignment = shape.find_assignment().ok_or(RunError::NoAssignment)?;
        let platform = PlatformStandin::start(&PlatformOptions::default())?;
        let store = HttpStore::new(store_options(platform.address(), options.seed));
        let listeners = bind_servers(shape.servers).await?;
        let declarations = shape.build_declarations(&list_addresses(&listeners)?);
        let state = Arc::new(FeederState::new(shape.servers));
        let settings = plan_settings(&shape, &assignment, platform.address())?;
        let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
        let models: Vec<String> = (0..shape.servers).map(|index| shape.model_of(index)).collect();
        serve_backends(listeners, &models, &state, &tasks, &stop);
        let peers = bind_peers(&shape, &settings.peer_key).await?;
        let switches = Arc::new(LoadSwitches::default());
        let generator = Arc::new(LoadGenerator {
            shape,
            target: LoadTarget {
                assignment,
                peer_address: settings.peer_address,
                caller_address: settings.caller_address,
            },
            peers,
            state: Arc::clone(&state),
            switches: Arc::clone(&switches),
            tasks: tasks.clone(),
        });
        let fleet = Self {
            options,
            settings,
            platform,
            store,
            declarations,
            state,
            switches,
            generator,
            tasks,
            stop,
        };
        fleet.apply(&fleet.declarations, "first").await?;
        fleet.platform.set_vms(fleet.list_vms());
        fleet.spawn_peers();
        Ok(fleet)
    }

    async fn apply(&self, declarations: &FleetDeclarations, id: &str) -> Result<(), RunError> {
        let metadata = ApplyMetadata {
            apply_id: id.to_owned(),
            author: "feeder".to_owned(),
            comment: String::new(),
            unix_millis: unix_now().as_millis() as u64,
        };
        apply_declarations(&self.store, declarations, None, &metadata).await?;
        let mut reader = RevisionReader::clone(&self.state.reader());
        let source = StoreSource::new(&self.store);
        if let Some(head) = reader.read_head(&source).await? {
            reader.fetch(&source, &head).await?;
        }
        self.state.set_reader(reader);
        Ok(())
    }

    fn list_vms(&self) -> Vec<VmEntry> {
        let peers = self.generator.peers.iter().enumerate();
        let peers = peers.map(|(index, peer)| (peer_name(index), index, peer.spec.address));
        let own =
            (self.settings.vm.clone(), self.generator.peers.len(), self.settings.peer_address);
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
        let peers = &self.generator.peers;
        let specs: Arc<Vec<MemberSpec>> = Arc::new(peers.iter().map(|peer| peer.spec).collect());
        let clock = RuntimeClock::start_now(unix_now());
        for peer in peers {
            self.tasks.spawn(Arc::clone(peer).run(
                Arc::clone(&specs),
                self.generator.target.assignment.spec.vm,
                Arc::clone(&self.state),
                clock,
                self.stop.clone(),
            ));
        }
        let generator = Arc::clone(&self.generator);
        self.tasks.spawn(generator.run_load(self.options.seed, self.stop.clone()));
        let generator = Arc::clone(&self.generator);
        self.tasks.spawn(generator.run_reports(self.stop.clone()));
    }

    async fn measure(&self) -> Result<(), RunError> {
        self.print_start()?;
        let process = read_process_id().await?;
        let started = Instant::now();
        self.wait_revision(1).await?;
        println!("declarations in force after {} ms", started.elapsed().as_millis());
        self.wait_until_visible().await;
        let peers_seeing_router = self.state.peers_seeing_router.load(Ordering::Relaxed);
        let peers = self.generator.peers.len();
        println!(
            "live at {peers_seeing_router} of {peers} peers after {} ms",
            started.elapsed().as_millis()
        );
        sleep(MEMBERSHIP_SETTLE_TIME).await;
        print_header();
        self.measure_window("membership", process).await?;
        self.switches.asks.store(true, Ordering::Relaxed);
        sleep(LOAD_RAMP_TIME).await;
        self.measure_window("+ asks as owner", process).await?;
        self.switches.calls.store(true, Ordering::Relaxed);
        self.measure_window("+ calls as entry", process).await?;
        self.generator.fill_directory().await;
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
        let assignment = &self.generator.target.assignment;
        println!("the router owns {} servers, aggregates 1 pool", assignment.owned.len());
        println!("start: catkin-router {}", self.options.settings_out.display());
        println!("then write its process id on a line of standard input");
        Ok(())
    }

    async fn wait_revision(&self, revision: u64) -> Result<(), RunError> {
        let deadline = Instant::now() + REVISION_TIMEOUT;
        while Instant::now() < deadline {
            let metrics = self.metrics().await;
            let found = metrics.as_deref().and_then(|text| find_metric(text, REVISION_METRIC));
            if found.is_some_and(|found| found >= revision as f64) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(RunError::RevisionTimeout { awaited: "revision in force" })
    }

    /// Waits until all peers see the router as live, at most for [`VISIBILITY_TIMEOUT`].
    async fn wait_until_visible(&self) {
        let deadline = Instant::now() + VISIBILITY_TIMEOUT;
        while Instant::now() < deadline {
            if self.state.peers_seeing_router.load(Ordering::Relaxed) == self.generator.peers.len()
            {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn metrics(&self) -> Option<String> {
        let address = self.settings.operator_address;
        tokio::task::spawn_blocking(move || fetch_metrics(address)).await.ok().flatten()
    }

    async fn read(&self, process: u32) -> Result<RouterReading, RunError> {
        let metrics = self.metrics().await;
        let bytes = metrics.as_deref().and_then(|text| find_metric(text, BYTES_METRIC));
        Ok(RouterReading {
            process: ProcessReading::read(process)?,
            bytes: bytes.unwrap_or(f64::NAN),
            kinds: self.state.kinds(),
            platform_calls: self.platform.counts().total(),
            read_at: Instant::now(),
        })
    }

    async fn measure_window(&self, name: &str, process: u32) -> Result<WindowRates, RunError> {
        let before = self.read(process).await?;
        let loads = self.state.counts();
        sleep(self.options.window).await;
        let after = self.read(process).await?;
        let rates = WindowRates::between(&before, &after);
        rates.print(name, &after.process);
        let now = self.state.counts();
        println!(
            "    asks {} granted {} queued {} passed on {} refused {}; calls {} whole {}; seen by {}",
            now.asks - loads.asks,
            now.granted - loads.granted,
            now.queued - loads.queued,
            now.passed_on - loads.passed_on,
            now.refused - loads.refused,
            now.calls - loads.calls,
            now.complete - loads.complete,
            self.state.peers_seeing_router.load(Ordering::Relaxed),
        );
        Ok(rates)
    }

    /// Changes the quota of one team, [`TIMED_CHANGES`] times, and prints how long each change
    /// takes to be in force.
    async fn measure_changes(&self, process: u32) -> Result<(), RunError> {
        let mut declarations = self.declarations.clone();
        for number in 0..TIMED_CHANGES {
            let name = team_name(number * 7 % self.options.shape.teams);
            if let Some(team) = declarations.teams.get_mut(&name) {
                team.max_open += 1;
            }
            let before = self.read(process).await?;
            self.apply(&declarations, &format!("change-{number}")).await?;
            let applied = Instant::now();
            self.wait_revision(self.state.revision()).await?;
            let millis = applied.elapsed().as_millis();
            let after = self.read(process).await?;
            let ticks = after.process.ticks - before.process.ticks;
            println!(
                "change {number}: in force {millis} ms after its write, {} ms of processor time \
                 within {} ms, resident {} KiB, peak {} KiB",
                ticks * 10,
                (after.read_at - before.read_at).as_millis(),
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
        writes_per_second: FEEDER_CALLS_PER_SECOND,
        reads_per_second: FEEDER_CALLS_PER_SECOND,
        ..GuardLimits::default()
    };
    HttpStoreOptions { limits, rates: None, ..HttpStoreOptions::new(address, seed) }
}

fn plan_settings(
    shape: &FleetShape,
    assignment: &RouterAssignment,
    platform_address: SocketAddr,
) -> io::Result<RouterSettings> {
    let index = shape.routers - 1;
    let addresses = find_addresses();
    if addresses.len() < ROUTER_PORTS {
        return Err(io::Error::from(io::ErrorKind::AddrInUse));
    }
    Ok(RouterSettings {
        vm: assignment.name.clone(),
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

/// Finds addresses for the router whose ports are free for TCP and UDP, outside the ephemeral
/// range.
fn find_addresses() -> Vec<SocketAddr> {
    let ports = ROUTER_PORT_RANGE.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let free = ports
        .filter(|address| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok());
    free.take(ROUTER_PORTS).collect()
}

async fn bind_peers(shape: &FleetShape, key: &str) -> Result<Vec<Arc<SimulatedPeer>>, RunError> {
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
        peers.push(Arc::new(SimulatedPeer::bind(&settings, spec, source).await?));
    }
    Ok(peers)
}

async fn read_process_id() -> Result<u32, RunError> {
    let line = tokio::task::spawn_blocking(|| {
        let mut line = String::new();
        io::stdin().lock().read_line(&mut line).map(|_| line)
    });
    let line = line.await.map_err(io::Error::other)??;
    line.trim().parse().map_err(|_| RunError::InvalidProcessId)
}

fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
}

//! The fleet of one scenario: real routers over the fakes, and the declarations that they apply.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::{DomainId, RegionId, VmId, digest_hex};
use catkin_operator::{ApplyError, ApplyMetadata, ApplyOutcome, apply_declarations};
use catkin_peer::MessageSource;
use catkin_platform::VmListing;
use catkin_router::{
    RevisionDecoding, RouterCore, RouterEnvironment, RouterIdentity, RouterInput, RouterService,
    RouterView,
};
use catkin_settings::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerKind, ServerRule,
    ServiceRule, TeamRule, WorkKind,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::backend::{FakeBackend, FakeServers};
use crate::network::{FakeLink, FakeNetwork, NetworkRules};
use crate::pause_gate::PauseGate;
use crate::platform::{FakePlatform, FakeStore, PlatformRules};
use crate::script::{FleetSetup, NodeKind, NodeName};
use crate::server_state::{BackendRules, FakeServerKind};
use crate::tally::ScenarioTally;

/// The only model of a scenario.
pub const MODEL: &str = "m1";
/// The only plain service of a scenario.
pub const SERVICE: &str = "records";
const REGION: &str = "region";
const PEER_PORT: u16 = 7001;
const SERVER_PORT: u16 = 8000;
/// Limit of the graceful shutdown of a router.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Unix time at the start of every router process.
const START_UNIX_TIME: Duration = Duration::from_secs(1_800_000_000);
/// Interval at which a router to be restarted is checked for the end of its shutdown.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest lifetime of a router process whose control traffic rate is measured.
const MIN_MEASURED_LIFETIME: Duration = Duration::from_secs(10);

/// Router environment that consists of the fakes.
pub struct ScenarioEnvironment;

impl RouterEnvironment for ScenarioEnvironment {
    type Store = FakeStore;
    type Backend = FakeBackend;
    type Peers = FakeLink;
}

/// Handle through which callers reach a running router.
#[derive(Clone)]
pub(crate) struct RouterHandle {
    pub(crate) service: Arc<RouterService<ScenarioEnvironment>>,
    pub(crate) crash_token: CancellationToken,
    pub(crate) gate: PauseGate,
}

/// A router's VM and its process, if one is running.
struct RouterVm {
    core: Option<RouterCore<ScenarioEnvironment>>,
    view: Option<RouterView<ScenarioEnvironment>>,
    handle: Option<RouterHandle>,
    gate: PauseGate,
    /// Whether the process is shutting down gracefully.
    stopping: bool,
    starts: u64,
    started: Instant,
    last_revision: u64,
}

/// The fleet of one scenario.
pub(crate) struct ScenarioFleet {
    pub(crate) setup: FleetSetup,
    pub(crate) network: FakeNetwork,
    pub(crate) platform: FakePlatform,
    pub(crate) servers: FakeServers,
    pub(crate) tally: Arc<ScenarioTally>,
    routers: Mutex<BTreeMap<u32, RouterVm>>,
    random: Mutex<StdRng>,
    max_control_bytes: Mutex<u64>,
}

impl ScenarioFleet {
    pub(crate) fn new(setup: &FleetSetup) -> Self {
        let seed = setup.seed;
        let tally = Arc::new(ScenarioTally::default());
        let rules = BackendRules { bound_percent: setup.bound_percent, ..BackendRules::default() };
        let servers = FakeServers::new(rules, Arc::clone(&tally), seed ^ 1);
        let slots = setup.slots as usize;
        for number in 1..=setup.engines {
            servers.add(server_address(NodeKind::Engine, number), FakeServerKind::Engine, slots);
        }
        for number in 1..=setup.services {
            servers.add(server_address(NodeKind::Service, number), FakeServerKind::Service, slots);
        }
        Self {
            setup: setup.clone(),
            network: FakeNetwork::new(NetworkRules::default(), seed ^ 2),
            platform: FakePlatform::new(PlatformRules::default(), seed ^ 3),
            servers,
            tally,
            routers: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            max_control_bytes: Mutex::default(),
        }
    }

    pub(crate) fn random_u64(&self) -> u64 {
        lock(&self.random).random()
    }

    /// Starts the process of a router unless one is running or shutting down.
    pub(crate) fn start_router(&self, number: u32) {
        let seed = self.random_u64();
        let mut routers = self.lock_routers();
        let router = routers.entry(number).or_insert_with(RouterVm::new);
        if router.core.is_some() || router.stopping {
            return;
        }
        router.starts += 1;
        router.gate = PauseGate::default();
        let core = RouterCore::start(self.router_input(number, router.starts, seed, &router.gate));
        router.handle = Some(RouterHandle {
            service: Arc::new(core.service()),
            crash_token: CancellationToken::new(),
            gate: router.gate.clone(),
        });
        router.view = Some(core.view());
        router.core = Some(core);
        router.started = Instant::now();
        router.last_revision = 0;
        drop(routers);
        self.publish_listings();
    }

    /// Waits until a graceful shutdown of the router has ended, then starts its process.
    pub(crate) async fn restart_router(&self, number: u32) {
        while self.lock_routers().get(&number).is_some_and(|router| router.stopping) {
            sleep(STOP_CHECK_INTERVAL).await;
        }
        self.start_router(number);
    }

    fn router_input(
        &self,
        number: u32,
        incarnation: u64,
        seed: u64,
        gate: &PauseGate,
    ) -> RouterInput<ScenarioEnvironment> {
        let name = router_name(number);
        let domain = self.domain_name(number);
        let identity = RouterIdentity {
            vm: VmId::from_name(&name),
            name,
            incarnation,
            domain: DomainId::from_name(&domain),
            region: RegionId::from_name(REGION),
            region_name: REGION.to_owned(),
            peer_address: router_address(number),
        };
        let source = MessageSource { vm: identity.vm, incarnation, address: identity.peer_address };
        RouterInput {
            identity,
            store: Arc::new(self.platform.client(gate.clone())),
            backend: self.servers.link(gate.clone()),
            peers: self.network.connect(source, gate.clone()),
            seed_addresses: Vec::new(),
            hint_key: [7; 32],
            start_unix: START_UNIX_TIME,
            decoding: RevisionDecoding::Runtime,
            seed,
        }
    }

    /// Kills the process of a router.
    pub(crate) async fn crash_router(&self, number: u32) {
        let Some(core) = self.take_router(number, true) else { return };
        self.network.disconnect(router_address(number));
        core.kill().await;
        self.publish_listings();
    }

    /// Shuts a router down gracefully and counts the shutdown if it cut off calls.
    pub(crate) async fn stop_router(&self, number: u32) {
        let Some(core) = self.take_router(number, false) else { return };
        self.set_stopping(number, true);
        self.publish_listings();
        let complete = core.shut_down(DRAIN_TIMEOUT).await;
        self.network.disconnect(router_address(number));
        self.set_stopping(number, false);
        self.tally.update(|counts| counts.cut_shutdowns += u64::from(!complete));
        self.publish_listings();
    }

    fn set_stopping(&self, number: u32, stopping: bool) {
        if let Some(router) = self.lock_routers().get_mut(&number) {
            router.stopping = stopping;
        }
    }

    fn take_router(&self, number: u32, crashes: bool) -> Option<RouterCore<ScenarioEnvironment>> {
        let mut routers = self.lock_routers();
        let router = routers.get_mut(&number)?;
        self.update_max_control_bytes(router);
        router.view = None;
        let handle = router.handle.take();
        if let Some(handle) = handle.filter(|_| crashes) {
            handle.crash_token.cancel();
        }
        router.core.take()
    }

    pub(crate) fn pause_router(&self, number: u32, duration: Duration) {
        if let Some(router) = self.lock_routers().get(&number) {
            router.gate.pause(duration);
        }
    }

    /// Draws a router that is ready, as a load balancer in front of the routers would.
    pub(crate) fn choose_router(&self) -> Option<RouterHandle> {
        let routers = self.lock_routers();
        let ready = |router: &&RouterVm| router.view.as_ref().is_some_and(RouterView::is_ready);
        let handles: Vec<&RouterHandle> =
            routers.values().filter(ready).filter_map(|router| router.handle.as_ref()).collect();
        let count = handles.len().max(1);
        handles.get(lock(&self.random).random_range(0..count)).map(|&handle| handle.clone())
    }

    /// Returns whether every running router has declarations in force.
    pub(crate) fn all_ready(&self) -> bool {
        self.views().iter().all(RouterView::is_ready)
    }

    /// Counts the routers that changed to an older revision since the last check.
    pub(crate) fn check_revisions(&self) {
        let mut reverts = 0;
        for router in self.lock_routers().values_mut() {
            let Some(view) = &router.view else { continue };
            let revision = view.revision().unwrap_or(0);
            reverts += u64::from(revision < router.last_revision);
            router.last_revision = revision;
        }
        self.tally.update(|counts| counts.config_reverts += reverts);
    }

    /// Revisions in force on the running routers; 0 for a router without one.
    pub(crate) fn revisions(&self) -> Vec<u64> {
        self.views().iter().map(|view| view.revision().unwrap_or(0)).collect()
    }

    /// Lowest number of live routers in the view of any running router.
    pub(crate) fn min_live_routers(&self) -> u64 {
        self.views().iter().map(|view| view.live_routers() as u64).min().unwrap_or(0)
    }

    /// Highest rate at which a router process sent to other routers, in bytes per second, averaged
    /// over the lifetime of the process.
    pub(crate) fn max_control_bytes(&self) -> u64 {
        for router in self.lock_routers().values() {
            self.update_max_control_bytes(router);
        }
        *lock(&self.max_control_bytes)
    }

    fn update_max_control_bytes(&self, router: &RouterVm) {
        let lifetime = Instant::now().duration_since(router.started);
        if let Some(view) = router.view.as_ref().filter(|_| lifetime >= MIN_MEASURED_LIFETIME) {
            let rate = view.peer_bytes() / lifetime.as_secs();
            let mut max = lock(&self.max_control_bytes);
            *max = rate.max(*max);
        }
    }

    /// Kills all router processes and closes the network.
    pub(crate) async fn close(&self) {
        for number in 1..=self.setup.routers {
            self.crash_router(number).await;
        }
        self.network.close().await;
    }

    /// Applies declarations with this load bound on `base`, or on the current revision if `None`.
    pub(crate) async fn apply(
        &self,
        bound_percent: u32,
        base: Option<u64>,
    ) -> Result<ApplyOutcome, ApplyError> {
        let metadata = ApplyMetadata {
            apply_id: format!("apply-{:x}", self.random_u64()),
            author: "scenario".to_owned(),
            comment: String::new(),
            unix_millis: 0,
        };
        let declarations = self.build_declarations(bound_percent);
        let store = self.platform.client(PauseGate::default());
        let result = apply_declarations(&store, &declarations, base, &metadata).await;
        self.tally.update(|counts| match &result {
            Ok(_) => counts.applied += 1,
            Err(ApplyError::Conflict { .. }) => counts.conflicts += 1,
            Err(_) => {}
        });
        result
    }

    fn views(&self) -> Vec<RouterView<ScenarioEnvironment>> {
        self.lock_routers().values().filter_map(|router| router.view.clone()).collect()
    }

    /// Updates the list of VMs on the platform: those that run and those that are leaving.
    fn publish_listings(&self) {
        let routers = self.lock_routers();
        let listed = routers.iter().filter(|(_, router)| router.core.is_some() || router.stopping);
        let listings = listed.map(|(&number, _)| VmListing {
            name: router_name(number),
            peer_address: router_address(number),
            domain: self.domain_name(number),
            region: REGION.to_owned(),
            leaving: routers.get(&number).is_some_and(|router| router.stopping),
        });
        self.platform.set_listings(listings.collect());
    }

    fn domain_name(&self, number: u32) -> String {
        let domains = &self.setup.domains;
        domains[(number as usize - 1) % domains.len()].clone()
    }

    fn lock_routers(&self) -> MutexGuard<'_, BTreeMap<u32, RouterVm>> {
        lock(&self.routers)
    }

    fn build_declarations(&self, bound_percent: u32) -> FleetDeclarations {
        let setup = &self.setup;
        let engines =
            (1..=setup.engines).map(|number| self.build_server_rule(NodeKind::Engine, number));
        let services =
            (1..=setup.services).map(|number| self.build_server_rule(NodeKind::Service, number));
        let teams = (1..=setup.teams).map(|number| (team_name(number), build_team_rule(number)));
        let record_rule =
            ServiceRule { idempotent: false, look_up_path: Some("/lookup".to_owned()) };
        FleetDeclarations {
            deployment: "scenario".to_owned(),
            classes: build_class_rules(setup),
            default_class: "quick".to_owned(),
            models: BTreeMap::from([(
                MODEL.to_owned(),
                ModelRule { adapters: Vec::new(), version: 0 },
            )]),
            services: BTreeMap::from([(SERVICE.to_owned(), record_rule)]),
            servers: engines.chain(services).collect(),
            teams: teams.collect(),
            placement: PlacementRules {
                bound_percent,
                prefill_micros_per_token: 100,
                reuse_weight_percent: 100,
                skew_weight_percent: 100,
                long_share_percent: 75,
            },
            limits: LimitRules {
                retry_percent: 20,
                crash_strikes: 2,
                quarantine_millis: 60_000,
                hold_down_millis: 2_000,
                loads_at_once: 1,
            },
        }
    }

    fn build_server_rule(&self, kind: NodeKind, number: u32) -> (String, ServerRule) {
        let is_engine = kind == NodeKind::Engine;
        let rule = ServerRule {
            kind: if is_engine { ServerKind::Engine } else { ServerKind::Service },
            address: server_address(kind, number),
            domain: self.domain_name(number),
            region: REGION.to_owned(),
            models: if is_engine { vec![MODEL.to_owned()] } else { Vec::new() },
            service: (!is_engine).then(|| SERVICE.to_owned()),
            weight: 1,
            slots: self.setup.slots,
            checks_fencing: false,
            resumes: false,
        };
        (format!("{}{number}", if is_engine { 'e' } else { 's' }), rule)
    }
}

impl RouterVm {
    fn new() -> Self {
        Self {
            core: None,
            view: None,
            handle: None,
            gate: PauseGate::default(),
            stopping: false,
            starts: 0,
            started: Instant::now(),
            last_revision: 0,
        }
    }
}

fn build_class_rules(setup: &FleetSetup) -> BTreeMap<String, ClassRule> {
    let quick = ClassRule {
        work: WorkKind::Quick,
        deadline_millis: setup.quick_deadline.as_millis() as u64,
        priority: 1,
        expected_tokens: 20,
    };
    let long = ClassRule {
        work: WorkKind::Long,
        deadline_millis: setup.long_deadline.as_millis() as u64,
        priority: 5,
        expected_tokens: 200,
    };
    BTreeMap::from([("quick".to_owned(), quick), ("long".to_owned(), long)])
}

fn build_team_rule(number: u32) -> TeamRule {
    TeamRule {
        token_digest: digest_hex(team_token(number).as_bytes()),
        weight: 1,
        max_open: 1_000,
        classes: Vec::new(),
    }
}

/// Address of a server's listener.
pub(crate) fn node_address(node: NodeName) -> SocketAddr {
    server_address(node.kind, node.number)
}

/// Address of a router's peer listener.
pub(crate) fn router_address(number: u32) -> SocketAddr {
    numbered_address(0, number, PEER_PORT)
}

/// Bearer token of a team.
pub(crate) fn team_token(number: u32) -> String {
    format!("token-of-t{number}")
}

fn team_name(number: u32) -> String {
    format!("t{number}")
}

fn router_name(number: u32) -> String {
    format!("r{number}")
}

fn server_address(kind: NodeKind, number: u32) -> SocketAddr {
    let network = if kind == NodeKind::Engine { 1 } else { 2 };
    numbered_address(network, number, SERVER_PORT)
}

fn numbered_address(network: u8, number: u32, port: u16) -> SocketAddr {
    ([10, network, (number >> 8) as u8, number as u8], port).into()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

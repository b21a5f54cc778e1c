//! The fleet of one scenario: routers over the fakes, and what is declared.

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
use crate::gate::PauseGate;
use crate::network::{FakeLink, FakeNetwork, NetworkRules};
use crate::platform::{FakePlatform, FakeStore, PlatformRules};
use crate::script::{FleetSetup, NodeKind, NodeName};
use crate::servers::{BackendRules, FakeKind};
use crate::tally::ScenarioTally;

/// The only model.
pub const MODEL: &str = "m1";
/// The only plain service.
pub const SERVICE: &str = "records";
const REGION: &str = "region";
const PEER_PORT: u16 = 7001;
const SERVER_PORT: u16 = 8000;
const DRAIN_LIMIT: Duration = Duration::from_secs(120);
const START_UNIX: Duration = Duration::from_secs(1_800_000_000);
const STOP_CHECK: Duration = Duration::from_millis(100);
/// Shortest life of a process whose control traffic is judged.
const MIN_LIFE: Duration = Duration::from_secs(10);

/// Routers over the fakes.
pub struct ScenarioEnvironment;

impl RouterEnvironment for ScenarioEnvironment {
    type Store = FakeStore;
    type Backend = FakeBackend;
    type Peers = FakeLink;
}

/// A running router as callers reach it.
#[derive(Clone)]
pub(crate) struct RouterEntry {
    pub(crate) service: Arc<RouterService<ScenarioEnvironment>>,
    pub(crate) died: CancellationToken,
    pub(crate) gate: PauseGate,
}

/// A router's VM: its process, if one runs.
struct RouterSlot {
    core: Option<RouterCore<ScenarioEnvironment>>,
    view: Option<RouterView<ScenarioEnvironment>>,
    entry: Option<RouterEntry>,
    gate: PauseGate,
    /// Whether a process is shutting down gracefully.
    stopping: bool,
    starts: u64,
    started: Instant,
    last_revision: u64,
}

/// The fleet of one scenario.
pub(crate) struct FleetWorld {
    pub(crate) setup: FleetSetup,
    pub(crate) network: FakeNetwork,
    pub(crate) platform: FakePlatform,
    pub(crate) servers: FakeServers,
    pub(crate) tally: Arc<ScenarioTally>,
    routers: Mutex<BTreeMap<u32, RouterSlot>>,
    random: Mutex<StdRng>,
    most_control_bytes: Mutex<u64>,
}

impl FleetWorld {
    pub(crate) fn new(setup: &FleetSetup) -> Self {
        let seed = setup.seed;
        let tally = Arc::new(ScenarioTally::default());
        let rules = BackendRules { bound_percent: setup.bound_percent, ..BackendRules::default() };
        let servers = FakeServers::new(rules, Arc::clone(&tally), seed ^ 1);
        let slots = setup.slots as usize;
        for number in 1..=setup.engines {
            servers.add(server_address(NodeKind::Engine, number), FakeKind::Engine, slots);
        }
        for number in 1..=setup.services {
            servers.add(server_address(NodeKind::Service, number), FakeKind::Service, slots);
        }
        Self {
            setup: setup.clone(),
            network: FakeNetwork::new(NetworkRules::default(), seed ^ 2),
            platform: FakePlatform::new(PlatformRules::default(), seed ^ 3),
            servers,
            tally,
            routers: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            most_control_bytes: Mutex::default(),
        }
    }

    pub(crate) fn random_word(&self) -> u64 {
        lock(&self.random).random()
    }

    /// Starts the process of a router, unless it runs.
    pub(crate) fn start_router(&self, number: u32) {
        let seed = self.random_word();
        let mut routers = self.lock_routers();
        let slot = routers.entry(number).or_insert_with(RouterSlot::new);
        if slot.core.is_some() || slot.stopping {
            return;
        }
        slot.starts += 1;
        slot.gate = PauseGate::default();
        let core = RouterCore::start(self.router_input(number, slot.starts, seed, &slot.gate));
        slot.entry = Some(RouterEntry {
            service: Arc::new(core.service()),
            died: CancellationToken::new(),
            gate: slot.gate.clone(),
        });
        slot.view = Some(core.view());
        slot.core = Some(core);
        slot.started = Instant::now();
        slot.last_revision = 0;
        drop(routers);
        self.publish_listings();
    }

    /// Starts the process of a router once its former one has shut down.
    pub(crate) async fn restart_router(&self, number: u32) {
        while self.lock_routers().get(&number).is_some_and(|slot| slot.stopping) {
            sleep(STOP_CHECK).await;
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
        let domain = self.domain_of(number);
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
            start_unix: START_UNIX,
            decoding: RevisionDecoding::Runtime,
            seed,
        }
    }

    /// Ends the process of a router without notice.
    pub(crate) async fn crash_router(&self, number: u32) {
        let Some(core) = self.take_router(number, true) else { return };
        self.network.disconnect(router_address(number));
        core.kill().await;
        self.publish_listings();
    }

    /// Shuts a router down gracefully.
    pub(crate) async fn stop_router(&self, number: u32) {
        let Some(core) = self.take_router(number, false) else { return };
        self.set_stopping(number, true);
        self.publish_listings();
        let whole = core.shut_down(DRAIN_LIMIT).await;
        self.network.disconnect(router_address(number));
        self.set_stopping(number, false);
        self.tally.change(|counts| counts.cut_shutdowns += u64::from(!whole));
        self.publish_listings();
    }

    fn set_stopping(&self, number: u32, stopping: bool) {
        if let Some(slot) = self.lock_routers().get_mut(&number) {
            slot.stopping = stopping;
        }
    }

    fn take_router(&self, number: u32, crashes: bool) -> Option<RouterCore<ScenarioEnvironment>> {
        let mut routers = self.lock_routers();
        let slot = routers.get_mut(&number)?;
        self.judge_control_bytes(slot);
        slot.view = None;
        let entry = slot.entry.take();
        if let Some(entry) = entry.filter(|_| crashes) {
            entry.died.cancel();
        }
        slot.core.take()
    }

    pub(crate) fn pause_router(&self, number: u32, duration: Duration) {
        if let Some(slot) = self.lock_routers().get(&number) {
            slot.gate.pause(duration);
        }
    }

    /// A running router, chosen at random as the balancer before the routers does.
    pub(crate) fn choose_router(&self) -> Option<RouterEntry> {
        let routers = self.lock_routers();
        let ready = |slot: &&RouterSlot| slot.view.as_ref().is_some_and(RouterView::is_ready);
        let entries: Vec<&RouterEntry> =
            routers.values().filter(ready).filter_map(|slot| slot.entry.as_ref()).collect();
        let count = entries.len().max(1);
        entries.get(lock(&self.random).random_range(0..count)).map(|&entry| entry.clone())
    }

    /// Whether every running router has declarations in force.
    pub(crate) fn all_ready(&self) -> bool {
        self.views().iter().all(RouterView::is_ready)
    }

    /// Checks that no router went back to an older revision.
    pub(crate) fn check_revisions(&self) {
        let mut reverts = 0;
        for slot in self.lock_routers().values_mut() {
            let Some(view) = &slot.view else { continue };
            let revision = view.revision().unwrap_or(0);
            reverts += u64::from(revision < slot.last_revision);
            slot.last_revision = revision;
        }
        self.tally.change(|counts| counts.config_reverts += reverts);
    }

    /// Revisions in force on the running routers.
    pub(crate) fn revisions(&self) -> Vec<u64> {
        self.views().iter().map(|view| view.revision().unwrap_or(0)).collect()
    }

    /// Fewest live routers that a running router knows.
    pub(crate) fn least_live(&self) -> u64 {
        self.views().iter().map(|view| view.live_routers() as u64).min().unwrap_or(0)
    }

    /// Most bytes that a router's process sent to others in a second, on average of its life.
    pub(crate) fn most_control_bytes(&self) -> u64 {
        for slot in self.lock_routers().values() {
            self.judge_control_bytes(slot);
        }
        *lock(&self.most_control_bytes)
    }

    fn judge_control_bytes(&self, slot: &RouterSlot) {
        let life = Instant::now().duration_since(slot.started);
        if let Some(view) = slot.view.as_ref().filter(|_| life >= MIN_LIFE) {
            let rate = view.peer_bytes() / life.as_secs();
            let mut most = lock(&self.most_control_bytes);
            *most = rate.max(*most);
        }
    }

    /// Ends all routers' processes.
    pub(crate) async fn close(&self) {
        for number in 1..=self.setup.routers {
            self.crash_router(number).await;
        }
        self.network.close().await;
    }

    /// Puts declarations with this bound in force, on the revision in force or on `base`.
    pub(crate) async fn apply(
        &self,
        bound_percent: u32,
        base: Option<u64>,
    ) -> Result<ApplyOutcome, ApplyError> {
        let metadata = ApplyMetadata {
            apply_id: format!("apply-{:x}", self.random_word()),
            author: "scenario".to_owned(),
            comment: String::new(),
            unix_millis: 0,
        };
        let declarations = self.declare(bound_percent);
        let store = self.platform.client(PauseGate::default());
        let result = apply_declarations(&store, &declarations, base, &metadata).await;
        self.tally.change(|counts| match &result {
            Ok(_) => counts.applied += 1,
            Err(ApplyError::Conflict { .. }) => counts.conflicts += 1,
            Err(_) => {}
        });
        result
    }

    fn views(&self) -> Vec<RouterView<ScenarioEnvironment>> {
        self.lock_routers().values().filter_map(|slot| slot.view.clone()).collect()
    }

    /// Tells the platform which VMs run and which are leaving.
    fn publish_listings(&self) {
        let routers = self.lock_routers();
        let listed = routers.iter().filter(|(_, slot)| slot.core.is_some() || slot.stopping);
        let listings = listed.map(|(&number, _)| VmListing {
            name: router_name(number),
            peer_address: router_address(number),
            domain: self.domain_of(number),
            region: REGION.to_owned(),
            leaving: routers.get(&number).is_some_and(|slot| slot.stopping),
        });
        self.platform.set_listings(listings.collect());
    }

    fn domain_of(&self, number: u32) -> String {
        let domains = &self.setup.domains;
        domains[(number as usize - 1) % domains.len()].clone()
    }

    fn lock_routers(&self) -> MutexGuard<'_, BTreeMap<u32, RouterSlot>> {
        lock(&self.routers)
    }

    fn declare(&self, bound_percent: u32) -> FleetDeclarations {
        let setup = &self.setup;
        let engines =
            (1..=setup.engines).map(|number| self.declare_server(NodeKind::Engine, number));
        let services =
            (1..=setup.services).map(|number| self.declare_server(NodeKind::Service, number));
        let teams = (1..=setup.teams).map(|number| (team_name(number), declare_team(number)));
        let record_rule =
            ServiceRule { idempotent: false, look_up_path: Some("/lookup".to_owned()) };
        FleetDeclarations {
            deployment: "scenario".to_owned(),
            classes: declare_classes(setup),
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

    fn declare_server(&self, kind: NodeKind, number: u32) -> (String, ServerRule) {
        let is_engine = kind == NodeKind::Engine;
        let rule = ServerRule {
            kind: if is_engine { ServerKind::Engine } else { ServerKind::Service },
            address: server_address(kind, number),
            domain: self.domain_of(number),
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

impl RouterSlot {
    fn new() -> Self {
        Self {
            core: None,
            view: None,
            entry: None,
            gate: PauseGate::default(),
            stopping: false,
            starts: 0,
            started: Instant::now(),
            last_revision: 0,
        }
    }
}

fn declare_classes(setup: &FleetSetup) -> BTreeMap<String, ClassRule> {
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

fn declare_team(number: u32) -> TeamRule {
    TeamRule {
        token_digest: digest_hex(team_token(number).as_bytes()),
        weight: 1,
        max_open: 1_000,
        classes: Vec::new(),
    }
}

/// Address of a server.
pub(crate) fn address_of(node: NodeName) -> SocketAddr {
    server_address(node.kind, node.number)
}

/// Address of a router's peer listener.
pub(crate) fn router_address(number: u32) -> SocketAddr {
    number_address(0, number, PEER_PORT)
}

/// Token of a team.
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
    number_address(network, number, SERVER_PORT)
}

fn number_address(network: u8, number: u32, port: u16) -> SocketAddr {
    ([10, network, (number >> 8) as u8, number as u8], port).into()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

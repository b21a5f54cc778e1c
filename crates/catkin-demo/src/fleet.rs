//! Starts the stand-ins and routers of one run.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkin_base::digest_hex;
use catkin_operator::{ApplyError, ApplyMetadata, apply_declarations};
use catkin_platform::{HttpStore, HttpStoreOptions};
use catkin_router::{ProcessError, RouterProcess};
use catkin_settings::{LogSettings, RouterSettings};
use catkin_standin::{
    EngineOptions, EngineStandin, PlatformOptions, PlatformStandin, ServiceOptions, ServiceStandin,
    VmEntry,
};
use tokio::time::sleep;

use crate::deployment::{DeploymentShape, ENGINE_SLOTS, MODEL, SERVICE_SLOTS, declare_fleet};

/// Content that crashes an engine.
pub(crate) const POISON: &str = "poison-pill";
/// Maximum number of checks whether all routers know each other and the declarations.
const READY_CHECKS: u32 = 400;
/// Interval of the checks of the routers while they start.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a run could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum FleetError {
    /// A stand-in did not start.
    #[error("a stand-in did not start: {0}")]
    Standin(#[from] io::Error),
    /// A router did not start.
    #[error(transparent)]
    Router(#[from] ProcessError),
    /// The declarations were not put in force.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The routers did not find each other or did not load the declarations in time.
    #[error("the routers are not ready after {} s", (READY_INTERVAL * READY_CHECKS).as_secs())]
    NotReady,
}

/// The stand-ins and routers of one run.
pub(crate) struct DemoFleet {
    pub(crate) shape: DeploymentShape,
    pub(crate) platform: PlatformStandin,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) services: Vec<ServiceStandin>,
    /// Routers by index; `None` for a router that was stopped or killed.
    pub(crate) routers: Vec<Option<RouterProcess>>,
}

impl DemoFleet {
    /// Starts everything and waits until the routers are ready.
    pub(crate) async fn start(shape: DeploymentShape, seed: u64) -> Result<Self, FleetError> {
        let platform = PlatformStandin::start(&PlatformOptions { seed, ..Default::default() })?;
        let engines = start_engines(&shape, seed)?;
        let services = start_services(&shape, seed)?;
        apply_fleet_declarations(&shape, platform.address(), &engines, &services, seed).await?;
        let mut fleet = Self { shape, platform, engines, services, routers: Vec::new() };
        for index in 0..fleet.shape.routers {
            let router = fleet.start_router(index, seed).await?;
            fleet.routers.push(Some(router));
            fleet.publish_vms();
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the addresses of the running routers' listeners for callers.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().flatten().map(RouterProcess::caller_address).collect()
    }

    /// Sets the platform's list of VMs to the running routers.
    pub(crate) fn publish_vms(&self) {
        let routers = self.routers.iter().enumerate();
        let entries = routers.filter_map(|(index, router)| {
            Some(VmEntry {
                name: build_vm_name(index),
                peer_address: router.as_ref()?.peer_address(),
                domain: self.shape.domain(index).to_owned(),
                region: self.shape.region.to_owned(),
                leaving: false,
            })
        });
        self.platform.set_vms(entries.collect());
    }

    async fn start_router(&self, index: usize, seed: u64) -> Result<RouterProcess, ProcessError> {
        let settings = build_router_settings(&self.shape, index, self.platform.address());
        let start_unix = read_unix_time();
        let incarnation = start_unix.as_micros() as u64;
        RouterProcess::start(&settings, incarnation, start_unix, seed + index as u64).await
    }

    async fn wait_until_ready(&self) -> Result<(), FleetError> {
        for _ in 0..READY_CHECKS {
            let running = self.routers.iter().flatten();
            let ready = running.clone().all(|router| {
                let view = router.view();
                view.is_ready() && view.live_routers() == running.clone().count()
            });
            if ready {
                return Ok(());
            }
            sleep(READY_INTERVAL).await;
        }
        Err(FleetError::NotReady)
    }
}

/// Builds the name of a router's VM.
pub(crate) fn build_vm_name(index: usize) -> String {
    format!("entry-{index}")
}

fn start_engines(shape: &DeploymentShape, seed: u64) -> io::Result<Vec<EngineStandin>> {
    let engines = (0..shape.engines).map(|index| {
        EngineStandin::start(EngineOptions {
            models: vec![MODEL.to_owned()],
            slots: ENGINE_SLOTS as usize,
            first_token_delay: Duration::from_millis(20),
            prefill_per_token: Duration::from_micros(200),
            token_interval: Duration::from_millis(10),
            max_cached_chats: 64,
            event_lag: Duration::from_millis(500),
            event_gap_share: 0.05,
            load_lag: Duration::from_millis(500),
            poison: Some(POISON.to_owned()),
            downtime: Duration::from_millis(1_500),
            resumes: true,
            seed: seed + index as u64,
            ..EngineOptions::default()
        })
    });
    engines.collect()
}

fn start_services(shape: &DeploymentShape, seed: u64) -> io::Result<Vec<ServiceStandin>> {
    let services = (0..shape.services).map(|index| {
        ServiceStandin::start(ServiceOptions {
            work_time: Duration::from_millis(20),
            slots: SERVICE_SLOTS,
            supports_look_up: true,
            seed: seed + index as u64,
            ..ServiceOptions::default()
        })
    });
    services.collect()
}

async fn apply_fleet_declarations(
    shape: &DeploymentShape,
    platform: SocketAddr,
    engines: &[EngineStandin],
    services: &[ServiceStandin],
    seed: u64,
) -> Result<(), FleetError> {
    let engines: Vec<_> = engines.iter().map(EngineStandin::address).collect();
    let services: Vec<_> = services.iter().map(ServiceStandin::address).collect();
    let declarations = declare_fleet(shape, &engines, &services);
    let store = HttpStore::new(HttpStoreOptions::new(platform, seed));
    let metadata = ApplyMetadata {
        apply_id: "demo".to_owned(),
        author: "demo".to_owned(),
        comment: String::new(),
        unix_millis: read_unix_time().as_millis() as u64,
    };
    apply_declarations(&store, &declarations, None, &metadata).await?;
    Ok(())
}

fn build_router_settings(
    shape: &DeploymentShape,
    index: usize,
    platform_address: SocketAddr,
) -> RouterSettings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    RouterSettings {
        vm: build_vm_name(index),
        domain: shape.domain(index).to_owned(),
        region: shape.region.to_owned(),
        caller_address: any_port,
        peer_address: any_port,
        operator_address: any_port,
        platform_address,
        seeds: Vec::new(),
        peer_key: "5a".repeat(32),
        operator_token_digest: digest_hex(b"operator"),
        max_connections: 4_096,
        max_body_bytes: 1 << 20,
        drain_millis: 30_000,
        log: LogSettings::default(),
    }
}

fn read_unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO)
}

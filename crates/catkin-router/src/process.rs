//! A router process: the core with its real listeners and clients.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use catkin_backend::HttpLink;
use catkin_base::VmId;
use catkin_caller::{
    CallerLimits, CallerListener, CallerShutdown, RequestIds, read_descriptor_limit,
};
use catkin_operator::{ListenerError, OperatorListener};
use catkin_peer::{BindError, KeyError, LinkSettings, PeerKey, UdpLink};
use catkin_platform::{GuardLimits, HttpStore, HttpStoreOptions};
use catkin_settings::RouterSettings;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use sha2::{Digest, Sha256};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::environment::RouterEnvironment;
use crate::identity::RouterIdentity;
use crate::metric::{ANSWER_SECONDS, FIRST_PART_SECONDS};
use crate::operator::RouterOperator;
use crate::router::{RevisionDecoding, RouterCore, RouterInput};
use crate::status::RouterView;

/// Bounds of the time histograms' buckets, in seconds.
const SECONDS_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 10.0, 60.0, 600.0];

/// Platform calls a second that a router makes for operators at most.
const OPERATOR_WRITES_PER_SECOND: u32 = 40;
const OPERATOR_READS_PER_SECOND: u32 = 100;

/// The real parts of the world.
pub struct ProcessEnvironment;

impl RouterEnvironment for ProcessEnvironment {
    type Store = HttpStore;
    type Backend = HttpLink;
    type Peers = Arc<UdpLink>;
}

/// Why a router process did not start.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The peer key is malformed.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The peer listener did not start.
    #[error(transparent)]
    Peers(#[from] BindError),
    /// The callers' listener did not start.
    #[error("the callers' listener can't use {address}: {source}")]
    Callers {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The operators' listener did not start.
    #[error(transparent)]
    Operators(#[from] ListenerError),
}

/// A running router with its listeners.
pub struct RouterProcess {
    core: RouterCore<ProcessEnvironment>,
    peers: Arc<UdpLink>,
    callers: JoinHandle<()>,
    caller_shutdown: CallerShutdown,
    caller_address: SocketAddr,
    operators: OperatorListener,
    drain_limit: Duration,
}

impl RouterProcess {
    /// Starts a router. `incarnation` must rise with each restart of the same VM.
    pub async fn start(
        settings: &RouterSettings,
        incarnation: u64,
        start_unix: Duration,
        seed: u64,
    ) -> Result<Self, ProcessError> {
        let identity = RouterIdentity::from_settings(settings, incarnation);
        let peers = Arc::new(UdpLink::bind(&link_settings(settings, &identity)?).await?);
        let identity = RouterIdentity { peer_address: peers.address(), ..identity };
        let core = RouterCore::start(RouterInput::<ProcessEnvironment> {
            identity,
            store: Arc::new(HttpStore::new(HttpStoreOptions::new(settings.platform_address, seed))),
            backend: HttpLink,
            peers: Arc::clone(&peers),
            seeds: settings.seeds.clone(),
            hint_key: derive_hint_key(&settings.peer_key),
            start_unix,
            decoding: RevisionDecoding::OwnThread,
            seed,
        });
        let callers = bind_callers(settings, &core, seed).await?;
        let caller_shutdown = callers.shutdown_handle();
        let caller_address = callers.local_address().unwrap_or(settings.caller_address);
        let operator = Arc::new(RouterOperator::new(
            core.view(),
            Arc::new(HttpStore::new(operator_store_options(settings, seed))),
            metrics_handle(),
        ));
        let operators = OperatorListener::start(
            settings.operator_address,
            &operator,
            &settings.operator_token_digest,
        )?;
        Ok(Self {
            core,
            peers,
            callers: tokio::spawn(callers.serve()),
            caller_shutdown,
            caller_address,
            operators,
            drain_limit: Duration::from_millis(settings.drain_millis),
        })
    }

    /// Address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address of the operators' listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address of the peer listener.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Its VM.
    pub fn vm(&self) -> VmId {
        self.core.vm()
    }

    /// What operators may read of it.
    pub fn view(&self) -> RouterView<ProcessEnvironment> {
        self.core.view()
    }

    /// Finishes open work, stops and joins everything. Returns whether no call was cut off.
    pub async fn shut_down(mut self) -> bool {
        self.caller_shutdown.start_leaving();
        self.core.announce_leave().await;
        self.caller_shutdown.start_closing();
        let limit = Instant::now() + self.drain_limit;
        let whole = self.core.shut_down(self.drain_limit).await;
        // Callers may still be taking the last parts of their answers.
        let joined = match timeout_at(limit, &mut self.callers).await {
            Ok(joined) => joined.is_ok(),
            Err(_) => {
                self.caller_shutdown.abort();
                self.callers.await.is_ok()
            }
        };
        self.peers.close().await;
        self.operators.stop();
        whole && joined
    }

    /// Stops at once, as a crash would.
    pub async fn kill(self) {
        self.callers.abort();
        // An aborted task ends with an error that says so.
        let _ = self.callers.await;
        self.peers.close().await;
        self.core.kill().await;
        self.operators.stop();
    }
}

fn link_settings(
    settings: &RouterSettings,
    identity: &RouterIdentity,
) -> Result<LinkSettings, KeyError> {
    Ok(LinkSettings {
        address: settings.peer_address,
        vm: identity.vm,
        incarnation: identity.incarnation,
        key: PeerKey::from_hex(&settings.peer_key)?,
    })
}

/// Derives the key of hints from that of the peer protocol, so that neither stands for the other.
fn derive_hint_key(peer_key: &str) -> [u8; 32] {
    Sha256::digest(format!("catkin hint {peer_key}")).into()
}

async fn bind_callers(
    settings: &RouterSettings,
    core: &RouterCore<ProcessEnvironment>,
    seed: u64,
) -> Result<CallerListener<crate::calls::RouterService<ProcessEnvironment>>, ProcessError> {
    let limits = caller_limits(settings);
    let address = settings.caller_address;
    let service = Arc::new(core.service());
    CallerListener::bind(address, limits, RequestIds::from_seed(seed), service)
        .await
        .map_err(|source| ProcessError::Callers { address, source })
}

/// Options of the platform's client for operators: a fixed part of the platform's rates, since
/// few applies are under way at once however large the fleet is.
fn operator_store_options(settings: &RouterSettings, seed: u64) -> HttpStoreOptions {
    let limits = GuardLimits {
        writes_per_second: OPERATOR_WRITES_PER_SECOND,
        reads_per_second: OPERATOR_READS_PER_SECOND,
        ..GuardLimits::default()
    };
    HttpStoreOptions {
        limits,
        rates: None,
        ..HttpStoreOptions::new(settings.platform_address, seed)
    }
}

/// The callers' bounds as set, within the file descriptors that the process may open.
fn caller_limits(settings: &RouterSettings) -> CallerLimits {
    let limits = CallerLimits {
        max_connections: settings.max_connections,
        max_body_bytes: settings.max_body_bytes,
        ..CallerLimits::default()
    };
    let Some(descriptors) = read_descriptor_limit() else { return limits };
    let fitting = limits.clone().within_descriptors(descriptors);
    if fitting != limits {
        let most = fitting.max_connections;
        log::warn!("caller: Only {most} connections fit into {descriptors} file descriptors.");
    }
    fitting
}

/// The process's metrics; `None` if another recorder was installed before.
fn metrics_handle() -> Option<PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    HANDLE.get_or_init(install_metrics).clone()
}

fn install_metrics() -> Option<PrometheusHandle> {
    let mut builder = PrometheusBuilder::new();
    for name in [FIRST_PART_SECONDS, ANSWER_SECONDS] {
        builder = builder
            .set_buckets_for_metric(Matcher::Full(name.to_owned()), &SECONDS_BUCKETS)
            .ok()?;
    }
    builder.install_recorder().ok()
}

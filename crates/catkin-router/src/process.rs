//! A router process: the router core with its network listeners and clients.

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

/// Upper bounds of the buckets of the time histograms, in seconds.
const SECONDS_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 10.0, 60.0, 600.0];

/// Maximum number of platform calls per second that a router makes for operators' requests.
const OPERATOR_WRITES_PER_SECOND: u32 = 40;
const OPERATOR_READS_PER_SECOND: u32 = 100;

/// Environment of a router process: platform and backend servers over HTTP, peers over UDP.
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
    #[error("the callers' listener cannot use address {address}: {source}")]
    Callers {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The operators' listener did not start.
    #[error(transparent)]
    Operators(#[from] ListenerError),
}

/// A running router with its listeners for callers, operators and peers.
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
    /// Starts a router. `incarnation` must increase with each restart on the same VM; `start_unix`
    /// is the current Unix time.
    pub async fn start(
        settings: &RouterSettings,
        incarnation: u64,
        start_unix: Duration,
        seed: u64,
    ) -> Result<Self, ProcessError> {
        let identity = RouterIdentity::from_settings(settings, incarnation);
        let peers = Arc::new(UdpLink::bind(&build_link_settings(settings, &identity)?).await?);
        let identity = RouterIdentity { peer_address: peers.address(), ..identity };
        let core = RouterCore::start(RouterInput::<ProcessEnvironment> {
            identity,
            store: Arc::new(HttpStore::new(HttpStoreOptions::new(settings.platform_address, seed))),
            backend: HttpLink,
            peers: Arc::clone(&peers),
            seed_addresses: settings.seeds.clone(),
            hint_key: derive_hint_key(&settings.peer_key),
            start_unix,
            decoding: RevisionDecoding::DedicatedThread,
            seed,
        });
        let callers = bind_callers(settings, &core, seed).await?;
        let caller_shutdown = callers.shutdown_handle();
        let caller_address = callers.local_address().unwrap_or(settings.caller_address);
        let operator = Arc::new(RouterOperator::new(
            core.view(),
            Arc::new(HttpStore::new(build_operator_store_options(settings, seed))),
            get_metrics_handle(),
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

    /// Bound address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Bound address of the operators' listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Bound address of the peer listener.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// VM of this router.
    pub fn vm(&self) -> VmId {
        self.core.vm()
    }

    /// View of the router's state for operators.
    pub fn view(&self) -> RouterView<ProcessEnvironment> {
        self.core.view()
    }

    /// Announces the leave, waits up to the drain time from the settings for open calls to end,
    /// then stops and joins all tasks and listeners.
    ///
    /// Returns whether no call was cut off.
    pub async fn shut_down(mut self) -> bool {
        self.caller_shutdown.start_leaving();
        self.core.announce_leave().await;
        self.caller_shutdown.start_closing();
        let deadline = Instant::now() + self.drain_limit;
        let complete = self.core.shut_down(self.drain_limit).await;
        // Callers may still be receiving the ends of their answers.
        let joined = match timeout_at(deadline, &mut self.callers).await {
            Ok(joined) => joined.is_ok(),
            Err(_) => {
                self.caller_shutdown.abort();
                self.callers.await.is_ok()
            }
        };
        self.peers.close().await;
        self.operators.stop();
        complete && joined
    }

    /// Stops at once without draining or announcing it, as in a crash.
    pub async fn kill(self) {
        self.callers.abort();
        // An aborted task ends with a `JoinError`, which is expected here.
        let _ = self.callers.await;
        self.peers.close().await;
        self.core.kill().await;
        self.operators.stop();
    }
}

fn build_link_settings(
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

/// Derives the key of hints from the key of the peer protocol, so that neither can be used
/// in place of the other.
fn derive_hint_key(peer_key: &str) -> [u8; 32] {
    Sha256::digest(format!("catkin hint {peer_key}")).into()
}

async fn bind_callers(
    settings: &RouterSettings,
    core: &RouterCore<ProcessEnvironment>,
    seed: u64,
) -> Result<CallerListener<crate::calls::RouterService<ProcessEnvironment>>, ProcessError> {
    let limits = build_caller_limits(settings);
    let address = settings.caller_address;
    let service = Arc::new(core.service());
    CallerListener::bind(address, limits, RequestIds::from_seed(seed), service)
        .await
        .map_err(|source| ProcessError::Callers { address, source })
}

/// Options of the platform client for operators' requests.
///
/// Its rate limits are fixed, because few applies run at once however large the fleet is.
fn build_operator_store_options(settings: &RouterSettings, seed: u64) -> HttpStoreOptions {
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

/// Limits of the callers' listener from the settings, with fewer connections if the process may not
/// open enough file descriptors.
fn build_caller_limits(settings: &RouterSettings) -> CallerLimits {
    let limits = CallerLimits {
        max_connections: settings.max_connections,
        max_body_bytes: settings.max_body_bytes,
        ..CallerLimits::default()
    };
    let Some(descriptors) = read_descriptor_limit() else { return limits };
    let reduced = limits.clone().limit_to_descriptors(descriptors);
    if reduced != limits {
        let connections = reduced.max_connections;
        log::warn!(
            "caller: the file descriptor limit is too low; the connection limit is reduced. \
             descriptors={descriptors} connections={connections}"
        );
    }
    reduced
}

/// Handle of the process's metrics; `None` if another recorder was installed before.
fn get_metrics_handle() -> Option<PrometheusHandle> {
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

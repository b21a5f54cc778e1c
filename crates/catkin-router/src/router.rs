//! Core of a router: starts its tasks, and stops them gracefully or at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use catkin_base::{ClockTime, VmId, copy_type};
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::admission::run_admission;
use crate::calls::RouterService;
use crate::environment::RouterEnvironment;
use crate::fleet::{run_audits, run_fleet, run_reports, run_vm_directory};
use crate::garbage::run_garbage_collection;
use crate::identity::RouterIdentity;
use crate::orders::{REPORT_QUEUE_LENGTH, run_orders};
use crate::peers::{run_peers, send_actions};
use crate::probes::run_probes;
use crate::revision::run_revisions;
use crate::state::{RouterState, StateInput};
use crate::status::RouterView;
use crate::sweeps::run_claim_sweeps;

/// Maximum number of suspected crashes that wait for a probe.
const SUSPICION_QUEUE_LENGTH: usize = 1_024;
/// Time that other routers get to learn that this one is leaving.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Inputs of [`RouterCore::start`].
pub struct RouterInput<E: RouterEnvironment> {
    /// Identity of the router.
    pub identity: RouterIdentity,
    /// Object store and VM directory of the platform.
    pub store: Arc<E::Store>,
    /// Link to the backend servers.
    pub backend: E::Backend,
    /// Link to the other routers.
    pub peers: E::Peers,
    /// Peer addresses of routers to contact besides those on the platform's list of VMs.
    pub seed_addresses: Vec<SocketAddr>,
    /// Key that authenticates the hints that callers send back; the same on all routers.
    pub hint_key: [u8; 32],
    /// Unix time at the start.
    pub start_unix: Duration,
    /// Thread on which revisions are decoded.
    pub decoding: RevisionDecoding,
    /// Seed of the router's random numbers.
    pub seed: u64,
}

copy_type! {
    /// Thread on which a router decodes revisions.
    pub enum RevisionDecoding {
        /// The runtime's threads; meant for a runtime with a single thread.
        Runtime,
        /// A dedicated thread. Every thread that decodes retains some memory permanently, so only
        /// one thread should decode.
        DedicatedThread,
    }
}

/// A running router without its listeners for callers and operators.
pub struct RouterCore<E: RouterEnvironment> {
    state: Arc<RouterState<E>>,
    tasks: JoinSet<()>,
    revision_thread: Option<JoinHandle<()>>,
    stop: CancellationToken,
}

impl<E: RouterEnvironment> RouterCore<E> {
    /// Starts the tasks of a router on the current runtime.
    pub fn start(input: RouterInput<E>) -> Self {
        let (suspicions, suspicion_queue) = flume::bounded(SUSPICION_QUEUE_LENGTH);
        let (server_reports, report_queue) = flume::bounded(REPORT_QUEUE_LENGTH);
        let seed_addresses = input.seed_addresses;
        let state = Arc::new(RouterState::new(StateInput {
            identity: input.identity,
            store: input.store,
            backend: input.backend,
            peers: input.peers,
            suspicions,
            server_reports,
            hint_key: input.hint_key,
            start_unix: input.start_unix,
            seed: input.seed,
        }));
        let mut core = Self {
            state: Arc::clone(&state),
            tasks: JoinSet::new(),
            revision_thread: None,
            stop: CancellationToken::new(),
        };
        core.spawn(|state| async move { run_peers(&state).await });
        core.spawn(|state| async move { run_fleet(&state).await });
        core.spawn(|state| async move { run_admission(&state).await });
        core.spawn(|state| async move { run_reports(&state).await });
        core.spawn(|state| async move { run_audits(&state).await });
        core.spawn(|state| async move { run_claim_sweeps(&state).await });
        core.start_revisions(input.decoding);
        core.spawn(|state| async move { run_garbage_collection(&state).await });
        core.spawn(|state| async move { run_vm_directory(&state, seed_addresses).await });
        core.spawn(|state| async move { run_probes(state, suspicion_queue).await });
        core.spawn(|state| async move { run_orders(state, report_queue).await });
        core
    }

    /// Service that answers callers' calls.
    pub fn service(&self) -> RouterService<E> {
        RouterService::new(Arc::clone(&self.state))
    }

    /// View of this router's state for operators.
    pub fn view(&self) -> RouterView<E> {
        RouterView::new(Arc::clone(&self.state))
    }

    /// VM of this router.
    pub fn vm(&self) -> VmId {
        self.state.identity.vm
    }

    /// Current time on the router's clock, which starts with the router.
    pub fn now(&self) -> ClockTime {
        self.state.now()
    }

    /// Announces to the other routers that this one is leaving, and gives them time to learn it.
    pub async fn announce_leave(&self) {
        announce_leave(&self.state);
        sleep(LEAVE_NOTICE_TIME).await;
    }

    /// Refuses new calls, waits up to `limit` for open calls to end, then stops and joins all
    /// tasks.
    ///
    /// Returns whether all open calls ended within `limit`.
    pub async fn shut_down(mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        self.state.gate.start_drain();
        announce_leave(&self.state);
        let idle = timeout_at(deadline, self.state.gate.wait_idle()).await.is_ok();
        self.state.detached_calls.close();
        let resolved = timeout_at(deadline, self.state.detached_calls.wait()).await.is_ok();
        self.state.claims.flush(self.state.now()).await;
        self.join_tasks().await;
        log::info!(
            "router: all tasks have stopped. vm={} whole={}",
            self.state.identity.name,
            idle && resolved
        );
        idle && resolved
    }

    /// Stops at once without announcing it, as in a crash, and joins all tasks.
    pub async fn kill(mut self) {
        self.join_tasks().await;
    }

    /// Cancels and joins all tasks, the revision thread included.
    async fn join_tasks(&mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        if let Some(thread) = self.revision_thread.take() {
            let joined = tokio::task::spawn_blocking(move || thread.join()).await;
            debug_assert!(matches!(joined, Ok(Ok(()))));
        }
        self.state.background.close();
        self.state.background.wait().await;
    }

    /// Starts the task that reads revisions, on the threads that `decoding` names.
    fn start_revisions(&mut self, decoding: RevisionDecoding) {
        let state = Arc::clone(&self.state);
        let stop = self.stop.clone();
        let future = async move {
            tokio::select! {
                () = run_revisions(&state) => {}
                () = stop.cancelled() => {}
            }
        };
        match decoding {
            RevisionDecoding::Runtime => {
                self.tasks.spawn(future);
            }
            RevisionDecoding::DedicatedThread => {
                let runtime = Handle::current();
                self.revision_thread = Some(std::thread::spawn(move || runtime.block_on(future)));
            }
        }
    }

    /// Starts a task that runs until it ends or the router stops.
    fn spawn<F>(&mut self, run: impl FnOnce(Arc<RouterState<E>>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let future = run(Arc::clone(&self.state));
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(future).await;
        });
    }
}

fn announce_leave<E: RouterEnvironment>(state: &RouterState<E>) {
    let now = state.now();
    let actions = state.policy().members.leave(now);
    send_actions(state, &actions);
    state.fleet_changed.notify_one();
}

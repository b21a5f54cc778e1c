//! State that the tasks and calls of one router share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use catkin_base::{ClockTime, RequestId, ServerId, VmId};
use catkin_control::{DispatcherOptions, OrderDispatcher, StateReport};
use catkin_peer::PeerLink;
use catkin_peer::messages::PeerMessage;
use catkin_platform::{ClaimBook, ClaimOptions, VmListing, derive_process_id};
use catkin_policy::{GrantAnswer, GrantRelease, ServerSpec, choose_owner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use crate::clock::RuntimeClock;
use crate::drain::DrainGate;
use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::hint::HintKey;
use crate::identity::RouterIdentity;
use crate::orders::OrderReplies;
use crate::policy_state::PolicyState;
use crate::revision::{ChunkRequests, RevisionState};
use crate::strikes::CrashSuspicion;
use crate::traffic::TrafficCounts;
use crate::wire::{answer_to_wire, release_to_wire};

/// State that the tasks and calls of one router share.
pub(crate) struct RouterState<E: RouterEnvironment> {
    pub(crate) identity: RouterIdentity,
    pub(crate) clock: RuntimeClock,
    pub(crate) store: Arc<E::Store>,
    pub(crate) backend: Arc<E::Backend>,
    pub(crate) peers: E::Peers,
    pub(crate) gate: Arc<DrainGate>,
    /// Messages and bytes sent to other routers, by message kind.
    pub(crate) traffic: TrafficCounts,
    pub(crate) revisions: RevisionState,
    /// Wakes the admission task when a queued grant request may have become due.
    pub(crate) admission_due: Notify,
    /// Wakes the fleet task when the declarations or the live routers may have changed.
    pub(crate) fleet_changed: Notify,
    /// Chunks requested from other routers.
    pub(crate) chunks: ChunkRequests,
    /// Suspected crashes for the probe task to check.
    pub(crate) suspicions: flume::Sender<CrashSuspicion>,
    /// Key that authenticates the hints that callers send back.
    pub(crate) hints: HintKey,
    /// Idempotency claims of calls that may run only once.
    pub(crate) claims: ClaimBook<E::Store>,
    /// Calls that continue after their callers disconnect; joined when the router stops.
    pub(crate) detached_calls: TaskTracker,
    /// Short tasks that answer other routers; joined when the router stops.
    pub(crate) background: TaskTracker,
    /// Delivers orders to the servers that this router owns.
    pub(crate) dispatcher: OrderDispatcher<E::Backend>,
    /// Replies awaited from the owners of other servers.
    pub(crate) order_replies: OrderReplies,
    /// Server reports for the control loop, used while this router holds the region's lease.
    pub(crate) server_reports: flume::Sender<StateReport>,
    joined: AtomicBool,
    /// Names of VMs from the platform's list.
    vm_names: RwLock<BTreeMap<VmId, String>>,
    index: RwLock<Option<Arc<FleetIndex>>>,
    policy: Mutex<PolicyState>,
    pending: Mutex<BTreeMap<RequestId, PendingRequest>>,
    random: Mutex<StdRng>,
}

/// A grant request that this router sent, or the grant that resulted from it.
struct PendingRequest {
    server: ServerId,
    answers: flume::Sender<ReceivedAnswer>,
}

/// An answer to a grant request, and the router that sent it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceivedAnswer {
    pub(crate) answer: GrantAnswer,
    /// The router that sent it.
    pub(crate) from: VmId,
    /// The router to which the sender ceded the server, if it no longer owns it.
    pub(crate) ceded_to: Option<VmId>,
}

/// Receiving end of the answers to one grant request.
pub(crate) type AnswerQueue = flume::Receiver<ReceivedAnswer>;

/// Maximum number of unread answers to one grant request.
const ANSWER_QUEUE_LENGTH: usize = 8;

/// Inputs of [`RouterState::new`].
pub(crate) struct StateInput<E: RouterEnvironment> {
    pub(crate) identity: RouterIdentity,
    pub(crate) store: Arc<E::Store>,
    pub(crate) backend: E::Backend,
    pub(crate) peers: E::Peers,
    pub(crate) suspicions: flume::Sender<CrashSuspicion>,
    pub(crate) server_reports: flume::Sender<StateReport>,
    pub(crate) hint_key: [u8; 32],
    pub(crate) start_unix: Duration,
    pub(crate) seed: u64,
}

impl<E: RouterEnvironment> RouterState<E> {
    /// Builds the state of a router that has not joined and has no declarations.
    pub(crate) fn new(input: StateInput<E>) -> Self {
        let clock = RuntimeClock::start_now(input.start_unix);
        let process = derive_process_id(input.identity.vm, input.identity.incarnation);
        let options = ClaimOptions::new(process);
        let claims = ClaimBook::new(Arc::clone(&input.store), options);
        let policy = PolicyState::new(&input.identity, input.seed, clock.now());
        let backend = Arc::new(input.backend);
        let dispatcher = OrderDispatcher::new(Arc::clone(&backend), DispatcherOptions::default());
        Self {
            identity: input.identity,
            clock,
            store: input.store,
            backend,
            peers: input.peers,
            gate: Arc::default(),
            traffic: TrafficCounts::default(),
            revisions: RevisionState::default(),
            admission_due: Notify::new(),
            fleet_changed: Notify::new(),
            chunks: ChunkRequests::default(),
            suspicions: input.suspicions,
            hints: HintKey::new(input.hint_key),
            claims,
            detached_calls: TaskTracker::new(),
            background: TaskTracker::new(),
            dispatcher,
            order_replies: OrderReplies::default(),
            server_reports: input.server_reports,
            joined: AtomicBool::new(false),
            vm_names: RwLock::default(),
            index: RwLock::new(None),
            policy: Mutex::new(policy),
            pending: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(input.seed)),
        }
    }

    /// Stores the names of the VMs that the platform lists.
    pub(crate) fn set_vm_names(&self, listings: &[VmListing]) {
        let names = listings.iter().map(|vm| (VmId::from_name(&vm.name), vm.name.clone()));
        let names = names.collect();
        *self.vm_names.write().unwrap_or_else(PoisonError::into_inner) = names;
    }

    /// Name of a VM; `None` if the last list that was read does not contain it.
    pub(crate) fn vm_name(&self, vm: VmId) -> Option<String> {
        self.vm_names.read().unwrap_or_else(PoisonError::into_inner).get(&vm).cloned()
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Whether this router has joined: it had time to discover the other routers.
    pub(crate) fn is_joined(&self) -> bool {
        self.joined.load(Ordering::SeqCst)
    }

    /// Marks this router as joined and wakes the fleet task.
    pub(crate) fn mark_joined(&self) {
        self.joined.store(true, Ordering::SeqCst);
        self.fleet_changed.notify_one();
    }

    /// Locks the policy state. The guard must not be held across an `await`.
    pub(crate) fn policy(&self) -> MutexGuard<'_, PolicyState> {
        lock(&self.policy)
    }

    /// Index of the declarations in force; `None` until the first revision is in force.
    pub(crate) fn index(&self) -> Option<Arc<FleetIndex>> {
        self.index.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_index(&self, index: Arc<FleetIndex>) {
        *self.index.write().unwrap_or_else(PoisonError::into_inner) = Some(index);
    }

    /// Draws a random number, for identifiers, seeds and random order.
    pub(crate) fn random_u64(&self) -> u64 {
        lock(&self.random).random()
    }

    /// Draws a duration between half of `millis` and `millis`, in milliseconds.
    pub(crate) fn jitter_millis(&self, millis: u64) -> u64 {
        lock(&self.random).random_range(millis.div_ceil(2)..=millis)
    }

    /// Sends a message to a router; drops it if the router's address is unknown.
    pub(crate) fn send_to(&self, vm: VmId, message: &PeerMessage) {
        let address = self.policy().address(vm);
        if let Some(address) = address {
            self.send_at(vm, address, message);
        }
    }

    /// Sends a message to a router at the given address, and counts it.
    pub(crate) fn send_at(&self, vm: VmId, address: SocketAddr, message: &PeerMessage) {
        self.traffic.record_sent(message);
        self.peers.send(vm, address, message);
    }

    /// Owner of `server`: the recorded owner or, if none is recorded, the one that the current
    /// roster yields.
    pub(crate) fn owner_of(&self, server: &ServerSpec) -> Option<VmId> {
        let policy = self.policy();
        let known = policy.owners.get(&server.server).copied();
        known.or_else(|| choose_owner(server, &policy.roster))
    }

    /// Registers a grant request: its answers arrive on the returned queue until
    /// [`Self::remove_request`] is called.
    pub(crate) fn register_request(&self, request: RequestId, server: ServerId) -> AnswerQueue {
        let (answers, queue) = flume::bounded(ANSWER_QUEUE_LENGTH);
        lock(&self.pending).insert(request, PendingRequest { server, answers });
        queue
    }

    /// Removes a grant request; a grant that arrives for it later is released at once.
    pub(crate) fn remove_request(&self, request: RequestId) {
        lock(&self.pending).remove(&request);
    }

    /// Whether this router waits for a grant of `server` for this request, or holds one.
    fn holds_grant(&self, request: RequestId, server: ServerId) -> bool {
        lock(&self.pending).get(&request).is_some_and(|pending| pending.server == server)
    }

    /// Returns those of `requests` that have no pending or held grant of `server` on this router.
    pub(crate) fn list_unknown_requests(
        &self,
        server: ServerId,
        requests: impl Iterator<Item = RequestId>,
    ) -> Vec<RequestId> {
        requests.filter(|request| !self.holds_grant(*request, server)).collect()
    }

    /// Queues an answer for the call that waits for it; false if no call does.
    pub(crate) fn queue_answer(&self, received: ReceivedAnswer) -> bool {
        let pending = lock(&self.pending);
        let Some(request) = pending.get(&received.answer.request) else { return false };
        let wanted = request.server == received.answer.server;
        // A full queue means that the call already has its answer.
        wanted && (request.answers.try_send(received).is_ok() || request.answers.is_full())
    }

    /// Sends an owner's answer to the router that sent the request, which may be this one.
    pub(crate) fn send_answer(&self, answer: &GrantAnswer) {
        let ceded_to = self.policy().admission.ceded_to(answer.server);
        if answer.entry != self.identity.vm {
            self.send_to(answer.entry, &answer_to_wire(answer, ceded_to));
            return;
        }
        self.queue_answer(ReceivedAnswer { answer: *answer, from: self.identity.vm, ceded_to });
    }

    /// Sends the release of a grant to the router that granted it or, if that router is no longer
    /// live or not known, to the server's owner.
    pub(crate) fn send_release(&self, granted_by: Option<VmId>, release: &GrantRelease) {
        let policy = self.policy();
        let live = |vm: &VmId| policy.roster.iter().any(|router| router.vm == *vm);
        let owner = || policy.owners.get(&release.server).copied();
        let receiver = granted_by.filter(live).or_else(owner);
        drop(policy);
        match receiver {
            Some(vm) if vm != self.identity.vm => self.send_to(vm, &release_to_wire(release)),
            _ => self.forward_release(self.identity.vm, release),
        }
    }

    /// Applies a release, and forwards it if another router owns the server by now.
    pub(crate) fn forward_release(&self, from: VmId, release: &GrantRelease) {
        self.apply_release(release);
        let policy = self.policy();
        let ceded_to = policy.admission.ceded_to(release.server);
        let owner = ceded_to.or_else(|| policy.owners.get(&release.server).copied());
        drop(policy);
        if let Some(owner) = owner.filter(|owner| *owner != self.identity.vm && *owner != from) {
            self.send_to(owner, &release_to_wire(release));
        }
    }

    fn apply_release(&self, release: &GrantRelease) {
        let now = self.now();
        self.policy().admission.handle_release(now, release);
        self.admission_due.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

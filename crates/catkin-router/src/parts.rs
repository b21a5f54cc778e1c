//! What the tasks and calls of one router share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use catkin_base::{ClockTime, RequestId, ServerId, VmId};
use catkin_control::{CourierOptions, OrderCourier, ServerReport};
use catkin_peer::PeerLink;
use catkin_peer::messages::PeerMessage;
use catkin_platform::{ClaimBook, ClaimOptions, VmListing, process_nonce};
use catkin_policy::{GrantAnswer, GrantRelease, ServerSpec, choose_owner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use crate::clock::RuntimeClock;
use crate::control::ControlState;
use crate::drain::DrainGate;
use crate::environment::RouterEnvironment;
use crate::hint::HintKey;
use crate::identity::RouterIdentity;
use crate::index::FleetIndex;
use crate::orders::OrderReplies;
use crate::revision::{ChunkRequests, RevisionState};
use crate::strikes::CrashSuspicion;
use crate::traffic::TrafficTable;
use crate::wire::{answer_to_wire, release_to_wire};

/// What the tasks and calls of one router share.
pub(crate) struct RouterParts<E: RouterEnvironment> {
    pub(crate) identity: RouterIdentity,
    pub(crate) clock: RuntimeClock,
    pub(crate) store: Arc<E::Store>,
    pub(crate) backend: Arc<E::Backend>,
    pub(crate) peers: E::Peers,
    pub(crate) gate: Arc<DrainGate>,
    /// Messages sent to other routers.
    pub(crate) traffic: TrafficTable,
    pub(crate) revisions: RevisionState,
    /// Wakes the admission task when a queued ask may have become due.
    pub(crate) admission_due: Notify,
    /// Wakes the fleet task when the declarations or the live routers may have changed.
    pub(crate) fleet_changed: Notify,
    /// Chunks asked of other routers.
    pub(crate) chunks: ChunkRequests,
    /// Wakes the probe task for a server that may have crashed.
    pub(crate) suspects: flume::Sender<CrashSuspicion>,
    /// Key of the hints that callers carry.
    pub(crate) hints: HintKey,
    /// Claims of calls that may run only once.
    pub(crate) claims: ClaimBook<E::Store>,
    /// Calls that go on without their callers; joined when the router stops.
    pub(crate) once_tasks: TaskTracker,
    /// Short tasks that answer other routers; joined when the router stops.
    pub(crate) background: TaskTracker,
    /// Passes orders to the servers that this router owns.
    pub(crate) courier: OrderCourier<E::Backend>,
    pub(crate) order_replies: OrderReplies,
    /// Reports of servers for the holder of the region's lease.
    pub(crate) server_reports: flume::Sender<ServerReport>,
    joined: AtomicBool,
    /// Names of VMs, as the platform lists them.
    vm_names: RwLock<BTreeMap<VmId, String>>,
    index: RwLock<Option<Arc<FleetIndex>>>,
    control: Mutex<ControlState>,
    pending: Mutex<BTreeMap<RequestId, PendingAsk>>,
    random: Mutex<StdRng>,
}

/// An ask of this router, or the grant that it led to.
struct PendingAsk {
    server: ServerId,
    answers: flume::Sender<ReceivedAnswer>,
}

/// An answer to an ask, and where it came from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceivedAnswer {
    pub(crate) answer: GrantAnswer,
    /// The router that gave it.
    pub(crate) from: VmId,
    /// The router to which that one handed the server.
    pub(crate) ceded_to: Option<VmId>,
}

/// The receiving end of one ask's answers.
pub(crate) type AnswerQueue = flume::Receiver<ReceivedAnswer>;

/// Answers kept for one ask.
const ANSWER_QUEUE_LENGTH: usize = 8;

/// Parts that a router is built from.
pub(crate) struct PartsInput<E: RouterEnvironment> {
    pub(crate) identity: RouterIdentity,
    pub(crate) store: Arc<E::Store>,
    pub(crate) backend: E::Backend,
    pub(crate) peers: E::Peers,
    pub(crate) suspects: flume::Sender<CrashSuspicion>,
    pub(crate) server_reports: flume::Sender<ServerReport>,
    pub(crate) hint_key: [u8; 32],
    pub(crate) start_unix: Duration,
    pub(crate) seed: u64,
}

impl<E: RouterEnvironment> RouterParts<E> {
    pub(crate) fn new(input: PartsInput<E>) -> Self {
        let clock = RuntimeClock::start_now(input.start_unix);
        let process = process_nonce(input.identity.vm, input.identity.incarnation);
        let options = ClaimOptions::new(process);
        let claims = ClaimBook::new(Arc::clone(&input.store), options);
        let control = ControlState::new(&input.identity, input.seed, clock.now());
        let backend = Arc::new(input.backend);
        let courier = OrderCourier::new(Arc::clone(&backend), CourierOptions::default());
        Self {
            identity: input.identity,
            clock,
            store: input.store,
            backend,
            peers: input.peers,
            gate: Arc::default(),
            traffic: TrafficTable::default(),
            revisions: RevisionState::default(),
            admission_due: Notify::new(),
            fleet_changed: Notify::new(),
            chunks: ChunkRequests::default(),
            suspects: input.suspects,
            hints: HintKey::new(input.hint_key),
            claims,
            once_tasks: TaskTracker::new(),
            background: TaskTracker::new(),
            courier,
            order_replies: OrderReplies::default(),
            server_reports: input.server_reports,
            joined: AtomicBool::new(false),
            vm_names: RwLock::default(),
            index: RwLock::new(None),
            control: Mutex::new(control),
            pending: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(input.seed)),
        }
    }

    /// Takes the names of the VMs that the platform lists.
    pub(crate) fn note_vms(&self, listings: &[VmListing]) {
        let names = listings.iter().map(|vm| (VmId::from_name(&vm.name), vm.name.clone()));
        let names = names.collect();
        *self.vm_names.write().unwrap_or_else(PoisonError::into_inner) = names;
    }

    /// Name of a VM that the platform listed.
    pub(crate) fn vm_name(&self, vm: VmId) -> Option<String> {
        self.vm_names.read().unwrap_or_else(PoisonError::into_inner).get(&vm).cloned()
    }

    pub(crate) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Whether this router has had time to learn of the others.
    pub(crate) fn is_joined(&self) -> bool {
        self.joined.load(Ordering::SeqCst)
    }

    /// Notes that this router has had time to learn of the others.
    pub(crate) fn note_joined(&self) {
        self.joined.store(true, Ordering::SeqCst);
        self.fleet_changed.notify_one();
    }

    /// The decision state, locked. Never held across a wait.
    pub(crate) fn control(&self) -> MutexGuard<'_, ControlState> {
        lock(&self.control)
    }

    /// The declarations in force; `None` before the first.
    pub(crate) fn index(&self) -> Option<Arc<FleetIndex>> {
        self.index.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_index(&self, index: Arc<FleetIndex>) {
        *self.index.write().unwrap_or_else(PoisonError::into_inner) = Some(index);
    }

    /// A random number for an identifier.
    pub(crate) fn random_word(&self) -> u64 {
        lock(&self.random).random()
    }

    /// Draws a duration between half of `millis` and `millis`.
    pub(crate) fn jitter_millis(&self, millis: u64) -> u64 {
        lock(&self.random).random_range(millis.div_ceil(2)..=millis)
    }

    /// Sends a message to a router whose address is known; else it is lost.
    pub(crate) fn send_to(&self, vm: VmId, message: &PeerMessage) {
        let address = self.control().address(vm);
        if let Some(address) = address {
            self.send_at(vm, address, message);
        }
    }

    /// Sends a message to a router at an address.
    pub(crate) fn send_at(&self, vm: VmId, address: SocketAddr, message: &PeerMessage) {
        self.traffic.note_sent(message);
        self.peers.send(vm, address, message);
    }

    /// The owner of `server` by the present roster.
    pub(crate) fn owner_of(&self, server: &ServerSpec) -> Option<VmId> {
        let control = self.control();
        let known = control.owners.get(&server.server).copied();
        known.or_else(|| choose_owner(server, &control.roster))
    }

    /// Opens an ask: its answers arrive on the queue until [`Self::close_ask`].
    pub(crate) fn open_ask(&self, request: RequestId, server: ServerId) -> AnswerQueue {
        let (answers, queue) = flume::bounded(ANSWER_QUEUE_LENGTH);
        lock(&self.pending).insert(request, PendingAsk { server, answers });
        queue
    }

    /// Forgets an ask; grants for it that arrive later are released at once.
    pub(crate) fn close_ask(&self, request: RequestId) {
        lock(&self.pending).remove(&request);
    }

    /// Whether this router still waits for, or holds, a grant.
    fn holds_grant(&self, request: RequestId, server: ServerId) -> bool {
        lock(&self.pending).get(&request).is_some_and(|ask| ask.server == server)
    }

    /// Those of `requests` for which this router holds no grant of `server` any more.
    pub(crate) fn list_closed(
        &self,
        server: ServerId,
        requests: impl Iterator<Item = RequestId>,
    ) -> Vec<RequestId> {
        requests.filter(|request| !self.holds_grant(*request, server)).collect()
    }

    /// Hands an answer to the call that waits for it; false if none does.
    pub(crate) fn take_answer(&self, received: ReceivedAnswer) -> bool {
        let pending = lock(&self.pending);
        let Some(ask) = pending.get(&received.answer.request) else { return false };
        let wanted = ask.server == received.answer.server;
        // A full queue means that the call has had its answer.
        wanted && (ask.answers.try_send(received).is_ok() || ask.answers.is_full())
    }

    /// Sends an owner's answer to the router that asked, which may be this one.
    pub(crate) fn deliver_answer(&self, answer: &GrantAnswer) {
        let ceded_to = self.control().owner.ceded_to(answer.server);
        if answer.entry != self.identity.vm {
            self.send_to(answer.entry, &answer_to_wire(answer, ceded_to));
            return;
        }
        self.take_answer(ReceivedAnswer { answer: *answer, from: self.identity.vm, ceded_to });
    }

    /// Tells the router that granted a request, or else the server's owner, that it is over.
    pub(crate) fn send_release(&self, granter: Option<VmId>, release: &GrantRelease) {
        let control = self.control();
        let live = |vm: &VmId| control.roster.iter().any(|router| router.vm == *vm);
        let owner = || control.owners.get(&release.server).copied();
        let receiver = granter.filter(live).or_else(owner);
        drop(control);
        match receiver {
            Some(vm) if vm != self.identity.vm => self.send_to(vm, &release_to_wire(release)),
            _ => self.pass_release(self.identity.vm, release),
        }
    }

    /// Takes a release, or passes it on if another router owns the server by now.
    pub(crate) fn pass_release(&self, from: VmId, release: &GrantRelease) {
        self.take_release(release);
        let control = self.control();
        let ceded_to = control.owner.ceded_to(release.server);
        let owner = ceded_to.or_else(|| control.owners.get(&release.server).copied());
        drop(control);
        if let Some(owner) = owner.filter(|owner| *owner != self.identity.vm && *owner != from) {
            self.send_to(owner, &release_to_wire(release));
        }
    }

    fn take_release(&self, release: &GrantRelease) {
        let now = self.now();
        self.control().owner.handle_release(now, release);
        self.admission_due.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

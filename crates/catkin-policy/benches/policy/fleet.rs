//! The strategy under test: routers that run the decisions of this crate and exchange datagrams
//! with delay and loss.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ChatId, ClockTime, RefusalReason, RequestId, ServerId, VmId, hash_parts};
use catkin_policy::{
    AdmissionOwner, GrantAnswer, GrantAsk, GrantRelease, GrantResult, LoadAggregator,
    PlacementPlan, ReleaseOutcome, ReportMode, ReportPacer,
};
use rand::Rng;

use super::deployment::Deployment;
use super::entry::EntryCall;
use super::message::PeerMessage;
use super::scenario::Fault;
use super::simulator::{EventSimulator, OpenRequest, PlacementStrategy};
use super::trace::TraceRequest;
use super::view::{NumberedChange, RouterView, ViewChange};

/// Fraction of the datagrams that are lost.
const DATAGRAM_LOSS_RATE: f64 = 0.001;
/// Intervals of the periodic tasks of a router.
pub(super) const PROBE_INTERVAL_MILLIS: u64 = 1_000;
pub(super) const AUDIT_INTERVAL_MILLIS: u64 = 2_000;
/// Number of servers of a chat's ranking that a plan considers.
const RANK_LIMIT: usize = 5;

pub(super) type FleetSimulator = EventSimulator<FleetEvent>;

/// Events of the routers. Those with an incarnation are ignored after a restart of the router.
#[derive(Debug, Clone)]
pub enum FleetEvent {
    Deliver { from: VmId, to: VmId, message: PeerMessage },
    Probe(VmId, u64),
    Report(VmId, u64),
    Audit(VmId, u64),
    Poll(VmId),
    BroadcastReport(VmId),
    AskTimeout(RequestId, u32),
    QueryTimeout(VmId, ServerId, u32),
    RepeatRelease(VmId, VmId, GrantRelease),
    Suspect(VmId, VmId),
    ApplyChange(VmId, NumberedChange),
}

/// All routers and their calls.
pub struct FleetStrategy {
    pub(super) routers: Vec<RouterNode>,
    pub(super) calls: BTreeMap<RequestId, EntryCall>,
    /// Server that last answered the chat, for callers that return it as a hint.
    pub(super) hints: BTreeMap<ChatId, ServerId>,
    /// Whether the network is partitioned.
    pub(super) partitioned: bool,
    /// Number of the last change of the membership or of the declared servers.
    pub(super) changes: u64,
}

/// One router.
pub(super) struct RouterNode {
    pub(super) vm: VmId,
    pub(super) up: bool,
    pub(super) incarnation: u64,
    pub(super) admission: AdmissionOwner,
    pub(super) load_aggregator: LoadAggregator,
    pub(super) pacer: ReportPacer,
    pub(super) suspects: BTreeSet<VmId>,
    /// Incarnations of other routers, from their messages.
    pub(super) incarnations: BTreeMap<VmId, u64>,
    /// Time of the next scheduled broadcast of loads.
    pub(super) report_at: Option<ClockTime>,
    pub(super) view: RouterView,
    /// Time of the next scheduled poll.
    pub(super) poll_at: Option<ClockTime>,
}

impl FleetStrategy {
    /// Creates the routers of a deployment, all up.
    pub fn new(deployment: &Deployment) -> Self {
        let view = RouterView::new(deployment);
        let routers = deployment.routers.iter().map(|spec| RouterNode {
            vm: spec.vm,
            up: true,
            incarnation: 0,
            admission: build_admission(spec.vm, deployment),
            load_aggregator: build_aggregator(deployment),
            pacer: ReportPacer::new(),
            suspects: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            report_at: None,
            view: view.clone(),
            poll_at: None,
        });
        Self {
            routers: routers.collect(),
            calls: BTreeMap::new(),
            hints: BTreeMap::new(),
            partitioned: false,
            changes: 0,
        }
    }

    pub(super) fn node(&mut self, vm: VmId) -> &mut RouterNode {
        &mut self.routers[vm.0 as usize - 1]
    }

    /// Sends a datagram, which may be lost. A message to the router itself is received at once.
    pub(super) fn send(
        &mut self,
        simulator: &mut FleetSimulator,
        from: VmId,
        to: VmId,
        message: PeerMessage,
    ) {
        if from == to {
            self.receive(simulator, from, to, message);
            return;
        }
        simulator.metrics.record_sent(simulator.now, from.0 as usize - 1, message.wire_bytes());
        let lost = simulator.random.random::<f64>() < DATAGRAM_LOSS_RATE;
        if lost || self.is_partitioned(from, to) {
            return;
        }
        let delay = draw_link_micros(simulator, from, to);
        let at = ClockTime(simulator.now.0 + delay);
        simulator.schedule(at, FleetEvent::Deliver { from, to, message });
    }

    /// Whether a network partition separates two routers.
    pub(super) fn is_partitioned(&self, from: VmId, to: VmId) -> bool {
        self.partitioned && partition_side(from) != partition_side(to)
    }

    pub(super) fn receive(
        &mut self,
        simulator: &mut FleetSimulator,
        from: VmId,
        to: VmId,
        message: PeerMessage,
    ) {
        if !self.node(to).up {
            return;
        }
        let now = simulator.now;
        match message {
            PeerMessage::Ask(ask) => self.handle_ask_message(simulator, to, &ask),
            PeerMessage::Answer(answer, ceded) => {
                self.handle_answer_message(simulator, to, from, &answer, ceded)
            }
            PeerMessage::Release(release) => {
                self.node(to).admission.handle_release(now, &release);
                self.poll(simulator, to);
            }
            PeerMessage::Placement { chat, home, server } => {
                self.node(to).admission.record_placement(chat, home, server);
            }
            PeerMessage::Report(report) => {
                self.node(to).load_aggregator.record_report(now, from, &report);
                if report_mode(&simulator.deployment) == ReportMode::Broadcast {
                    self.apply_local_total(simulator, to, report.pool);
                }
            }
            PeerMessage::PoolLoad(load) => {
                self.node(to).admission.record_pool_load(now, &load);
                self.poll(simulator, to);
            }
            PeerMessage::Query(server) => self.handle_query(simulator, to, from, server),
            PeerMessage::Export(export) => {
                self.node(to).admission.import_grants(now, &export);
                self.poll(simulator, to);
            }
            PeerMessage::NotOwned(server) => self.node(to).admission.give_up_handover(now, server),
            PeerMessage::Audit(audit) => self.handle_audit(simulator, to, from, &audit),
            PeerMessage::AuditAnswer { server, closed } => {
                self.node(to).admission.close_audited(from, server, &closed);
                self.poll(simulator, to);
            }
        }
    }

    /// Records the incarnation that frames of the sender carry. A restart is detected from it
    /// before membership announces the restart; the grants and queued requests of the former
    /// incarnation are then removed.
    pub(super) fn record_incarnation(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        from: VmId,
    ) {
        let incarnation = self.node(from).incarnation;
        let node = self.node(vm);
        let known = node.incarnations.insert(from, incarnation).unwrap_or(0);
        if incarnation > known && from != vm {
            node.admission.drop_router(simulator.now, from);
        }
    }

    pub(super) fn handle_ask_message(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        ask: &GrantAsk,
    ) {
        self.record_incarnation(simulator, vm, ask.entry);
        let answer = self.node(vm).admission.handle_ask(simulator.now, ask);
        self.send_answer(simulator, vm, answer);
        self.poll(simulator, vm);
    }

    pub(super) fn send_answer(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        answer: GrantAnswer,
    ) {
        if matches!(answer.result, GrantResult::Granted { .. }) {
            let pool = simulator.deployment.servers[answer.server.0 as usize - 1].pools[0];
            let started = simulator.open_request(answer.request).is_some_and(|open| open.started);
            if !started {
                simulator.admit_request(answer.request, answer.server, pool);
            }
        }
        let ceded = self.node(vm).admission.ceded_to(answer.server);
        self.send(simulator, vm, answer.entry, PeerMessage::Answer(answer, ceded));
    }

    /// Sends the answers that are due and schedules the next poll.
    pub(super) fn poll(&mut self, simulator: &mut FleetSimulator, vm: VmId) {
        let now = simulator.now;
        for answer in self.node(vm).admission.poll(now) {
            self.send_answer(simulator, vm, answer);
        }
        if report_mode(&simulator.deployment) == ReportMode::Broadcast {
            self.schedule_broadcast(simulator, vm);
        }
        let node = self.node(vm);
        let due = node.admission.next_due(now).map(|due| due.max(ClockTime(now.0 + 1)));
        let Some(due) = due else {
            return;
        };
        if node.poll_at.is_none_or(|planned| planned <= now || due < planned) {
            node.poll_at = Some(due);
            simulator.schedule(due, FleetEvent::Poll(vm));
        }
    }

    /// Whether the router is up and has not restarted since `incarnation`.
    pub(super) fn is_current(&mut self, vm: VmId, incarnation: u64) -> bool {
        let node = self.node(vm);
        node.up && node.incarnation == incarnation
    }
}

impl PlacementStrategy for FleetStrategy {
    type Event = FleetEvent;

    fn start_run(&mut self, simulator: &mut FleetSimulator) {
        let vms: Vec<VmId> = self.routers.iter().map(|node| node.vm).collect();
        for vm in vms {
            let node = &mut self.routers[vm.0 as usize - 1];
            let owned = node.view.owned(&simulator.deployment, vm);
            for server in node.admission.set_owned(simulator.now, &owned).gained {
                node.admission.give_up_handover(simulator.now, server);
            }
            self.schedule_tasks(simulator, vm, 0);
        }
    }

    fn handle_arrival(&mut self, simulator: &mut FleetSimulator, request: &TraceRequest) {
        let live: Vec<VmId> =
            self.routers.iter().filter(|node| node.up).map(|node| node.vm).collect();
        let entry = live[simulator.random.random_range(0..live.len())];
        let ranked = self.node(entry).view.table(request.pool).rank(request.chat, RANK_LIMIT);
        let hint = self.hints.get(&request.chat).copied();
        let plan = PlacementPlan::new(request.chat, ranked, Vec::new(), hint);
        let plan = if request.returning { plan } else { plan.without_cached_prefix() };
        let first = plan.next_ask();
        let call = EntryCall {
            entry,
            trace: *request,
            plan,
            asked: None,
            send_count: 0,
            ask_count: 0,
            waiting: false,
            deadline: simulator.now.plus_millis(u64::from(request.deadline_millis)),
        };
        self.calls.insert(request.request, call);
        match first {
            Some(ask) => self.ask_owner(simulator, request.request, ask),
            None => self.refuse_call(simulator, request.request, RefusalReason::Overloaded),
        }
    }

    fn handle_event(&mut self, simulator: &mut FleetSimulator, event: FleetEvent) {
        match event {
            FleetEvent::Deliver { from, to, message } => self.receive(simulator, from, to, message),
            FleetEvent::Probe(vm, incarnation) if self.is_current(vm, incarnation) => {
                simulator.schedule(
                    simulator.now.plus_millis(PROBE_INTERVAL_MILLIS),
                    FleetEvent::Probe(vm, incarnation),
                );
                self.probe_servers(simulator, vm);
            }
            FleetEvent::Report(vm, incarnation) if self.is_current(vm, incarnation) => {
                let next = simulator.now.plus_millis(simulator.deployment.report_millis);
                simulator.schedule(next, FleetEvent::Report(vm, incarnation));
                self.report_loads(simulator, vm);
            }
            FleetEvent::Audit(vm, incarnation) if self.is_current(vm, incarnation) => {
                simulator.schedule(
                    simulator.now.plus_millis(AUDIT_INTERVAL_MILLIS),
                    FleetEvent::Audit(vm, incarnation),
                );
                self.audit_entries(simulator, vm);
            }
            FleetEvent::Probe(..) | FleetEvent::Report(..) | FleetEvent::Audit(..) => {}
            FleetEvent::Poll(vm) if self.node(vm).up => self.poll(simulator, vm),
            FleetEvent::BroadcastReport(vm) if self.node(vm).up => {
                self.broadcast_loads(simulator, vm)
            }
            FleetEvent::Poll(_) | FleetEvent::BroadcastReport(_) => {}
            FleetEvent::AskTimeout(request, ask_count) => {
                self.handle_ask_timeout(simulator, request, ask_count)
            }
            FleetEvent::QueryTimeout(vm, server, attempts) => {
                self.handle_query_timeout(simulator, vm, server, attempts);
            }
            FleetEvent::RepeatRelease(entry, owner, release) => {
                self.send(simulator, entry, owner, PeerMessage::Release(release));
            }
            FleetEvent::Suspect(vm, suspect) => self.handle_suspicion(simulator, vm, suspect),
            FleetEvent::ApplyChange(vm, numbered) => self.apply_change(simulator, vm, numbered),
        }
    }

    fn handle_finish(&mut self, simulator: &mut FleetSimulator, request: &OpenRequest) {
        self.end_call(simulator, request, ReleaseOutcome::Done);
    }

    fn handle_loss(&mut self, simulator: &mut FleetSimulator, request: &OpenRequest) {
        self.end_call(simulator, request, ReleaseOutcome::Crashed);
    }

    fn handle_fault(&mut self, simulator: &mut FleetSimulator, fault: Fault) {
        match fault {
            Fault::RouterCrash(router) => self.crash_router(simulator, router),
            Fault::RouterStart(router) => self.start_router(simulator, router),
            Fault::ServerStop(server) => {
                self.announce_change(simulator, VmId(0), ViewChange::ServerRemoved(server));
            }
            Fault::ServerStart(server) => {
                self.announce_change(simulator, VmId(0), ViewChange::ServerDeclared(server));
            }
            Fault::PartitionStart => self.set_partition(simulator, true),
            Fault::PartitionEnd => self.set_partition(simulator, false),
            Fault::ServerCrash(_) | Fault::ServerLeave(_) => {}
        }
    }
}

/// Draws the delay of a datagram between two routers, in microseconds.
fn draw_link_micros(simulator: &mut FleetSimulator, from: VmId, to: VmId) -> u64 {
    let routers = &simulator.deployment.routers;
    let same_domain = routers[from.0 as usize - 1].domain == routers[to.0 as usize - 1].domain;
    let mean = if same_domain {
        simulator.deployment.same_domain_micros
    } else {
        simulator.deployment.cross_domain_micros
    };
    simulator.random.random_range(mean / 2..=mean * 3 / 2)
}

pub(super) fn report_mode(deployment: &Deployment) -> ReportMode {
    ReportMode::for_routers(deployment.routers.len())
}

pub(super) fn build_aggregator(deployment: &Deployment) -> LoadAggregator {
    let mut load_aggregator = LoadAggregator::new();
    load_aggregator.set_mode(report_mode(deployment));
    load_aggregator
}

pub(super) fn build_admission(vm: VmId, deployment: &Deployment) -> AdmissionOwner {
    let mut admission = AdmissionOwner::new(vm);
    admission.set_rules(deployment.rules.clone());
    admission
}

/// Side of a network partition on which a router is.
pub(super) fn partition_side(vm: VmId) -> u64 {
    hash_parts(&[&vm.0.to_le_bytes()]) % 2
}

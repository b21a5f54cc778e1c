//! The routers under test: the production decisions joined by datagrams with delay and loss.

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
use super::stage::{OpenRequest, PlacementWay, Stage};
use super::trace::TraceRequest;
use super::view::{NumberedChange, RouterView, ViewChange};

/// Share of datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.001;
/// Intervals of the routers' own work, in milliseconds.
pub(super) const PROBE_MILLIS: u64 = 1_000;
pub(super) const AUDIT_MILLIS: u64 = 2_000;
/// Servers of a chat's ranking that a plan considers.
const RANK_LIMIT: usize = 5;

pub(super) type FleetStage = Stage<FleetEvent>;

/// Events of the routers.
#[derive(Debug, Clone)]
pub enum FleetEvent {
    Deliver { from: VmId, to: VmId, message: PeerMessage },
    Probe(VmId, u64),
    Report(VmId, u64),
    Audit(VmId, u64),
    Poll(VmId),
    PromptReport(VmId),
    AskTimeout(RequestId, u32),
    QueryTimeout(VmId, ServerId, u32),
    RepeatRelease(VmId, VmId, GrantRelease),
    Suspect(VmId, VmId),
    Learn(VmId, NumberedChange),
}

/// All routers.
pub struct FleetWay {
    pub(super) routers: Vec<RouterNode>,
    pub(super) calls: BTreeMap<RequestId, EntryCall>,
    pub(super) hints: BTreeMap<ChatId, ServerId>,
    pub(super) split: bool,
    pub(super) changes: u64,
}

pub(super) struct RouterNode {
    pub(super) vm: VmId,
    pub(super) up: bool,
    pub(super) life: u64,
    pub(super) book: AdmissionOwner,
    pub(super) sums: LoadAggregator,
    pub(super) pacer: ReportPacer,
    pub(super) suspects: BTreeSet<VmId>,
    pub(super) lives: BTreeMap<VmId, u64>,
    pub(super) report_at: Option<ClockTime>,
    pub(super) view: RouterView,
    pub(super) poll_at: Option<ClockTime>,
}

impl FleetWay {
    pub fn new(deployment: &Deployment) -> Self {
        let view = RouterView::new(deployment);
        let routers = deployment.routers.iter().map(|spec| RouterNode {
            vm: spec.vm,
            up: true,
            life: 0,
            book: new_book(spec.vm, deployment),
            sums: new_sums(deployment),
            pacer: ReportPacer::new(),
            suspects: BTreeSet::new(),
            lives: BTreeMap::new(),
            report_at: None,
            view: view.clone(),
            poll_at: None,
        });
        Self {
            routers: routers.collect(),
            calls: BTreeMap::new(),
            hints: BTreeMap::new(),
            split: false,
            changes: 0,
        }
    }

    pub(super) fn node(&mut self, vm: VmId) -> &mut RouterNode {
        &mut self.routers[vm.0 as usize - 1]
    }

    pub(super) fn send(
        &mut self,
        stage: &mut FleetStage,
        from: VmId,
        to: VmId,
        message: PeerMessage,
    ) {
        if from == to {
            self.receive(stage, from, to, message);
            return;
        }
        stage.measures.note_sent(stage.now, from.0 as usize - 1, message.wire_bytes());
        let lost = stage.random.random::<f64>() < DATAGRAM_LOSS;
        if lost || self.is_cut(from, to) {
            return;
        }
        let delay = link_micros(stage, from, to);
        let at = ClockTime(stage.now.0 + delay);
        stage.schedule(at, FleetEvent::Deliver { from, to, message });
    }

    /// Whether a split of the network lies between two routers.
    pub(super) fn is_cut(&self, from: VmId, to: VmId) -> bool {
        self.split && split_side(from) != split_side(to)
    }

    pub(super) fn receive(
        &mut self,
        stage: &mut FleetStage,
        from: VmId,
        to: VmId,
        message: PeerMessage,
    ) {
        if !self.node(to).up {
            return;
        }
        let now = stage.now;
        match message {
            PeerMessage::Ask(ask) => self.take_ask(stage, to, &ask),
            PeerMessage::Answer(answer, ceded) => self.take_answer(stage, to, from, &answer, ceded),
            PeerMessage::Release(release) => {
                self.node(to).book.handle_release(now, &release);
                self.poll(stage, to);
            }
            PeerMessage::Placement { chat, home, server } => {
                self.node(to).book.record_placement(chat, home, server);
            }
            PeerMessage::Report(report) => {
                self.node(to).sums.record_report(now, from, &report);
                if report_mode(&stage.deployment) == ReportMode::Broadcast {
                    self.take_own_sum(stage, to, report.pool);
                }
            }
            PeerMessage::Sum(load) => {
                self.node(to).book.record_pool_load(now, &load);
                self.poll(stage, to);
            }
            PeerMessage::Query(server) => self.take_query(stage, to, from, server),
            PeerMessage::Export(export) => {
                self.node(to).book.import_grants(now, &export);
                self.poll(stage, to);
            }
            PeerMessage::NotOwned(server) => self.node(to).book.give_up_handover(now, server),
            PeerMessage::Audit(audit) => self.take_audit(stage, to, from, &audit),
            PeerMessage::AuditAnswer { server, closed } => {
                self.node(to).book.close_audited(from, server, &closed);
                self.poll(stage, to);
            }
        }
    }

    /// Frames carry the sender's life, so that a restart shows before it is announced.
    pub(super) fn note_life(&mut self, stage: &mut FleetStage, vm: VmId, from: VmId) {
        let life = self.node(from).life;
        let node = self.node(vm);
        let known = node.lives.insert(from, life).unwrap_or(0);
        if life > known && from != vm {
            node.book.drop_router(stage.now, from);
        }
    }

    pub(super) fn take_ask(&mut self, stage: &mut FleetStage, vm: VmId, ask: &GrantAsk) {
        self.note_life(stage, vm, ask.entry);
        let answer = self.node(vm).book.handle_ask(stage.now, ask);
        self.tell_answer(stage, vm, answer);
        self.poll(stage, vm);
    }

    pub(super) fn tell_answer(&mut self, stage: &mut FleetStage, vm: VmId, answer: GrantAnswer) {
        if matches!(answer.result, GrantResult::Granted { .. }) {
            let pool = stage.deployment.servers[answer.server.0 as usize - 1].pools[0];
            let begun = stage.open_request(answer.request).is_some_and(|open| open.begun);
            if !begun {
                stage.admit(answer.request, answer.server, pool);
            }
        }
        let ceded = self.node(vm).book.ceded_to(answer.server);
        self.send(stage, vm, answer.entry, PeerMessage::Answer(answer, ceded));
    }

    pub(super) fn poll(&mut self, stage: &mut FleetStage, vm: VmId) {
        let now = stage.now;
        for answer in self.node(vm).book.poll(now) {
            self.tell_answer(stage, vm, answer);
        }
        if report_mode(&stage.deployment) == ReportMode::Broadcast {
            self.note_change(stage, vm);
        }
        let node = self.node(vm);
        let due = node.book.next_due(now).map(|due| due.max(ClockTime(now.0 + 1)));
        let Some(due) = due else {
            return;
        };
        if node.poll_at.is_none_or(|planned| planned <= now || due < planned) {
            node.poll_at = Some(due);
            stage.schedule(due, FleetEvent::Poll(vm));
        }
    }

    pub(super) fn is_current(&mut self, vm: VmId, life: u64) -> bool {
        let node = self.node(vm);
        node.up && node.life == life
    }
}

impl PlacementWay for FleetWay {
    type Event = FleetEvent;

    fn begin(&mut self, stage: &mut FleetStage) {
        let vms: Vec<VmId> = self.routers.iter().map(|node| node.vm).collect();
        for vm in vms {
            let node = &mut self.routers[vm.0 as usize - 1];
            let owned = node.view.owned(&stage.deployment, vm);
            for server in node.book.set_owned(stage.now, &owned).gained {
                node.book.give_up_handover(stage.now, server);
            }
            self.start_ticks(stage, vm, 0);
        }
    }

    fn arrive(&mut self, stage: &mut FleetStage, request: &TraceRequest) {
        let live: Vec<VmId> =
            self.routers.iter().filter(|node| node.up).map(|node| node.vm).collect();
        let entry = live[stage.random.random_range(0..live.len())];
        let ranked = self.node(entry).view.table(request.pool).rank(request.chat, RANK_LIMIT);
        let hint = self.hints.get(&request.chat).copied();
        let plan = PlacementPlan::new(request.chat, ranked, Vec::new(), hint);
        let plan = if request.returning { plan } else { plan.without_history() };
        let first = plan.next_ask();
        let call = EntryCall {
            entry,
            trace: *request,
            plan,
            asked: None,
            sends: 0,
            asks: 0,
            waiting: false,
            deadline: stage.now.plus_millis(u64::from(request.deadline_millis)),
        };
        self.calls.insert(request.request, call);
        match first {
            Some(ask) => self.ask_owner(stage, request.request, ask),
            None => self.give_up(stage, request.request, RefusalReason::Overloaded),
        }
    }

    fn handle(&mut self, stage: &mut FleetStage, event: FleetEvent) {
        match event {
            FleetEvent::Deliver { from, to, message } => self.receive(stage, from, to, message),
            FleetEvent::Probe(vm, life) if self.is_current(vm, life) => {
                stage.schedule(stage.now.plus_millis(PROBE_MILLIS), FleetEvent::Probe(vm, life));
                self.probe_servers(stage, vm);
            }
            FleetEvent::Report(vm, life) if self.is_current(vm, life) => {
                let next = stage.now.plus_millis(stage.deployment.report_millis);
                stage.schedule(next, FleetEvent::Report(vm, life));
                self.report_loads(stage, vm);
            }
            FleetEvent::Audit(vm, life) if self.is_current(vm, life) => {
                stage.schedule(stage.now.plus_millis(AUDIT_MILLIS), FleetEvent::Audit(vm, life));
                self.audit_entries(stage, vm);
            }
            FleetEvent::Probe(..) | FleetEvent::Report(..) | FleetEvent::Audit(..) => {}
            FleetEvent::Poll(vm) if self.node(vm).up => self.poll(stage, vm),
            FleetEvent::PromptReport(vm) if self.node(vm).up => self.report_promptly(stage, vm),
            FleetEvent::Poll(_) | FleetEvent::PromptReport(_) => {}
            FleetEvent::AskTimeout(request, asks) => self.time_out_ask(stage, request, asks),
            FleetEvent::QueryTimeout(vm, server, tries) => {
                self.time_out_query(stage, vm, server, tries);
            }
            FleetEvent::RepeatRelease(entry, owner, release) => {
                self.send(stage, entry, owner, PeerMessage::Release(release));
            }
            FleetEvent::Suspect(vm, suspect) => self.suspect(stage, vm, suspect),
            FleetEvent::Learn(vm, numbered) => self.learn(stage, vm, numbered),
        }
    }

    fn finish(&mut self, stage: &mut FleetStage, request: &OpenRequest) {
        self.end_call(stage, request, ReleaseOutcome::Done);
    }

    fn lose(&mut self, stage: &mut FleetStage, request: &OpenRequest) {
        self.end_call(stage, request, ReleaseOutcome::Crashed);
    }

    fn fault(&mut self, stage: &mut FleetStage, fault: Fault) {
        match fault {
            Fault::RouterCrash(router) => self.crash_router(stage, router),
            Fault::RouterStart(router) => self.start_router(stage, router),
            Fault::ServerStop(server) => {
                self.tell_all(stage, VmId(0), ViewChange::ServerUnlisted(server));
            }
            Fault::ServerStart(server) => {
                self.tell_all(stage, VmId(0), ViewChange::ServerListed(server));
            }
            Fault::SplitStart => self.set_split(stage, true),
            Fault::SplitEnd => self.set_split(stage, false),
            Fault::ServerCrash(_) | Fault::ServerLeave(_) => {}
        }
    }
}

/// Time of a datagram between two routers, in microseconds.
fn link_micros(stage: &mut FleetStage, from: VmId, to: VmId) -> u64 {
    let routers = &stage.deployment.routers;
    let near = routers[from.0 as usize - 1].domain == routers[to.0 as usize - 1].domain;
    let mean = if near { stage.deployment.near_micros } else { stage.deployment.far_micros };
    stage.random.random_range(mean / 2..=mean * 3 / 2)
}

pub(super) fn report_mode(deployment: &Deployment) -> ReportMode {
    ReportMode::for_routers(deployment.routers.len())
}

pub(super) fn new_sums(deployment: &Deployment) -> LoadAggregator {
    let mut sums = LoadAggregator::new();
    sums.set_mode(report_mode(deployment));
    sums
}

pub(super) fn new_book(vm: VmId, deployment: &Deployment) -> AdmissionOwner {
    let mut book = AdmissionOwner::new(vm);
    book.set_rules(deployment.rules.clone());
    book
}

/// Side of a router in a split network.
pub(super) fn split_side(vm: VmId) -> u64 {
    hash_parts(&[&vm.0.to_le_bytes()]) % 2
}

//! Routers that come, go and disagree, and servers that change owners with them.

use catkin_base::{RequestId, ServerId, VmId};
use catkin_policy::{GrantExport, OwnerPhase, ReportPacer};
use rand::Rng;

use super::fleet::{
    AUDIT_MILLIS, FleetEvent, FleetStage, FleetWay, PROBE_MILLIS, new_book, new_sums, split_side,
};
use super::message::PeerMessage;
use super::view::{NumberedChange, RouterView, ViewChange};

const QUERY_TIMEOUT_MILLIS: u64 = 200;
const MAX_QUERIES: u32 = 10;
/// Bounds of the time until a router suspects one that is gone, in milliseconds.
const SUSPECT_MILLIS: std::ops::Range<u64> = 200..1_000;
/// Bounds of the time until a router learns of a change, in milliseconds.
const LEARN_MILLIS: std::ops::Range<u64> = 500..4_000;

impl FleetWay {
    pub(super) fn learn(&mut self, stage: &mut FleetStage, vm: VmId, numbered: NumberedChange) {
        let node = &mut self.routers[vm.0 as usize - 1];
        if let ViewChange::RouterDown(router) = numbered.change {
            let known = node.lives.get(&VmId(router as u64 + 1)).copied().unwrap_or(0);
            if known > numbered.life {
                return;
            }
        }
        if !node.up || !node.view.apply_numbered(&stage.deployment, numbered) {
            return;
        }
        let change = numbered.change;
        if let ViewChange::RouterDown(router) | ViewChange::RouterUp(router) = change {
            node.suspects.remove(&VmId(router as u64 + 1));
            node.book.set_suspects(node.suspects.clone());
        }
        if let ViewChange::RouterDown(router) = change {
            node.book.drop_router(stage.now, VmId(router as u64 + 1));
        }
        if matches!(change, ViewChange::RouterDown(_) | ViewChange::RouterUp(_)) {
            self.take_servers(stage, vm);
        }
    }

    pub(super) fn suspect(&mut self, stage: &mut FleetStage, vm: VmId, suspect: VmId) {
        let node = self.node(vm);
        if node.up && node.view.is_alive(suspect) {
            node.suspects.insert(suspect);
            node.book.set_suspects(node.suspects.clone());
            self.poll(stage, vm);
        }
    }

    pub(super) fn take_servers(&mut self, stage: &mut FleetStage, vm: VmId) {
        let now = stage.now;
        let node = &mut self.routers[vm.0 as usize - 1];
        let owned = node.view.owned(&stage.deployment, vm);
        let change = node.book.set_owned(now, &owned);
        for export in change.lost {
            self.hand_over(stage, vm, export);
        }
        for server in change.gained {
            self.query_former(stage, vm, server, 0);
        }
        self.poll(stage, vm);
    }

    pub(super) fn hand_over(&mut self, stage: &mut FleetStage, vm: VmId, export: GrantExport) {
        let owner = self.node(vm).view.owner(export.server);
        if let Some(owner) = owner.filter(|owner| *owner != vm) {
            self.send(stage, vm, owner, PeerMessage::Export(export));
        }
    }

    pub(super) fn query_former(
        &mut self,
        stage: &mut FleetStage,
        vm: VmId,
        server: ServerId,
        tries: u32,
    ) {
        let node = &mut self.routers[vm.0 as usize - 1];
        let former = node.view.former_owner(&stage.deployment, server, vm);
        let Some(former) = former.filter(|_| tries < MAX_QUERIES) else {
            return node.book.give_up_handover(stage.now, server);
        };
        let timeout = stage.now.plus_millis(QUERY_TIMEOUT_MILLIS);
        stage.schedule(timeout, FleetEvent::QueryTimeout(vm, server, tries + 1));
        self.send(stage, vm, former, PeerMessage::Query(server));
    }

    pub(super) fn time_out_query(
        &mut self,
        stage: &mut FleetStage,
        vm: VmId,
        server: ServerId,
        tries: u32,
    ) {
        let node = &self.routers[vm.0 as usize - 1];
        let states = node.book.server_states(stage.now);
        let open = states.iter().find(|state| state.server == server);
        let pending = open.is_some_and(|state| state.phase == OwnerPhase::Handover);
        if node.up && pending {
            self.query_former(stage, vm, server, tries);
        }
    }

    pub(super) fn take_query(
        &mut self,
        stage: &mut FleetStage,
        vm: VmId,
        from: VmId,
        server: ServerId,
    ) {
        let export = self.node(vm).book.cede(stage.now, server, from);
        let answer = export.map_or(PeerMessage::NotOwned(server), PeerMessage::Export);
        self.send(stage, vm, from, answer);
        self.poll(stage, vm);
    }

    pub(super) fn crash_router(&mut self, stage: &mut FleetStage, router: usize) {
        let vm = VmId(router as u64 + 1);
        let node = self.node(vm);
        node.up = false;
        self.tell_all(stage, vm, ViewChange::RouterDown(router));
        self.node(vm).life += 1;
        self.suspect_everywhere(stage, vm);
        let lost: Vec<RequestId> =
            self.calls.iter().filter(|(_, call)| call.entry == vm).map(|(id, _)| *id).collect();
        for request in lost {
            let asked = self.calls.remove(&request).and_then(|call| call.asked);
            stage.drop_request(request);
            if let Some(asked) = asked {
                stage.withdraw(request, asked.ask.server);
            }
        }
    }

    pub(super) fn start_router(&mut self, stage: &mut FleetStage, router: usize) {
        let vm = VmId(router as u64 + 1);
        let up: Vec<bool> = self.routers.iter().map(|node| node.up).collect();
        let mut view = RouterView::new(&stage.deployment);
        for (other, _) in up.iter().enumerate().filter(|(other, up)| !**up && *other != router) {
            view.apply(&stage.deployment, ViewChange::RouterDown(other));
        }
        let book = new_book(vm, &stage.deployment);
        let sums = new_sums(&stage.deployment);
        let node = self.node(vm);
        node.up = true;
        node.book = book;
        node.sums = sums;
        node.pacer = ReportPacer::new();
        node.report_at = None;
        node.view = view;
        node.poll_at = None;
        let life = node.life;
        self.tell_all(stage, vm, ViewChange::RouterUp(router));
        self.take_servers(stage, vm);
        self.start_ticks(stage, vm, life);
    }

    pub(super) fn start_ticks(&mut self, stage: &mut FleetStage, vm: VmId, life: u64) {
        let probe = stage.random.random_range(0..PROBE_MILLIS);
        let report = stage.random.random_range(0..stage.deployment.report_millis);
        let audit = stage.random.random_range(0..AUDIT_MILLIS);
        stage.schedule(stage.now.plus_millis(probe), FleetEvent::Probe(vm, life));
        stage.schedule(stage.now.plus_millis(report), FleetEvent::Report(vm, life));
        stage.schedule(stage.now.plus_millis(audit), FleetEvent::Audit(vm, life));
    }

    pub(super) fn suspect_everywhere(&mut self, stage: &mut FleetStage, suspect: VmId) {
        let others: Vec<VmId> =
            self.routers.iter().map(|node| node.vm).filter(|vm| *vm != suspect).collect();
        for vm in others {
            let delay = stage.random.random_range(SUSPECT_MILLIS);
            stage.schedule(stage.now.plus_millis(delay), FleetEvent::Suspect(vm, suspect));
        }
    }

    /// Tells every other router of a change, each after its own delay.
    pub(super) fn tell_all(&mut self, stage: &mut FleetStage, about: VmId, change: ViewChange) {
        let others: Vec<VmId> =
            self.routers.iter().map(|node| node.vm).filter(|vm| *vm != about).collect();
        self.changes += 1;
        let life = self.routers.iter().find(|node| node.vm == about).map_or(0, |node| node.life);
        let numbered = NumberedChange { number: self.changes, life, change };
        for vm in others {
            let delay = stage.random.random_range(LEARN_MILLIS);
            stage.schedule(stage.now.plus_millis(delay), FleetEvent::Learn(vm, numbered));
        }
    }

    pub(super) fn set_split(&mut self, stage: &mut FleetStage, split: bool) {
        self.split = split;
        self.changes += 1;
        let number = self.changes;
        let vms: Vec<VmId> = self.routers.iter().map(|node| node.vm).collect();
        for vm in &vms {
            for other in vms.iter().filter(|other| split_side(**other) != split_side(*vm)) {
                let index = other.0 as usize - 1;
                let change =
                    if split { ViewChange::RouterDown(index) } else { ViewChange::RouterUp(index) };
                let delay = stage.random.random_range(LEARN_MILLIS);
                let numbered = NumberedChange { number, life: u64::MAX, change };
                stage.schedule(stage.now.plus_millis(delay), FleetEvent::Learn(*vm, numbered));
            }
        }
    }
}

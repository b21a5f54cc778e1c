//! Starts, crashes and partitions of routers, and the changes of owners that follow.

use catkin_base::{RequestId, ServerId, VmId};
use catkin_policy::{GrantExport, OwnerPhase, ReportPacer};
use rand::Rng;

use super::fleet::{
    AUDIT_INTERVAL_MILLIS, FleetEvent, FleetSimulator, FleetStrategy, PROBE_INTERVAL_MILLIS,
    build_admission, build_aggregator, partition_side,
};
use super::message::PeerMessage;
use super::view::{NumberedChange, RouterView, ViewChange};

/// Time after which a query for the grants of a former owner is repeated.
const QUERY_TIMEOUT_MILLIS: u64 = 200;
/// Maximum number of queries before the handover is given up.
const MAX_QUERIES: u32 = 10;
/// Range of the time after which a router suspects one that crashed.
const SUSPECT_DELAY_MILLIS: std::ops::Range<u64> = 200..1_000;
/// Range of the time after which a router learns of a change.
const LEARN_DELAY_MILLIS: std::ops::Range<u64> = 500..4_000;

impl FleetStrategy {
    /// Applies a change of the membership or of the declared servers to the view of a router.
    pub(super) fn apply_change(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        numbered: NumberedChange,
    ) {
        let node = &mut self.routers[vm.0 as usize - 1];
        if let ViewChange::RouterDown(router) = numbered.change {
            let known = node.incarnations.get(&VmId(router as u64 + 1)).copied().unwrap_or(0);
            if known > numbered.incarnation {
                return;
            }
        }
        if !node.up || !node.view.apply_numbered(&simulator.deployment, numbered) {
            return;
        }
        let change = numbered.change;
        if let ViewChange::RouterDown(router) | ViewChange::RouterUp(router) = change {
            node.suspects.remove(&VmId(router as u64 + 1));
            node.admission.set_suspects(node.suspects.clone());
        }
        if let ViewChange::RouterDown(router) = change {
            node.admission.drop_router(simulator.now, VmId(router as u64 + 1));
        }
        if matches!(change, ViewChange::RouterDown(_) | ViewChange::RouterUp(_)) {
            self.update_owned(simulator, vm);
        }
    }

    pub(super) fn handle_suspicion(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        suspect: VmId,
    ) {
        let node = self.node(vm);
        if node.up && node.view.is_alive(suspect) {
            node.suspects.insert(suspect);
            node.admission.set_suspects(node.suspects.clone());
            self.poll(simulator, vm);
        }
    }

    /// Applies a new view of ownership: hands over servers lost and queries the former owners of
    /// those gained.
    pub(super) fn update_owned(&mut self, simulator: &mut FleetSimulator, vm: VmId) {
        let now = simulator.now;
        let node = &mut self.routers[vm.0 as usize - 1];
        let owned = node.view.owned(&simulator.deployment, vm);
        let change = node.admission.set_owned(now, &owned);
        for export in change.lost {
            self.send_export(simulator, vm, export);
        }
        for server in change.gained {
            self.query_former_owner(simulator, vm, server, 0);
        }
        self.poll(simulator, vm);
    }

    pub(super) fn send_export(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        export: GrantExport,
    ) {
        let owner = self.node(vm).view.owner(export.server);
        if let Some(owner) = owner.filter(|owner| *owner != vm) {
            self.send(simulator, vm, owner, PeerMessage::Export(export));
        }
    }

    /// Queries the former owner of a server for its grants, or gives up after `MAX_QUERIES`
    /// attempts.
    pub(super) fn query_former_owner(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        server: ServerId,
        attempts: u32,
    ) {
        let node = &mut self.routers[vm.0 as usize - 1];
        let former = node.view.former_owner(&simulator.deployment, server, vm);
        let Some(former) = former.filter(|_| attempts < MAX_QUERIES) else {
            return node.admission.give_up_handover(simulator.now, server);
        };
        let timeout = simulator.now.plus_millis(QUERY_TIMEOUT_MILLIS);
        simulator.schedule(timeout, FleetEvent::QueryTimeout(vm, server, attempts + 1));
        self.send(simulator, vm, former, PeerMessage::Query(server));
    }

    pub(super) fn handle_query_timeout(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        server: ServerId,
        attempts: u32,
    ) {
        let node = &self.routers[vm.0 as usize - 1];
        let states = node.admission.server_states(simulator.now);
        let open = states.iter().find(|state| state.server == server);
        let pending = open.is_some_and(|state| state.phase == OwnerPhase::Handover);
        if node.up && pending {
            self.query_former_owner(simulator, vm, server, attempts);
        }
    }

    /// Cedes a server to the router that queries it, if it is owned here.
    pub(super) fn handle_query(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        from: VmId,
        server: ServerId,
    ) {
        let export = self.node(vm).admission.cede(simulator.now, server, from);
        let answer = export.map_or(PeerMessage::NotOwned(server), PeerMessage::Export);
        self.send(simulator, vm, from, answer);
        self.poll(simulator, vm);
    }

    pub(super) fn crash_router(&mut self, simulator: &mut FleetSimulator, router: usize) {
        let vm = VmId(router as u64 + 1);
        let node = self.node(vm);
        node.up = false;
        self.announce_change(simulator, vm, ViewChange::RouterDown(router));
        self.node(vm).incarnation += 1;
        self.schedule_suspicions(simulator, vm);
        let lost: Vec<RequestId> =
            self.calls.iter().filter(|(_, call)| call.entry == vm).map(|(id, _)| *id).collect();
        for request in lost {
            let asked = self.calls.remove(&request).and_then(|call| call.asked);
            simulator.drop_request(request);
            if let Some(asked) = asked {
                simulator.withdraw_request(request, asked.ask.server);
            }
        }
    }

    pub(super) fn start_router(&mut self, simulator: &mut FleetSimulator, router: usize) {
        let vm = VmId(router as u64 + 1);
        let up: Vec<bool> = self.routers.iter().map(|node| node.up).collect();
        let mut view = RouterView::new(&simulator.deployment);
        for (other, _) in up.iter().enumerate().filter(|(other, up)| !**up && *other != router) {
            view.apply(&simulator.deployment, ViewChange::RouterDown(other));
        }
        let admission = build_admission(vm, &simulator.deployment);
        let load_aggregator = build_aggregator(&simulator.deployment);
        let node = self.node(vm);
        node.up = true;
        node.admission = admission;
        node.load_aggregator = load_aggregator;
        node.pacer = ReportPacer::new();
        node.report_at = None;
        node.view = view;
        node.poll_at = None;
        let incarnation = node.incarnation;
        self.announce_change(simulator, vm, ViewChange::RouterUp(router));
        self.update_owned(simulator, vm);
        self.schedule_tasks(simulator, vm, incarnation);
    }

    /// Schedules the periodic tasks of a router at random offsets.
    pub(super) fn schedule_tasks(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        incarnation: u64,
    ) {
        let probe = simulator.random.random_range(0..PROBE_INTERVAL_MILLIS);
        let report = simulator.random.random_range(0..simulator.deployment.report_millis);
        let audit = simulator.random.random_range(0..AUDIT_INTERVAL_MILLIS);
        simulator.schedule(simulator.now.plus_millis(probe), FleetEvent::Probe(vm, incarnation));
        simulator.schedule(simulator.now.plus_millis(report), FleetEvent::Report(vm, incarnation));
        simulator.schedule(simulator.now.plus_millis(audit), FleetEvent::Audit(vm, incarnation));
    }

    pub(super) fn schedule_suspicions(&mut self, simulator: &mut FleetSimulator, suspect: VmId) {
        let others: Vec<VmId> =
            self.routers.iter().map(|node| node.vm).filter(|vm| *vm != suspect).collect();
        for vm in others {
            let delay = simulator.random.random_range(SUSPECT_DELAY_MILLIS);
            simulator.schedule(simulator.now.plus_millis(delay), FleetEvent::Suspect(vm, suspect));
        }
    }

    /// Announces a change to all routers but the one on `about`, each after a random delay.
    pub(super) fn announce_change(
        &mut self,
        simulator: &mut FleetSimulator,
        about: VmId,
        change: ViewChange,
    ) {
        let others: Vec<VmId> =
            self.routers.iter().map(|node| node.vm).filter(|vm| *vm != about).collect();
        self.changes += 1;
        let incarnation =
            self.routers.iter().find(|node| node.vm == about).map_or(0, |node| node.incarnation);
        let numbered = NumberedChange { number: self.changes, incarnation, change };
        for vm in others {
            let delay = simulator.random.random_range(LEARN_DELAY_MILLIS);
            simulator
                .schedule(simulator.now.plus_millis(delay), FleetEvent::ApplyChange(vm, numbered));
        }
    }

    /// Starts or ends a network partition. Each router learns after a random delay that the routers
    /// of the other side are down, or up again.
    pub(super) fn set_partition(&mut self, simulator: &mut FleetSimulator, partitioned: bool) {
        self.partitioned = partitioned;
        self.changes += 1;
        let number = self.changes;
        let vms: Vec<VmId> = self.routers.iter().map(|node| node.vm).collect();
        for vm in &vms {
            for other in vms.iter().filter(|other| partition_side(**other) != partition_side(*vm)) {
                let index = other.0 as usize - 1;
                let change = if partitioned {
                    ViewChange::RouterDown(index)
                } else {
                    ViewChange::RouterUp(index)
                };
                let delay = simulator.random.random_range(LEARN_DELAY_MILLIS);
                let numbered = NumberedChange { number, incarnation: u64::MAX, change };
                simulator.schedule(
                    simulator.now.plus_millis(delay),
                    FleetEvent::ApplyChange(*vm, numbered),
                );
            }
        }
    }
}

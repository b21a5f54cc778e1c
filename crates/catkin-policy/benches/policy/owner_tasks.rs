//! Periodic tasks of owners: probes, load reports and audits.

use catkin_base::{ClockTime, PoolId, RequestId, ServerId, VmId};
use catkin_policy::{GrantAudit, ReportMode, choose_aggregator};
use rand::Rng;

use super::fleet::{FleetEvent, FleetSimulator, FleetStrategy, RouterNode, report_mode};
use super::message::PeerMessage;

/// Bytes that a router sends per second for membership, and per probe of a server.
const MEMBERSHIP_BYTES: u64 = 400;
const PROBE_BYTES: u64 = 250;

impl FleetStrategy {
    /// Probes each server that the router owns and applies the reports.
    pub(super) fn probe_servers(&mut self, simulator: &mut FleetSimulator, vm: VmId) {
        let now = simulator.now;
        let loss = simulator.scenario.event_loss_rate();
        let owned = list_owned_servers(self.node(vm), now);
        let bytes = owned.len() as u64 * PROBE_BYTES + MEMBERSHIP_BYTES;
        simulator.metrics.record_sent(now, vm.0 as usize - 1, bytes);
        for server in owned {
            let node = &mut self.routers[vm.0 as usize - 1];
            if !simulator.server_set.server(server).up {
                node.admission.record_probe_failure(now, server);
                continue;
            }
            let after = node.admission.last_event(server);
            let random = &mut simulator.random;
            let report = simulator
                .server_set
                .server(server)
                .report_since(after, || random.random::<f64>() >= loss);
            node.admission.record_probe(now, server, &report);
        }
        self.poll(simulator, vm);
    }

    /// Schedules a broadcast of the loads, unless one is scheduled already.
    pub(super) fn schedule_broadcast(&mut self, simulator: &mut FleetSimulator, vm: VmId) {
        let now = simulator.now;
        let node = self.node(vm);
        let due = node.pacer.next_due(now).max(ClockTime(now.0 + 1));
        if node.report_at.is_none_or(|planned| planned <= now) {
            node.report_at = Some(due);
            simulator.schedule(due, FleetEvent::BroadcastReport(vm));
        }
    }

    /// Applies the total load of a pool that the router computed from the reports it received.
    pub(super) fn apply_local_total(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        pool: PoolId,
    ) {
        let now = simulator.now;
        let node = self.node(vm);
        if let Some(load) = node.load_aggregator.aggregate_load(now, pool) {
            node.admission.record_pool_load(now, &load);
        }
        self.poll(simulator, vm);
    }

    /// Sends the loads that are due to all routers.
    pub(super) fn broadcast_loads(&mut self, simulator: &mut FleetSimulator, vm: VmId) {
        let now = simulator.now;
        let node = self.node(vm);
        let reports = node.pacer.take_due(now, node.admission.load_reports(now));
        let all: Vec<VmId> = self.routers.iter().map(|node| node.vm).collect();
        for report in reports {
            self.node(vm).load_aggregator.record_report(now, vm, &report);
            for other in all.iter().filter(|other| **other != vm) {
                self.send(simulator, vm, *other, PeerMessage::Report(report.clone()));
            }
            self.apply_local_total(simulator, vm, report.pool);
        }
    }

    /// Reports all loads: a broadcast in a small fleet, otherwise through the aggregator of each
    /// pool.
    pub(super) fn report_loads(&mut self, simulator: &mut FleetSimulator, vm: VmId) {
        if report_mode(&simulator.deployment) == ReportMode::Broadcast {
            self.broadcast_loads(simulator, vm);
            for pool in 0..simulator.deployment.pools {
                self.apply_local_total(simulator, vm, PoolId(pool as u64));
            }
            return;
        }
        let now = simulator.now;
        let routers = self.node(vm).view.routers(&simulator.deployment);
        for report in self.node(vm).admission.load_reports(now) {
            if let Some(aggregator) = choose_aggregator(report.pool, &routers) {
                self.send(simulator, vm, aggregator, PeerMessage::Report(report));
            }
        }
        let pools: Vec<PoolId> = self.node(vm).load_aggregator.pools().collect();
        for pool in pools {
            let reporters = self.node(vm).load_aggregator.reporters(pool);
            let Some(load) = self.node(vm).load_aggregator.aggregate_load(now, pool) else {
                continue;
            };
            for reporter in reporters {
                self.send(simulator, vm, reporter, PeerMessage::PoolLoad(load.clone()));
            }
        }
    }

    /// Queries each entry router for which of its grants are still open.
    pub(super) fn audit_entries(&mut self, simulator: &mut FleetSimulator, vm: VmId) {
        let entries: Vec<VmId> = simulator.deployment.routers.iter().map(|spec| spec.vm).collect();
        for entry in entries {
            for audit in self.node(vm).admission.audit_grants(simulator.now, entry) {
                self.send(simulator, vm, entry, PeerMessage::Audit(audit));
            }
        }
    }

    /// Answers an audit with the requests that are no longer open here.
    pub(super) fn handle_audit(
        &mut self,
        simulator: &mut FleetSimulator,
        vm: VmId,
        from: VmId,
        audit: &GrantAudit,
    ) {
        let is_open = |request: &RequestId| {
            let call = self.calls.get(request).filter(|call| call.entry == vm);
            call.is_some_and(|call| {
                call.asked.is_some_and(|asked| asked.ask.server == audit.server)
            })
        };
        let closed: Vec<RequestId> =
            audit.requests.iter().copied().filter(|request| !is_open(request)).collect();
        if closed.is_empty() {
            return;
        }
        for request in &closed {
            simulator.withdraw_request(*request, audit.server);
        }
        let answer = PeerMessage::AuditAnswer { server: audit.server, closed };
        self.send(simulator, vm, from, answer);
    }
}

fn list_owned_servers(node: &RouterNode, now: ClockTime) -> Vec<ServerId> {
    node.admission.server_states(now).iter().map(|state| state.server).collect()
}

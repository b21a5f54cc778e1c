//! What owners do at intervals: probes, load reports, audits.

use catkin_base::{ClockTime, PoolId, RequestId, ServerId, VmId};
use catkin_policy::{GrantAudit, ReportMode, choose_aggregator};
use rand::Rng;

use super::fleet::{FleetEvent, FleetStage, FleetWay, RouterNode, report_mode};
use super::message::PeerMessage;

/// Bytes that a router sends each second for membership, and for a probe of a server.
const MEMBERSHIP_BYTES: u64 = 400;
const PROBE_BYTES: u64 = 250;

impl FleetWay {
    pub(super) fn probe_servers(&mut self, stage: &mut FleetStage, vm: VmId) {
        let now = stage.now;
        let loss = stage.scenario.event_loss();
        let owned = owned_servers(self.node(vm), now);
        let bytes = owned.len() as u64 * PROBE_BYTES + MEMBERSHIP_BYTES;
        stage.measures.note_sent(now, vm.0 as usize - 1, bytes);
        for server in owned {
            let node = &mut self.routers[vm.0 as usize - 1];
            if !stage.world.server(server).up {
                node.book.record_probe_failure(now, server);
                continue;
            }
            let after = node.book.last_event(server);
            let random = &mut stage.random;
            let report =
                stage.world.server(server).report(after, || random.random::<f64>() >= loss);
            node.book.record_probe(now, server, &report);
        }
        self.poll(stage, vm);
    }

    /// Plans a prompt report after the book may have changed.
    pub(super) fn note_change(&mut self, stage: &mut FleetStage, vm: VmId) {
        let now = stage.now;
        let node = self.node(vm);
        let due = node.pacer.next_due(now).max(ClockTime(now.0 + 1));
        if node.report_at.is_none_or(|planned| planned <= now) {
            node.report_at = Some(due);
            stage.schedule(due, FleetEvent::PromptReport(vm));
        }
    }

    pub(super) fn take_own_sum(&mut self, stage: &mut FleetStage, vm: VmId, pool: PoolId) {
        let now = stage.now;
        let node = self.node(vm);
        if let Some(sum) = node.sums.aggregate_load(now, pool) {
            node.book.record_pool_load(now, &sum);
        }
        self.poll(stage, vm);
    }

    /// Tells all routers of loads that changed.
    pub(super) fn report_promptly(&mut self, stage: &mut FleetStage, vm: VmId) {
        let now = stage.now;
        let node = self.node(vm);
        let reports = node.pacer.take_due(now, node.book.load_reports(now));
        let all: Vec<VmId> = self.routers.iter().map(|node| node.vm).collect();
        for report in reports {
            self.node(vm).sums.record_report(now, vm, &report);
            for other in all.iter().filter(|other| **other != vm) {
                self.send(stage, vm, *other, PeerMessage::Report(report.clone()));
            }
            self.take_own_sum(stage, vm, report.pool);
        }
    }

    pub(super) fn report_loads(&mut self, stage: &mut FleetStage, vm: VmId) {
        if report_mode(&stage.deployment) == ReportMode::Broadcast {
            self.report_promptly(stage, vm);
            for pool in 0..stage.deployment.pools {
                self.take_own_sum(stage, vm, PoolId(pool as u64));
            }
            return;
        }
        let now = stage.now;
        let routers = self.node(vm).view.routers(&stage.deployment);
        for report in self.node(vm).book.load_reports(now) {
            if let Some(aggregator) = choose_aggregator(report.pool, &routers) {
                self.send(stage, vm, aggregator, PeerMessage::Report(report));
            }
        }
        let pools: Vec<PoolId> = self.node(vm).sums.pools().collect();
        for pool in pools {
            let reporters = self.node(vm).sums.reporters(pool);
            let Some(sum) = self.node(vm).sums.aggregate_load(now, pool) else {
                continue;
            };
            for reporter in reporters {
                self.send(stage, vm, reporter, PeerMessage::Sum(sum.clone()));
            }
        }
    }

    pub(super) fn audit_entries(&mut self, stage: &mut FleetStage, vm: VmId) {
        let entries: Vec<VmId> = stage.deployment.routers.iter().map(|spec| spec.vm).collect();
        for entry in entries {
            for audit in self.node(vm).book.audit_grants(stage.now, entry) {
                self.send(stage, vm, entry, PeerMessage::Audit(audit));
            }
        }
    }

    pub(super) fn take_audit(
        &mut self,
        stage: &mut FleetStage,
        vm: VmId,
        from: VmId,
        audit: &GrantAudit,
    ) {
        let held = |request: &RequestId| {
            let call = self.calls.get(request).filter(|call| call.entry == vm);
            call.is_some_and(|call| {
                call.asked.is_some_and(|asked| asked.ask.server == audit.server)
            })
        };
        let closed: Vec<RequestId> =
            audit.requests.iter().copied().filter(|request| !held(request)).collect();
        if closed.is_empty() {
            return;
        }
        for request in &closed {
            stage.withdraw(*request, audit.server);
        }
        let answer = PeerMessage::AuditAnswer { server: audit.server, closed };
        self.send(stage, vm, from, answer);
    }
}

fn owned_servers(node: &RouterNode, now: ClockTime) -> Vec<ServerId> {
    node.book.server_states(now).iter().map(|state| state.server).collect()
}

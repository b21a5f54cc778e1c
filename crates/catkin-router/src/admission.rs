//! Drives the owner's side of admission: queued asks, load sums, audits.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::{PoolId, VmId};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{LoadReport, choose_keyholder};
use tokio::time::sleep_until;

use crate::environment::RouterEnvironment;
use crate::parts::RouterParts;
use crate::wire::{pool_load_to_wire, report_to_wire, wrap_kind};

/// Longest wait before queued asks are looked at again.
const IDLE_POLL: Duration = Duration::from_secs(1);
/// Routers up to which every one gets the sums of every pool.
const SMALL_FLEET: usize = 16;

/// Answers queued asks as they become due.
pub(crate) async fn run_admission<E: RouterEnvironment>(parts: &RouterParts<E>) {
    loop {
        let now = parts.now();
        let answers = parts.control().owner.poll(now);
        for answer in &answers {
            parts.deliver_answer(answer);
        }
        let due = parts.control().owner.next_due(now).unwrap_or(now.plus(IDLE_POLL));
        tokio::select! {
            () = parts.admission_due.notified() => {}
            () = sleep_until(parts.clock.instant_of(due)) => {}
        }
    }
}

/// Sends the loads of owned servers to the aggregators of their pools.
pub(crate) fn send_load_reports<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let reports = parts.control().owner.load_reports(now);
    for report in reports {
        send_load_report(parts, &report);
    }
}

fn send_load_report<E: RouterEnvironment>(parts: &RouterParts<E>, report: &LoadReport) {
    let now = parts.now();
    let aggregator = aggregator_of(parts, report.pool);
    if aggregator == Some(parts.identity.vm) {
        parts.control().sums.note_report(now, parts.identity.vm, report);
    } else if let Some(vm) = aggregator {
        parts.send_to(vm, &report_to_wire(report));
    }
}

/// Sends the sums of the pools that this router aggregates to all routers that need them.
pub(crate) fn send_pool_loads<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let own = parts.identity.vm;
    let pools: Vec<PoolId> = parts.control().sums.pools().collect();
    for pool in pools.into_iter().filter(|pool| aggregator_of(parts, *pool) == Some(own)) {
        let control = parts.control();
        let Some(load) = control.sums.sum(now, pool) else { continue };
        drop(control);
        let receivers = pool_readers(parts, pool);
        let message = pool_load_to_wire(&load);
        for vm in receivers.into_iter().filter(|vm| *vm != own) {
            parts.send_to(vm, &message);
        }
        let mut control = parts.control();
        control.owner.note_pool_load(now, &load);
        control.pool_loads.insert(pool, load);
        drop(control);
        parts.admission_due.notify_one();
    }
}

/// Routers that need the sum of a pool: all in a small fleet, else the owners of its servers.
fn pool_readers<E: RouterEnvironment>(parts: &RouterParts<E>, pool: PoolId) -> BTreeSet<VmId> {
    let control = parts.control();
    if control.roster.len() <= SMALL_FLEET {
        return control.roster.iter().map(|router| router.vm).collect();
    }
    let Some(index) = parts.index() else { return BTreeSet::new() };
    let servers = index.servers().filter(|entry| entry.spec.pools.contains(&pool));
    servers.filter_map(|entry| control.owners.get(&entry.spec.server).copied()).collect()
}

fn aggregator_of<E: RouterEnvironment>(parts: &RouterParts<E>, pool: PoolId) -> Option<VmId> {
    choose_keyholder(pool.0, &parts.control().roster)
}

/// Asks the routers that hold old grants to confirm them.
pub(crate) fn send_audits<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let own = parts.identity.vm;
    let routers: Vec<VmId> = parts.control().roster.iter().map(|router| router.vm).collect();
    for vm in routers {
        let audits = parts.control().owner.audit(now, vm);
        for audit in audits {
            if vm == own {
                let closed: Vec<_> = audit
                    .requests
                    .iter()
                    .copied()
                    .filter(|request| !parts.holds_grant(*request, audit.server))
                    .collect();
                parts.control().owner.close_audited(own, audit.server, &closed);
                continue;
            }
            let requests = audit.requests.iter().map(|request| request.0).collect();
            let message = wire::GrantAudit { server: audit.server.0, requests };
            parts.send_to(vm, &wrap_kind(Kind::GrantAudit(message)));
        }
    }
}

//! Runs the owner's side of admission: queued requests, load reports and audits of grants.

use std::time::Duration;

use catkin_base::{ClockTime, PoolId, RefusalReason, VmId};
use catkin_peer::messages;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantRefusal, GrantResult, LoadReport, ReportMode, choose_aggregator,
};
use tokio::time::sleep_until;

use crate::environment::RouterEnvironment;
use crate::pool_relay::send_to_relays;
use crate::state::RouterState;
use crate::wire::{report_to_wire, wrap_kind};

/// Maximum wait before queued requests are polled again.
const IDLE_POLL: Duration = Duration::from_secs(1);
/// Minimum time between two polls of the queued requests.
const POLL_PAUSE: Duration = Duration::from_millis(1);
/// Minimum time between two checks for changed loads.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// Answers queued requests as they become due. In broadcast mode, also sends changed loads to every
/// router.
pub(crate) async fn run_admission<E: RouterEnvironment>(state: &RouterState<E>) {
    loop {
        let now = state.now();
        if state.policy().report_mode() == ReportMode::Broadcast {
            send_broadcast_reports(state);
        }
        let answers = state.policy().admission.poll(now);
        for answer in &answers {
            state.send_answer(answer);
        }
        let due = next_poll(state, now);
        tokio::select! {
            biased;
            () = state.admission_due.notified() => {}
            () = sleep_until(state.clock.instant_of(due)) => {}
        }
    }
}

/// Time of the next poll.
fn next_poll<E: RouterEnvironment>(state: &RouterState<E>, now: ClockTime) -> ClockTime {
    let policy = state.policy();
    let idle = now.plus(IDLE_POLL);
    let poll = policy.admission.next_due(now).unwrap_or(idle);
    let report = match policy.report_mode() {
        ReportMode::Broadcast => policy.pacer.next_due(now),
        ReportMode::Aggregated => idle,
    };
    // At least `POLL_PAUSE` from now, so that the loop yields to other tasks.
    poll.min(report.max(now.plus(REPORT_PAUSE))).min(idle).max(now.plus(POLL_PAUSE))
}

/// Sends the loads that changed to every router, in broadcast mode.
fn send_broadcast_reports<E: RouterEnvironment>(state: &RouterState<E>) {
    let now = state.now();
    let local_vm = state.identity.vm;
    let mut policy = state.policy();
    let current = policy.admission.load_reports(now);
    let reports = policy.pacer.take_due(now, current);
    for report in &reports {
        policy.load_aggregator.record_report(now, local_vm, report);
        policy.update_local_total(now, report.pool);
    }
    let peers = policy.list_peers(local_vm);
    drop(policy);
    for report in &reports {
        let message = report_to_wire(report);
        for vm in &peers {
            state.send_to(*vm, &message);
        }
    }
}

/// Sends the loads of owned servers to the aggregators of their pools. Does nothing in broadcast
/// mode, where every router gets the loads.
pub(crate) fn send_load_reports<E: RouterEnvironment>(state: &RouterState<E>) {
    let now = state.now();
    let policy = state.policy();
    if policy.report_mode() == ReportMode::Broadcast {
        return;
    }
    let reports = policy.admission.load_reports(now);
    drop(policy);
    for report in reports {
        send_load_report(state, &report);
    }
}

fn send_load_report<E: RouterEnvironment>(state: &RouterState<E>, report: &LoadReport) {
    let now = state.now();
    let local_vm = state.identity.vm;
    let mut policy = state.policy();
    let aggregator = choose_aggregator(report.pool, &policy.roster);
    if aggregator == Some(local_vm) {
        policy.load_aggregator.record_report(now, local_vm, report);
    }
    drop(policy);
    if let Some(vm) = aggregator.filter(|vm| *vm != local_vm) {
        state.send_to(vm, &report_to_wire(report));
    }
}

/// Sends the load totals of the pools that this router aggregates to the relays, which forward them
/// to the owners of the pools' servers. Does nothing in broadcast mode.
pub(crate) fn send_pool_loads<E: RouterEnvironment>(state: &RouterState<E>) {
    let now = state.now();
    let local_vm = state.identity.vm;
    let mut policy = state.policy();
    if policy.report_mode() == ReportMode::Broadcast {
        return;
    }
    let pools: Vec<PoolId> = policy.load_aggregator.pools().collect();
    let mut loads = Vec::new();
    for pool in pools {
        if choose_aggregator(pool, &policy.roster) != Some(local_vm) {
            continue;
        }
        let Some(load) = policy.load_aggregator.aggregate_load(now, pool) else { continue };
        policy.update_pool_load(now, load.clone());
        loads.push(load);
    }
    drop(policy);
    for load in &loads {
        send_to_relays(state, load);
    }
    state.admission_due.notify_one();
}

/// Decides on a grant request for a server that this router owns. A quarantined request is refused.
pub(crate) fn decide_grant<E: RouterEnvironment>(
    state: &RouterState<E>,
    ask: &GrantAsk,
) -> GrantAnswer {
    let now = state.now();
    let mut policy = state.policy();
    let hold_millis = policy.quarantine_millis(now, ask.digest);
    if hold_millis > 0 {
        return refuse_quarantined(ask, hold_millis);
    }
    policy.admission.handle_ask(now, ask)
}

fn refuse_quarantined(ask: &GrantAsk, hold_millis: u64) -> GrantAnswer {
    GrantAnswer {
        request: ask.request,
        entry: ask.entry,
        server: ask.server,
        result: GrantResult::Refused(build_quarantine_refusal(hold_millis)),
    }
}

/// The refusal of a request that stays quarantined for `hold_millis` more.
pub(crate) fn build_quarantine_refusal(hold_millis: u64) -> GrantRefusal {
    GrantRefusal {
        reason: RefusalReason::Quarantined,
        retry_after_millis: u32::try_from(hold_millis).unwrap_or(u32::MAX),
    }
}

/// Sends each router the old grants that it holds at owned servers, to learn which have ended.
pub(crate) fn send_audits<E: RouterEnvironment>(state: &RouterState<E>) {
    let now = state.now();
    let local_vm = state.identity.vm;
    let routers: Vec<VmId> = state.policy().roster.iter().map(|router| router.vm).collect();
    for vm in routers {
        let audits = state.policy().admission.audit_grants(now, vm);
        for audit in audits {
            if vm == local_vm {
                let closed =
                    state.list_unknown_requests(audit.server, audit.requests.iter().copied());
                state.policy().admission.close_audited(local_vm, audit.server, &closed);
                continue;
            }
            let requests = audit.requests.iter().map(|request| request.0).collect();
            let message = messages::GrantAudit { server: audit.server.0, requests };
            state.send_to(vm, &wrap_kind(Kind::GrantAudit(message)));
        }
    }
}

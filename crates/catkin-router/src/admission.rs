//! Drives the owner's side of admission: queued asks, load sums, audits.

use std::time::Duration;

use catkin_base::{ClockTime, PoolId, RefusalReason, VmId};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantRefusal, GrantResult, LoadReport, ReportMode, choose_aggregator,
};
use tokio::time::sleep_until;

use crate::environment::RouterEnvironment;
use crate::parts::RouterParts;
use crate::pool_relay::send_to_relays;
use crate::wire::{report_to_wire, wrap_kind};

/// Longest wait before queued asks are looked at again.
const IDLE_POLL: Duration = Duration::from_secs(1);
/// Least time between two looks at queued asks.
const POLL_PAUSE: Duration = Duration::from_millis(1);
/// Least time between two looks at the loads that may have changed.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// Answers queued asks as they become due, and reports changed loads at once in a small fleet.
pub(crate) async fn run_admission<E: RouterEnvironment>(parts: &RouterParts<E>) {
    loop {
        let now = parts.now();
        if parts.control().report_mode() == ReportMode::Broadcast {
            send_prompt_reports(parts);
        }
        let answers = parts.control().owner.poll(now);
        for answer in &answers {
            parts.deliver_answer(answer);
        }
        let due = next_due(parts, now);
        tokio::select! {
            biased;
            () = parts.admission_due.notified() => {}
            () = sleep_until(parts.clock.instant_of(due)) => {}
        }
    }
}

fn next_due<E: RouterEnvironment>(parts: &RouterParts<E>, now: ClockTime) -> ClockTime {
    let control = parts.control();
    let idle = now.plus(IDLE_POLL);
    let poll = control.owner.next_due(now).unwrap_or(idle);
    let report = match control.report_mode() {
        ReportMode::Broadcast => control.pacer.next_due(now),
        ReportMode::Aggregated => idle,
    };
    // A moment later at least, so that the loop always yields.
    poll.min(report.max(now.plus(REPORT_PAUSE))).min(idle).max(now.plus(POLL_PAUSE))
}

/// Tells every router of the loads that changed.
fn send_prompt_reports<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let own = parts.identity.vm;
    let mut control = parts.control();
    let current = control.owner.load_reports(now);
    let reports = control.pacer.take_due(now, current);
    for report in &reports {
        control.sums.record_report(now, own, report);
        control.take_own_sum(now, report.pool);
    }
    let others = control.list_others(own);
    drop(control);
    for report in &reports {
        let message = report_to_wire(report);
        for vm in &others {
            parts.send_to(*vm, &message);
        }
    }
}

/// Sends the loads of owned servers to the aggregators of their pools, in a large fleet.
pub(crate) fn send_load_reports<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let control = parts.control();
    if control.report_mode() == ReportMode::Broadcast {
        return;
    }
    let reports = control.owner.load_reports(now);
    drop(control);
    for report in reports {
        send_load_report(parts, &report);
    }
}

fn send_load_report<E: RouterEnvironment>(parts: &RouterParts<E>, report: &LoadReport) {
    let now = parts.now();
    let own = parts.identity.vm;
    let mut control = parts.control();
    let aggregator = choose_aggregator(report.pool, &control.roster);
    if aggregator == Some(own) {
        control.sums.record_report(now, own, report);
    }
    drop(control);
    if let Some(vm) = aggregator.filter(|vm| *vm != own) {
        parts.send_to(vm, &report_to_wire(report));
    }
}

/// Sends the sums of the pools that this router aggregates towards the owners of their servers.
pub(crate) fn send_pool_loads<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let own = parts.identity.vm;
    let mut control = parts.control();
    if control.report_mode() == ReportMode::Broadcast {
        return;
    }
    let pools: Vec<PoolId> = control.sums.pools().collect();
    let mut loads = Vec::new();
    for pool in pools {
        if choose_aggregator(pool, &control.roster) != Some(own) {
            continue;
        }
        let Some(load) = control.sums.aggregate_load(now, pool) else { continue };
        control.take_pool_load(now, load.clone());
        loads.push(load);
    }
    drop(control);
    for load in &loads {
        send_to_relays(parts, load);
    }
    parts.admission_due.notify_one();
}

/// Decides on an ask at a server that this router owns.
pub(crate) fn decide_ask<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    ask: &GrantAsk,
) -> GrantAnswer {
    let now = parts.now();
    let mut control = parts.control();
    let hold_millis = control.quarantine_millis(now, ask.digest);
    if hold_millis > 0 {
        return refuse_quarantined(ask, hold_millis);
    }
    control.owner.handle_ask(now, ask)
}

fn refuse_quarantined(ask: &GrantAsk, hold_millis: u64) -> GrantAnswer {
    GrantAnswer {
        request: ask.request,
        entry: ask.entry,
        server: ask.server,
        result: GrantResult::Refused(quarantine_refusal(hold_millis)),
    }
}

/// The refusal of a request that is quarantined for this time, in milliseconds.
pub(crate) fn quarantine_refusal(hold_millis: u64) -> GrantRefusal {
    GrantRefusal {
        reason: RefusalReason::Quarantined,
        retry_after_millis: u32::try_from(hold_millis).unwrap_or(u32::MAX),
    }
}

/// Asks the routers that hold old grants to confirm them.
pub(crate) fn send_audits<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let own = parts.identity.vm;
    let routers: Vec<VmId> = parts.control().roster.iter().map(|router| router.vm).collect();
    for vm in routers {
        let audits = parts.control().owner.audit_grants(now, vm);
        for audit in audits {
            if vm == own {
                let closed = parts.list_closed(audit.server, audit.requests.iter().copied());
                parts.control().owner.close_audited(own, audit.server, &closed);
                continue;
            }
            let requests = audit.requests.iter().map(|request| request.0).collect();
            let message = wire::GrantAudit { server: audit.server.0, requests };
            parts.send_to(vm, &wrap_kind(Kind::GrantAudit(message)));
        }
    }
}

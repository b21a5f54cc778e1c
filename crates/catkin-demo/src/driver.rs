//! Sends the planned calls to the routers and injects faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use catkin_router::MessageCount;
use catkin_standin::OutageKind;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::caller::{CallAttempt, CallOutcome, send_call};
use crate::deployment::DeploymentShape;
use crate::fleet::DemoFleet;
use crate::run_summary::{CallResult, LoadSample, RunMeasurements};
use crate::trace::{PlannedCall, PlannedWork};

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 4;
/// Delay before a call whose connection broke is sent again, to another router.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Sampling interval of the engines' load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of pairs of a direct and a routed call that measure the added latency.
const LATENCY_PAIRS: u32 = 40;

/// Kind of an injected fault or change; printed under its own name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    CrashEngine,
    LeaveEngine,
    StartOutage,
    EndOutage,
    LoseWriteAnswers,
    DrainRouter,
    KillRouter,
}

/// Faults with their time, in percent of the length of the run.
const FAULT_PLAN: [(u32, FaultKind); 7] = [
    (20, FaultKind::CrashEngine),
    (30, FaultKind::LeaveEngine),
    (55, FaultKind::LoseWriteAnswers),
    (62, FaultKind::StartOutage),
    (72, FaultKind::EndOutage),
    (78, FaultKind::DrainRouter),
    (88, FaultKind::KillRouter),
];

/// State that all callers share.
struct CallerPool {
    shape: DeploymentShape,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    hints: Mutex<BTreeMap<String, String>>,
    draining: watch::Receiver<Option<SocketAddr>>,
}

/// Results of a finished run.
pub(crate) struct FinishedRun {
    pub(crate) results: Vec<CallResult>,
    pub(crate) measurements: RunMeasurements,
}

/// Sends the calls and injects the faults; returns when every call has ended. If `calm` is set, no
/// faults are injected.
pub(crate) async fn run_trace(
    fleet: &mut DemoFleet,
    calls: Vec<PlannedCall>,
    length: Duration,
    calm: bool,
) -> FinishedRun {
    let added_latency = crate::latency::measure_added_latency(fleet, LATENCY_PAIRS).await;
    let (addresses, address_reader) = watch::channel(fleet.caller_addresses());
    let (draining, drain_reader) = watch::channel(None);
    let pool = Arc::new(CallerPool {
        shape: fleet.shape.clone(),
        addresses: address_reader,
        hints: Mutex::default(),
        draining: drain_reader,
    });
    let start = Instant::now();
    let bytes_before = sum_peer_bytes(fleet);
    let callers = tokio::spawn(send_calls(pool, calls, start));
    let mut samples = Vec::new();
    let mut drained_whole = true;
    let mut ticks = interval(SAMPLE_INTERVAL);
    let faults: &[(u32, FaultKind)] = if calm { &[] } else { &FAULT_PLAN };
    let mut faults = faults.iter().peekable();
    let mut control_rate = 0.0;
    while start.elapsed() < length {
        ticks.tick().await;
        samples.push(sample_load(fleet));
        let elapsed = start.elapsed();
        while let Some((_, fault)) =
            faults.next_if(|(percent, _)| elapsed >= length * *percent / 100)
        {
            println!("{:6.1} s  {fault:?}", elapsed.as_secs_f64());
            if *fault == FaultKind::DrainRouter {
                // The byte counts of a router are lost when it stops.
                control_rate = compute_control_rate(fleet, bytes_before, elapsed);
                print_traffic(fleet, elapsed);
            }
            drained_whole &= inject_fault(fleet, *fault, &addresses, &draining).await;
        }
    }
    if calm {
        control_rate = compute_control_rate(fleet, bytes_before, start.elapsed());
        print_traffic(fleet, start.elapsed());
    }
    let results = callers.await.unwrap_or_default();
    let measurements = RunMeasurements {
        samples,
        control_bytes_per_router_second: control_rate,
        added_latency,
        drained_whole,
    };
    FinishedRun { results, measurements }
}

fn sum_peer_bytes(fleet: &DemoFleet) -> u64 {
    fleet.routers.iter().flatten().map(|router| router.view().peer_bytes()).sum()
}

fn compute_control_rate(fleet: &DemoFleet, before: u64, elapsed: Duration) -> f64 {
    let routers = fleet.routers.iter().flatten().count().max(1);
    let bytes = sum_peer_bytes(fleet).saturating_sub(before);
    bytes as f64 / routers as f64 / elapsed.as_secs_f64()
}

/// Prints the messages that routers sent to each other, by kind, per router and second.
fn print_traffic(fleet: &DemoFleet, elapsed: Duration) {
    let mut totals: BTreeMap<&'static str, MessageCount> = BTreeMap::new();
    let routers = fleet.routers.iter().flatten();
    for row in routers.clone().flat_map(|router| router.view().sent_messages()) {
        let total = totals.entry(row.0).or_default();
        total.messages += row.1.messages;
        total.bytes += row.1.bytes;
    }
    let router_seconds = elapsed.as_secs_f64() * routers.count().max(1) as f64;
    for (kind, total) in totals {
        let messages = total.messages as f64 / router_seconds;
        let bytes = total.bytes as f64 / router_seconds;
        println!("          {kind:20} {messages:8.2} messages/s {bytes:9.0} bytes/s");
    }
}

fn sample_load(fleet: &DemoFleet) -> LoadSample {
    LoadSample { open: fleet.engines.iter().map(|engine| engine.open()).collect() }
}

/// Injects a fault; returns false if a router did not drain completely.
async fn inject_fault(
    fleet: &mut DemoFleet,
    fault: FaultKind,
    addresses: &watch::Sender<Vec<SocketAddr>>,
    draining: &watch::Sender<Option<SocketAddr>>,
) -> bool {
    match fault {
        FaultKind::CrashEngine => fleet.engines[0].crash(),
        FaultKind::LeaveEngine => fleet.engines[1].set_leaving(true),
        FaultKind::StartOutage => fleet.platform.set_outage(OutageKind::Failing),
        FaultKind::EndOutage => fleet.platform.set_outage(OutageKind::None),
        FaultKind::LoseWriteAnswers => fleet.platform.lose_next_answers(3),
        FaultKind::DrainRouter => return drain_router(fleet, addresses, draining).await,
        FaultKind::KillRouter => {
            if let Some(router) = fleet.routers[1].take() {
                router.kill().await;
            }
            fleet.publish_vms();
            // Callers still try the router until their load balancer notices the failure.
            sleep(Duration::from_millis(500)).await;
            addresses.send_replace(fleet.caller_addresses());
        }
    }
    true
}

async fn drain_router(
    fleet: &mut DemoFleet,
    addresses: &watch::Sender<Vec<SocketAddr>>,
    draining: &watch::Sender<Option<SocketAddr>>,
) -> bool {
    let Some(router) = fleet.routers[0].take() else { return true };
    draining.send_replace(Some(router.caller_address()));
    addresses.send_replace(fleet.caller_addresses());
    let complete = router.shut_down().await;
    fleet.publish_vms();
    complete
}

async fn send_calls(
    pool: Arc<CallerPool>,
    calls: Vec<PlannedCall>,
    start: Instant,
) -> Vec<CallResult> {
    let mut callers = JoinSet::new();
    for (index, call) in calls.into_iter().enumerate() {
        sleep_until(start + call.at).await;
        callers.spawn(send_with_retries(Arc::clone(&pool), call, index));
    }
    callers.join_all().await
}

/// Sends a call, and retries it as a caller would after a broken connection or a refusal.
async fn send_with_retries(pool: Arc<CallerPool>, call: PlannedCall, index: usize) -> CallResult {
    let mut attempts = Vec::new();
    let mut was_on_draining_router = false;
    for retry in 0..MAX_ATTEMPTS {
        let Some(router) = pool.select_router(index + retry) else { break };
        let hint = pool.find_hint(&call);
        let attempt = send_call(router, &pool.shape, &call, hint.as_deref()).await;
        was_on_draining_router = *pool.draining.borrow() == Some(router);
        pool.record_hint(&call, &attempt);
        let delay = compute_retry_delay(&attempt);
        attempts.push(attempt);
        let Some(delay) = delay else { break };
        sleep(delay).await;
    }
    CallResult { call, attempts, was_on_draining_router }
}

/// Returns the delay before the call is sent again; `None` if the call has ended.
fn compute_retry_delay(attempt: &CallAttempt) -> Option<Duration> {
    match &attempt.outcome {
        CallOutcome::Complete | CallOutcome::Mismatched => None,
        CallOutcome::Refused { reason, .. } if reason == "quarantined" => None,
        CallOutcome::Refused { retry_after_seconds, .. } => {
            Some(Duration::from_secs(u64::from(retry_after_seconds.unwrap_or(1).min(2))))
        }
        CallOutcome::Truncated { .. } | CallOutcome::Unreachable => Some(RETRY_DELAY),
    }
}

impl CallerPool {
    fn select_router(&self, index: usize) -> Option<SocketAddr> {
        let addresses = self.addresses.borrow();
        let index = index.checked_rem(addresses.len())?;
        addresses.get(index).copied()
    }

    fn find_hint(&self, call: &PlannedCall) -> Option<String> {
        let PlannedWork::Turn { chat, .. } = &call.work else { return None };
        self.hints.lock().unwrap_or_else(PoisonError::into_inner).get(chat).cloned()
    }

    fn record_hint(&self, call: &PlannedCall, attempt: &CallAttempt) {
        let PlannedWork::Turn { chat, .. } = &call.work else { return };
        if let Some(hint) = &attempt.hint {
            let mut hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
            hints.insert(chat.clone(), hint.clone());
        }
    }
}

//! Plays a trace against the routers while things fail.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use catkin_router::MessageCount;
use catkin_standin::OutageKind;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::caller::{CallEnd, CallRecord, send_call};
use crate::deployment::DeploymentShape;
use crate::tally::{CallResult, LoadSample, RunMeasure};
use crate::trace::{PlannedCall, PlannedWork};
use crate::world::DemoWorld;

/// Most sendings of one call.
const MAX_SENDINGS: usize = 4;
/// Wait before a call is sent again to another router.
const RESEND_WAIT: Duration = Duration::from_millis(200);
/// Interval of samples of the engines' load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Direct and routed pairs of calls that measure the added latency.
const LATENCY_PAIRS: u32 = 40;

/// Something that fails or changes during a run.
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

/// When something fails, as a share of the run in percent.
const FAULT_PLAN: [(u32, FaultKind); 7] = [
    (20, FaultKind::CrashEngine),
    (30, FaultKind::LeaveEngine),
    (55, FaultKind::LoseWriteAnswers),
    (62, FaultKind::StartOutage),
    (72, FaultKind::EndOutage),
    (78, FaultKind::DrainRouter),
    (88, FaultKind::KillRouter),
];

/// What all callers share.
struct CallerPool {
    shape: DeploymentShape,
    entries: watch::Receiver<Vec<SocketAddr>>,
    hints: Mutex<BTreeMap<String, String>>,
    draining: watch::Receiver<Option<SocketAddr>>,
}

/// A finished run.
pub(crate) struct FinishedRun {
    pub(crate) results: Vec<CallResult>,
    pub(crate) measure: RunMeasure,
}

/// Plays the calls and the faults; returns when every call has ended.
pub(crate) async fn drive(
    world: &mut DemoWorld,
    calls: Vec<PlannedCall>,
    length: Duration,
    calm: bool,
) -> FinishedRun {
    let added_latency = crate::latency::measure_added(world, LATENCY_PAIRS).await;
    let (entries, entry_reader) = watch::channel(world.entries());
    let (draining, drain_reader) = watch::channel(None);
    let pool = Arc::new(CallerPool {
        shape: world.shape.clone(),
        entries: entry_reader,
        hints: Mutex::default(),
        draining: drain_reader,
    });
    let began = Instant::now();
    let bytes_before = sum_peer_bytes(world);
    let callers = tokio::spawn(play_calls(pool, calls, began));
    let mut samples = Vec::new();
    let mut drained_whole = true;
    let mut ticks = interval(SAMPLE_INTERVAL);
    let faults: &[(u32, FaultKind)] = if calm { &[] } else { &FAULT_PLAN };
    let mut faults = faults.iter().peekable();
    let mut control_rate = 0.0;
    while began.elapsed() < length {
        ticks.tick().await;
        samples.push(sample_load(world));
        let elapsed = began.elapsed();
        while let Some((_, fault)) =
            faults.next_if(|(percent, _)| elapsed >= length * *percent / 100)
        {
            println!("{:6.1} s  {fault:?}", elapsed.as_secs_f64());
            if *fault == FaultKind::DrainRouter {
                // Routers that stop take their byte counts with them.
                control_rate = control_rate_since(world, bytes_before, elapsed);
                print_traffic(world, elapsed);
            }
            drained_whole &= cause_fault(world, *fault, &entries, &draining).await;
        }
    }
    if calm {
        control_rate = control_rate_since(world, bytes_before, began.elapsed());
        print_traffic(world, began.elapsed());
    }
    let results = callers.await.unwrap_or_default();
    let measure = RunMeasure {
        samples,
        control_bytes_per_router_second: control_rate,
        added_latency,
        drained_whole,
    };
    FinishedRun { results, measure }
}

fn sum_peer_bytes(world: &DemoWorld) -> u64 {
    world.routers.iter().flatten().map(|router| router.view().peer_bytes()).sum()
}

fn control_rate_since(world: &DemoWorld, before: u64, elapsed: Duration) -> f64 {
    let routers = world.routers.iter().flatten().count().max(1);
    let bytes = sum_peer_bytes(world).saturating_sub(before);
    bytes as f64 / routers as f64 / elapsed.as_secs_f64()
}

/// Shows what the routers sent to each other, by kind, for each router and second.
fn print_traffic(world: &DemoWorld, elapsed: Duration) {
    let mut sums: BTreeMap<&'static str, MessageCount> = BTreeMap::new();
    let routers = world.routers.iter().flatten();
    for row in routers.clone().flat_map(|router| router.view().sent_messages()) {
        let sum = sums.entry(row.0).or_default();
        sum.messages += row.1.messages;
        sum.bytes += row.1.bytes;
    }
    let share = elapsed.as_secs_f64() * routers.count().max(1) as f64;
    for (kind, sum) in sums {
        let messages = sum.messages as f64 / share;
        let bytes = sum.bytes as f64 / share;
        println!("          {kind:20} {messages:8.2} messages/s {bytes:9.0} bytes/s");
    }
}

fn sample_load(world: &DemoWorld) -> LoadSample {
    LoadSample { open: world.engines.iter().map(|engine| engine.open()).collect() }
}

/// Causes a fault; false if a graceful shutdown was not whole.
async fn cause_fault(
    world: &mut DemoWorld,
    fault: FaultKind,
    entries: &watch::Sender<Vec<SocketAddr>>,
    draining: &watch::Sender<Option<SocketAddr>>,
) -> bool {
    match fault {
        FaultKind::CrashEngine => world.engines[0].crash(),
        FaultKind::LeaveEngine => world.engines[1].set_leaving(true),
        FaultKind::StartOutage => world.platform.set_outage(OutageKind::Failing),
        FaultKind::EndOutage => world.platform.set_outage(OutageKind::None),
        FaultKind::LoseWriteAnswers => world.platform.lose_next_answers(3),
        FaultKind::DrainRouter => return drain_router(world, entries, draining).await,
        FaultKind::KillRouter => {
            if let Some(router) = world.routers[1].take() {
                router.kill().await;
            }
            world.list_vms();
            // The balancer notices only later that the router is gone.
            sleep(Duration::from_millis(500)).await;
            entries.send_replace(world.entries());
        }
    }
    true
}

async fn drain_router(
    world: &mut DemoWorld,
    entries: &watch::Sender<Vec<SocketAddr>>,
    draining: &watch::Sender<Option<SocketAddr>>,
) -> bool {
    let Some(router) = world.routers[0].take() else { return true };
    draining.send_replace(Some(router.caller_address()));
    entries.send_replace(world.entries());
    let whole = router.shut_down().await;
    world.list_vms();
    whole
}

async fn play_calls(
    pool: Arc<CallerPool>,
    calls: Vec<PlannedCall>,
    began: Instant,
) -> Vec<CallResult> {
    let mut callers = JoinSet::new();
    for (index, call) in calls.into_iter().enumerate() {
        sleep_until(began + call.at).await;
        callers.spawn(play_call(Arc::clone(&pool), call, index));
    }
    callers.join_all().await
}

/// Sends a call, and again as a caller would after a refusal that allows it.
async fn play_call(pool: Arc<CallerPool>, call: PlannedCall, index: usize) -> CallResult {
    let mut records = Vec::new();
    let mut on_draining_router = false;
    for sending in 0..MAX_SENDINGS {
        let Some(router) = pool.choose_entry(index + sending) else { break };
        let hint = pool.hint(&call);
        let record = send_call(router, &pool.shape, &call, hint.as_deref()).await;
        on_draining_router = *pool.draining.borrow() == Some(router);
        pool.note_hint(&call, &record);
        let wait = resend_wait(&record);
        records.push(record);
        let Some(wait) = wait else { break };
        sleep(wait).await;
    }
    CallResult { call, records, on_draining_router }
}

/// How long to wait before the call is sent again; `None` if it has ended.
fn resend_wait(record: &CallRecord) -> Option<Duration> {
    match &record.end {
        CallEnd::Whole | CallEnd::Stranger => None,
        CallEnd::Refused { reason, .. } if reason == "quarantined" => None,
        CallEnd::Refused { retry_after_seconds, .. } => {
            Some(Duration::from_secs(u64::from(retry_after_seconds.unwrap_or(1).min(2))))
        }
        CallEnd::Cut { .. } | CallEnd::Unreachable => Some(RESEND_WAIT),
    }
}

impl CallerPool {
    fn choose_entry(&self, index: usize) -> Option<SocketAddr> {
        let entries = self.entries.borrow();
        let place = index.checked_rem(entries.len())?;
        entries.get(place).copied()
    }

    fn hint(&self, call: &PlannedCall) -> Option<String> {
        let PlannedWork::Turn { chat, .. } = &call.work else { return None };
        self.hints.lock().unwrap_or_else(PoisonError::into_inner).get(chat).cloned()
    }

    fn note_hint(&self, call: &PlannedCall, record: &CallRecord) {
        let PlannedWork::Turn { chat, .. } = &call.work else { return };
        if let Some(hint) = &record.hint {
            let mut hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
            hints.insert(chat.clone(), hint.clone());
        }
    }
}

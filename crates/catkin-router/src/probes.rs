//! Probes the servers that this router owns and reports their state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkin_backend::{BackendError, BackendLink, ServerProbe};
use catkin_base::{ClockTime, ServerId};
use catkin_policy::{CacheEvent, ServerReport};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval_at};

use crate::environment::RouterEnvironment;
use crate::orders::report_server_state;
use crate::state::RouterState;
use crate::strikes::{CrashSuspicion, confirm_strike};

/// Interval between two probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between two reports of a server's state to the lease's holder, in milliseconds.
const STATE_REPORT_MILLIS: u64 = 5_000;

/// State of a server that is kept between probes.
#[derive(Debug, Clone, Copy, Default)]
struct ProbeHistory {
    /// Incarnation that the last successful probe found; 0 before the first.
    incarnation: u64,
    /// Time of the last state report.
    reported_at: Option<ClockTime>,
}

/// Result of one probe.
struct ProbeOutcome {
    server: ServerId,
    /// Suspected crash that the probe was sent to check.
    suspicion: Option<CrashSuspicion>,
    result: Result<ServerProbe, BackendError>,
}

/// Probes each owned server once per interval, and suspected ones at once.
pub(crate) async fn run_probes<E: RouterEnvironment>(
    state: Arc<RouterState<E>>,
    suspicions: flume::Receiver<CrashSuspicion>,
) {
    let mut histories = BTreeMap::new();
    let mut probes = JoinSet::new();
    let mut ticks = interval_at(Instant::now(), PROBE_INTERVAL);
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => probe_owned(&state, &mut probes),
            Ok(suspicion) = suspicions.recv_async() => {
                spawn_probe(&state, &mut probes, suspicion.server, Some(suspicion));
            }
            Some(Ok(outcome)) = probes.join_next() =>
                handle_probe(&state, &mut histories, &outcome),
        }
    }
}

fn probe_owned<E: RouterEnvironment>(
    state: &Arc<RouterState<E>>,
    probes: &mut JoinSet<ProbeOutcome>,
) {
    let now = state.now();
    let states = state.policy().admission.server_states(now);
    for server_state in states {
        spawn_probe(state, probes, server_state.server, None);
    }
}

fn spawn_probe<E: RouterEnvironment>(
    state: &Arc<RouterState<E>>,
    probes: &mut JoinSet<ProbeOutcome>,
    server: ServerId,
    suspicion: Option<CrashSuspicion>,
) {
    let Some(address) = find_address(state, server) else { return };
    let state = Arc::clone(state);
    probes.spawn(async move {
        let after_event = state.policy().admission.last_event(server);
        let result = state.backend.probe(address, after_event, PROBE_TIMEOUT).await;
        ProbeOutcome { server, suspicion, result }
    });
}

fn find_address<E: RouterEnvironment>(
    state: &RouterState<E>,
    server: ServerId,
) -> Option<SocketAddr> {
    state.index()?.server(server).map(|entry| entry.address)
}

/// Passes a probe's result to admission, reports the server's state if due, and confirms a
/// suspected crash if the probe failed or the server has restarted.
fn handle_probe<E: RouterEnvironment>(
    state: &RouterState<E>,
    histories: &mut BTreeMap<ServerId, ProbeHistory>,
    outcome: &ProbeOutcome,
) {
    let now = state.now();
    let history = histories.entry(outcome.server).or_default();
    let crashed = match &outcome.result {
        Ok(probe) => {
            state.policy().admission.record_probe(now, outcome.server, &build_probe_report(probe));
            report_state_if_due(state, history, outcome.server, probe);
            let previous = std::mem::replace(&mut history.incarnation, probe.incarnation);
            previous != 0 && previous != probe.incarnation
        }
        Err(_) => {
            state.policy().admission.record_probe_failure(now, outcome.server);
            true
        }
    };
    if let Some(suspicion) = outcome.suspicion.filter(|_| crashed) {
        confirm_strike(state, suspicion);
    }
    state.admission_due.notify_one();
}

/// Reports a server's state once per interval, and at once after a restart.
fn report_state_if_due<E: RouterEnvironment>(
    state: &RouterState<E>,
    history: &mut ProbeHistory,
    server: ServerId,
    probe: &ServerProbe,
) {
    let now = state.now();
    let is_recent =
        history.reported_at.is_some_and(|at| now.millis_since(at) < STATE_REPORT_MILLIS);
    if !is_recent || history.incarnation != probe.incarnation {
        history.reported_at = Some(now);
        report_server_state(state, &build_state_report(state, server, probe));
    }
}

fn build_state_report<E: RouterEnvironment>(
    state: &RouterState<E>,
    server: ServerId,
    probe: &ServerProbe,
) -> catkin_control::StateReport {
    catkin_control::StateReport {
        server,
        incarnation: probe.incarnation,
        models: probe.models.clone(),
        fence: probe.fence,
        undone: state.dispatcher.take_overwritten(server),
    }
}

fn build_probe_report(probe: &ServerProbe) -> ServerReport {
    let events = probe.events.iter().map(|event| CacheEvent {
        sequence: event.sequence,
        chat: event.chat,
        cached: event.cached,
    });
    ServerReport {
        incarnation: probe.incarnation,
        open: probe.open,
        leaving: probe.leaving,
        event_sequence: probe.event_sequence,
        events: events.collect(),
    }
}

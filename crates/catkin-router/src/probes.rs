//! Probes the servers that this router owns.

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
/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between two reports of a server's state to the lease's holder.
const STATE_INTERVAL_MILLIS: u64 = 5_000;

/// What is remembered of a server between probes.
#[derive(Debug, Clone, Copy, Default)]
struct ProbeMemory {
    incarnation: u64,
    reported: Option<ClockTime>,
}

/// What a probe found.
struct ProbeEnd {
    server: ServerId,
    suspicion: Option<CrashSuspicion>,
    result: Result<ServerProbe, BackendError>,
}

/// Probes each owned server once in an interval, and suspected ones at once.
pub(crate) async fn run_probes<E: RouterEnvironment>(
    state: Arc<RouterState<E>>,
    suspicions: flume::Receiver<CrashSuspicion>,
) {
    let mut memories = BTreeMap::new();
    let mut probes = JoinSet::new();
    let mut ticks = interval_at(Instant::now(), PROBE_INTERVAL);
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => probe_owned(&state, &mut probes),
            Ok(suspicion) = suspicions.recv_async() => {
                spawn_probe(&state, &mut probes, suspicion.server, Some(suspicion));
            }
            Some(Ok(end)) = probes.join_next() => take_probe(&state, &mut memories, &end),
        }
    }
}

fn probe_owned<E: RouterEnvironment>(state: &Arc<RouterState<E>>, probes: &mut JoinSet<ProbeEnd>) {
    let now = state.now();
    let states = state.policy().owner.server_states(now);
    for server_state in states {
        spawn_probe(state, probes, server_state.server, None);
    }
}

fn spawn_probe<E: RouterEnvironment>(
    state: &Arc<RouterState<E>>,
    probes: &mut JoinSet<ProbeEnd>,
    server: ServerId,
    suspicion: Option<CrashSuspicion>,
) {
    let Some(address) = server_address(state, server) else { return };
    let state = Arc::clone(state);
    probes.spawn(async move {
        let after_event = state.policy().owner.last_event(server);
        let result = state.backend.probe(address, after_event, PROBE_TIMEOUT).await;
        ProbeEnd { server, suspicion, result }
    });
}

fn server_address<E: RouterEnvironment>(
    state: &RouterState<E>,
    server: ServerId,
) -> Option<SocketAddr> {
    state.index()?.server(server).map(|entry| entry.address)
}

fn take_probe<E: RouterEnvironment>(
    state: &RouterState<E>,
    memories: &mut BTreeMap<ServerId, ProbeMemory>,
    end: &ProbeEnd,
) {
    let now = state.now();
    let memory = memories.entry(end.server).or_default();
    let crashed = match &end.result {
        Ok(probe) => {
            state.policy().owner.record_probe(now, end.server, &to_report(probe));
            report_if_due(state, memory, end.server, probe);
            let known = std::mem::replace(&mut memory.incarnation, probe.incarnation);
            known != 0 && known != probe.incarnation
        }
        Err(_) => {
            state.policy().owner.record_probe_failure(now, end.server);
            true
        }
    };
    if let Some(suspicion) = end.suspicion.filter(|_| crashed) {
        confirm_strike(state, suspicion);
    }
    state.admission_due.notify_one();
}

fn report_if_due<E: RouterEnvironment>(
    state: &RouterState<E>,
    memory: &mut ProbeMemory,
    server: ServerId,
    probe: &ServerProbe,
) {
    let now = state.now();
    let fresh = memory.reported.is_some_and(|at| now.millis_since(at) < STATE_INTERVAL_MILLIS);
    if !fresh || memory.incarnation != probe.incarnation {
        memory.reported = Some(now);
        report_server_state(state, &to_state(state, server, probe));
    }
}

fn to_state<E: RouterEnvironment>(
    state: &RouterState<E>,
    server: ServerId,
    probe: &ServerProbe,
) -> catkin_control::ServerReport {
    catkin_control::ServerReport {
        server,
        incarnation: probe.incarnation,
        models: probe.models.clone(),
        fence: probe.fence,
        undone: state.dispatcher.take_undone_on(server),
    }
}

fn to_report(probe: &ServerProbe) -> ServerReport {
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

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
use crate::orders::report_state;
use crate::parts::RouterParts;
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
    parts: Arc<RouterParts<E>>,
    suspects: flume::Receiver<CrashSuspicion>,
) {
    let mut memories = BTreeMap::new();
    let mut probes = JoinSet::new();
    let mut ticks = interval_at(Instant::now(), PROBE_INTERVAL);
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => probe_owned(&parts, &mut probes),
            Ok(suspicion) = suspects.recv_async() => {
                spawn_probe(&parts, &mut probes, suspicion.server, Some(suspicion));
            }
            Some(Ok(end)) = probes.join_next() => take_probe(&parts, &mut memories, &end),
        }
    }
}

fn probe_owned<E: RouterEnvironment>(parts: &Arc<RouterParts<E>>, probes: &mut JoinSet<ProbeEnd>) {
    let now = parts.now();
    let states = parts.control().owner.server_states(now);
    for state in states {
        spawn_probe(parts, probes, state.server, None);
    }
}

fn spawn_probe<E: RouterEnvironment>(
    parts: &Arc<RouterParts<E>>,
    probes: &mut JoinSet<ProbeEnd>,
    server: ServerId,
    suspicion: Option<CrashSuspicion>,
) {
    let Some(address) = server_address(parts, server) else { return };
    let parts = Arc::clone(parts);
    probes.spawn(async move {
        let after_event = parts.control().owner.last_event(server);
        let result = parts.backend.probe(address, after_event, PROBE_TIMEOUT).await;
        ProbeEnd { server, suspicion, result }
    });
}

fn server_address<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    server: ServerId,
) -> Option<SocketAddr> {
    parts.index()?.server(server).map(|entry| entry.address)
}

fn take_probe<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    memories: &mut BTreeMap<ServerId, ProbeMemory>,
    end: &ProbeEnd,
) {
    let now = parts.now();
    let memory = memories.entry(end.server).or_default();
    let crashed = match &end.result {
        Ok(probe) => {
            parts.control().owner.record_probe(now, end.server, &to_report(probe));
            report_if_due(parts, memory, end.server, probe);
            let known = std::mem::replace(&mut memory.incarnation, probe.incarnation);
            known != 0 && known != probe.incarnation
        }
        Err(_) => {
            parts.control().owner.record_probe_failure(now, end.server);
            true
        }
    };
    if let Some(suspicion) = end.suspicion.filter(|_| crashed) {
        confirm_strike(parts, suspicion);
    }
    parts.admission_due.notify_one();
}

fn report_if_due<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    memory: &mut ProbeMemory,
    server: ServerId,
    probe: &ServerProbe,
) {
    let now = parts.now();
    let fresh = memory.reported.is_some_and(|at| now.millis_since(at) < STATE_INTERVAL_MILLIS);
    if !fresh || memory.incarnation != probe.incarnation {
        memory.reported = Some(now);
        report_state(parts, &to_state(parts, server, probe));
    }
}

fn to_state<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    server: ServerId,
    probe: &ServerProbe,
) -> catkin_control::ServerReport {
    catkin_control::ServerReport {
        server,
        incarnation: probe.incarnation,
        models: probe.models.clone(),
        fence: probe.fence,
        undone: parts.courier.take_undone_on(server),
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

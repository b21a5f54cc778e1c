//! Connections of callers: which ones end to make room for new ones, and when the router has no room.
//!
//! It answers a load of many callers that keep their connections open and send little: they take all
//! connections that the memory and the file descriptors allow, and new callers wait until idle ones time out.
//! A part of the connections is kept free: from [`LAST_ANSWER_FRACTION`] on, answers end their connections, from
//! [`CLOSE_FRACTION`] on, connections without a request end, the longest idle first, since their callers most
//! likely send nothing at that moment. If nearly all have a request, the router is not ready.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkin_base::{ClockTime, copy_type};

/// File descriptors reserved for everything but callers.
const RESERVED_DESCRIPTORS: u64 = 600;
/// Number of caller connections that are accepted regardless of the limits.
const MIN_CONNECTIONS: u64 = 16;
/// Fraction of the memory that caller connections may take.
const CONNECTIONS_MEMORY_FRACTION: f64 = 0.5;
/// Memory assumed for each caller connection, in bytes: its read-ahead, `READ_AHEAD_BYTES` of
/// `caller`. Request bodies and buffered answers take more.
const CONNECTION_BYTES: f64 = 65_536.0;
/// Fraction of the limit from which on answers end their connections.
const LAST_ANSWER_FRACTION: f64 = 0.75;
/// Fraction of the limit from which on idle connections end.
const CLOSE_FRACTION: f64 = 0.875;
/// Fraction of the limit, taken by connections that can't end, from which on the router is not ready.
const FULL_FRACTION: f64 = 0.9375;
/// The fraction below which it is ready again.
const ROOM_FRACTION: f64 = 0.875;
/// Time for which a connection stays without a request: a new caller sends its first one in it, and one that
/// sends request after request the next.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);

copy_type! {
    /// Identifies a connection of a caller since the start of the router.
    pub struct CallerId(u64);
}

/// The open connections of callers. `S` is what tells a connection to end.
#[derive(Debug)]
pub struct CallerTable<S> {
    limit: usize,
    last_id: u64,
    callers: BTreeMap<CallerId, OpenCaller<S>>,
    /// Connections without a request that were not told to end, by the begin of their wait.
    idle: BTreeSet<(ClockTime, CallerId)>,
    /// Number of connections that were told to end.
    ending: usize,
    full: bool,
}

#[derive(Debug)]
struct OpenCaller<S> {
    signal: S,
    phase: CallerPhase,
}

copy_type! {
    enum CallerPhase {
        /// Without a request since that time.
        Idle(ClockTime),
        /// A request is read or runs.
        Busy,
        /// Told to end.
        Ending,
    }
}

/// Returns the number of caller connections that file descriptors and memory allow.
pub fn count_allowed_callers(descriptors: u64, memory_megabytes: f64) -> usize {
    let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let bytes = memory_megabytes * 1e6 * CONNECTIONS_MEMORY_FRACTION;
    let by_memory = (bytes / CONNECTION_BYTES) as u64;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS) as usize
}

impl<S: Clone> CallerTable<S> {
    /// Creates a table for so many connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            last_id: 0,
            callers: BTreeMap::new(),
            idle: BTreeSet::new(),
            ending: 0,
            full: false,
        }
    }

    /// Adds a connection that waits for its first request.
    pub fn open(&mut self, signal: S, now: ClockTime) -> CallerId {
        self.last_id += 1;
        let id = CallerId(self.last_id);
        self.callers.insert(id, OpenCaller { signal, phase: CallerPhase::Idle(now) });
        self.idle.insert((now, id));
        id
    }

    /// Removes a connection that ended.
    pub fn remove(&mut self, id: CallerId) {
        self.leave_phase(id, CallerPhase::Busy);
        self.callers.remove(&id);
    }

    /// Records that a connection waits for a request from now on.
    pub fn begin_wait(&mut self, id: CallerId, now: ClockTime) {
        if self.leave_phase(id, CallerPhase::Idle(now)) {
            self.idle.insert((now, id));
        }
    }

    /// Records that the first bytes of a request arrived.
    pub fn begin_request(&mut self, id: CallerId) {
        self.leave_phase(id, CallerPhase::Busy);
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    /// Whether one more connection may be accepted.
    pub fn has_room(&self) -> bool {
        self.callers.len() < self.limit
    }

    /// Whether answers end their connections.
    pub fn ends_answered(&self) -> bool {
        self.callers.len() >= self.count_of(LAST_ANSWER_FRACTION)
    }

    /// Takes the connections that are to end now, the longest idle first, and returns their signals.
    pub fn take_excess(&mut self, now: ClockTime) -> Vec<S> {
        let staying = self.callers.len() - self.ending;
        let excess = (staying + 1).saturating_sub(self.count_of(CLOSE_FRACTION));
        let oldest: Vec<CallerId> = self.list_closable(now).take(excess).collect();
        let mut signals = Vec::with_capacity(oldest.len());
        for id in oldest {
            self.leave_phase(id, CallerPhase::Ending);
            self.ending += 1;
            signals.extend(self.callers.get(&id).map(|caller| caller.signal.clone()));
        }
        signals
    }

    /// What [`update_full`](Self::update_full) returned last.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Whether there is no room for new callers, since nearly all connections have a request.
    pub fn update_full(&mut self, now: ClockTime) -> bool {
        let held = self.callers.len() - self.ending - self.list_closable(now).count();
        let fraction = if self.full { ROOM_FRACTION } else { FULL_FRACTION };
        self.full = held >= self.count_of(fraction);
        self.full
    }

    fn count_of(&self, fraction: f64) -> usize {
        (self.limit as f64 * fraction) as usize
    }

    /// Lists the connections that may end, the longest idle first.
    fn list_closable(&self, now: ClockTime) -> impl Iterator<Item = CallerId> {
        let idle =
            self.idle.iter().take_while(move |(since, _)| now.since(*since) >= MIN_IDLE_TIME);
        idle.map(|(_, id)| *id)
    }

    /// Moves a connection to a phase. Returns false for one that is not open.
    fn leave_phase(&mut self, id: CallerId, next: CallerPhase) -> bool {
        let Some(caller) = self.callers.get_mut(&id) else { return false };
        match caller.phase {
            CallerPhase::Idle(since) => {
                self.idle.remove(&(since, id));
            }
            CallerPhase::Busy => {}
            CallerPhase::Ending => self.ending -= 1,
        }
        caller.phase = next;
        true
    }
}

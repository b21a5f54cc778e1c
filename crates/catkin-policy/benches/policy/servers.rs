//! Actual state of the servers, which routers know only from probes and events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use catkin_base::{ChatId, ClockTime, PoolId, RequestId, ServerId};
use catkin_policy::{CacheEvent, ServerReport, admission_bound};

use super::deployment::Deployment;

/// Time after its start at which a server is counted in the mean load.
const JOIN_GRACE_MILLIS: u64 = 3_000;
/// Maximum number of cache events that a server retains for later probes.
const MAX_CACHE_EVENTS: usize = 512;

/// State of all servers.
#[derive(Debug)]
pub struct ServerSet {
    pub servers: Vec<SimulatedServer>,
    pool_members: Vec<Vec<usize>>,
    bound_percent: u32,
}

/// State of one server.
#[derive(Debug)]
pub struct SimulatedServer {
    pub up: bool,
    pub leaving: bool,
    pub incarnation: u64,
    pub open: BTreeSet<RequestId>,
    pub slots: u32,
    /// Time of the last start; none if it has been up since the start of the run.
    up_since: Option<ClockTime>,
    /// Cached chats with the number of their last use.
    cache: BTreeMap<ChatId, u64>,
    /// Cached chats from the least to the most recently used.
    cache_order: BTreeMap<u64, ChatId>,
    cache_limit: usize,
    use_count: u64,
    events: VecDeque<CacheEvent>,
    event_sequence: u64,
    last_report: ServerReport,
}

/// Total load of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolTotal {
    pub open: u32,
    pub weight: u32,
}

impl PoolTotal {
    /// Mean number of open requests per unit of weight.
    pub fn mean(self) -> f64 {
        f64::from(self.open) / f64::from(self.weight.max(1))
    }
}

impl ServerSet {
    pub fn new(deployment: &Deployment) -> Self {
        let servers =
            deployment.servers.iter().map(|spec| SimulatedServer::new(spec.slots, deployment));
        let mut pool_members = vec![Vec::new(); deployment.pools];
        for (index, spec) in deployment.servers.iter().enumerate() {
            pool_members[spec.pools[0].0 as usize].push(index);
        }
        Self {
            servers: servers.collect(),
            pool_members,
            bound_percent: deployment.rules.bound_percent,
        }
    }

    pub fn server(&self, server: ServerId) -> &SimulatedServer {
        &self.servers[server.0 as usize - 1]
    }

    pub fn server_mut(&mut self, server: ServerId) -> &mut SimulatedServer {
        &mut self.servers[server.0 as usize - 1]
    }

    /// Indexes of the servers of a pool.
    pub fn members(&self, pool: PoolId) -> &[usize] {
        &self.pool_members[pool.0 as usize]
    }

    /// Total load of the servers of a pool that are counted.
    pub fn pool_total(&self, now: ClockTime, pool: PoolId) -> PoolTotal {
        let members = self.members(pool).iter().map(|index| &self.servers[*index]);
        let counted = members.filter(|server| server.is_counted(now));
        counted.fold(PoolTotal { open: 0, weight: 0 }, |total, server| PoolTotal {
            open: total.open + server.open.len() as u32,
            weight: total.weight + 1,
        })
    }

    /// Maximum number of open requests on a server of the pool, from the actual mean load.
    pub fn bound(&self, now: ClockTime, pool: PoolId) -> u32 {
        let total = self.pool_total(now, pool);
        admission_bound(total.open, total.weight, 1, self.bound_percent)
    }
}

impl SimulatedServer {
    fn new(slots: u32, deployment: &Deployment) -> Self {
        Self {
            up: true,
            leaving: false,
            incarnation: 1,
            open: BTreeSet::new(),
            slots,
            up_since: None,
            cache: BTreeMap::new(),
            cache_order: BTreeMap::new(),
            cache_limit: deployment.cached_chats,
            use_count: 0,
            events: VecDeque::new(),
            event_sequence: 0,
            last_report: build_empty_report(),
        }
    }

    /// Whether the server is counted in the mean load.
    pub fn is_counted(&self, now: ClockTime) -> bool {
        let join_over =
            self.up_since.is_none_or(|since| now.millis_since(since) >= JOIN_GRACE_MILLIS);
        self.up && !self.leaving && join_over
    }

    /// Whether new requests may be sent to the server.
    pub fn accepts_requests(&self) -> bool {
        self.up && !self.leaving
    }

    /// Whether the chat's prefix is in the cache.
    pub fn has_cached(&self, chat: ChatId) -> bool {
        self.cache.contains_key(&chat)
    }

    /// Marks a chat as used and caches its prefix, evicting the least recently used chat if the
    /// cache is full. Returns whether the prefix was in the cache.
    pub fn use_chat(&mut self, chat: ChatId) -> bool {
        self.use_count += 1;
        let known = self.cache.insert(chat, self.use_count);
        if let Some(used_at) = known {
            self.cache_order.remove(&used_at);
        }
        self.cache_order.insert(self.use_count, chat);
        if known.is_none() {
            self.push_event(chat, true);
        }
        if self.cache.len() > self.cache_limit
            && let Some((_, evicted)) = self.cache_order.pop_first()
        {
            self.cache.remove(&evicted);
            self.push_event(evicted, false);
        }
        known.is_some()
    }

    /// Stops the server at once and returns its open requests, which are lost.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.up = false;
        std::mem::take(&mut self.open).into_iter().collect()
    }

    /// Starts the server with a new incarnation and an empty cache.
    pub fn start(&mut self, now: ClockTime) {
        self.up = true;
        self.leaving = false;
        self.up_since = Some(now);
        self.incarnation += 1;
        self.cache.clear();
        self.cache_order.clear();
        self.events.clear();
        self.event_sequence = 0;
        self.refresh_report();
    }

    /// Replaces the report that probes read by the current state.
    pub fn refresh_report(&mut self) {
        self.last_report = ServerReport {
            incarnation: self.incarnation,
            open: self.open.len() as u32,
            leaving: self.leaving,
            event_sequence: self.event_sequence,
            events: self.events.iter().copied().collect(),
        };
    }

    /// Returns the report of the last refresh, with the events after sequence number `after` for
    /// which `is_delivered` returns true.
    pub fn report_since(&self, after: u64, mut is_delivered: impl FnMut() -> bool) -> ServerReport {
        let events = self.last_report.events.iter().filter(|event| event.sequence > after);
        let events = events.filter(|_| is_delivered()).copied().collect();
        ServerReport { events, ..self.last_report }
    }

    fn push_event(&mut self, chat: ChatId, cached: bool) {
        self.event_sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.event_sequence, chat, cached });
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}

fn build_empty_report() -> ServerReport {
    ServerReport { incarnation: 1, open: 0, leaving: false, event_sequence: 0, events: Vec::new() }
}

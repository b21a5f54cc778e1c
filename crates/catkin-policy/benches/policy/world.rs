//! What is true of the servers, whatever routers believe.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use catkin_base::{ChatId, ClockTime, PoolId, RequestId, ServerId};
use catkin_policy::{CacheEvent, ServerReport, admission_bound};

use super::deployment::Deployment;

/// Time after which a server that came up counts in the mean, in milliseconds.
const JOIN_MILLIS: u64 = 3_000;
/// Cache events kept by a server for late readers.
const KEPT_EVENTS: usize = 512;

/// State of all servers.
#[derive(Debug)]
pub struct ServerWorld {
    pub servers: Vec<WorldServer>,
    pool_members: Vec<Vec<usize>>,
    bound_percent: u32,
}

/// State of one server.
#[derive(Debug)]
pub struct WorldServer {
    pub up: bool,
    pub leaving: bool,
    pub incarnation: u64,
    pub open: BTreeSet<RequestId>,
    pub slots: u32,
    up_since: Option<ClockTime>,
    cache: BTreeMap<ChatId, u64>,
    cache_order: BTreeMap<u64, ChatId>,
    cache_limit: usize,
    clock: u64,
    events: VecDeque<CacheEvent>,
    event_sequence: u64,
    published: ServerReport,
}

/// Mean load of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolMean {
    pub open: u32,
    pub weight: u32,
}

impl PoolMean {
    pub fn mean(self) -> f64 {
        f64::from(self.open) / f64::from(self.weight.max(1))
    }
}

impl ServerWorld {
    pub fn new(deployment: &Deployment) -> Self {
        let servers =
            deployment.servers.iter().map(|spec| WorldServer::new(spec.slots, deployment));
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

    pub fn server(&self, server: ServerId) -> &WorldServer {
        &self.servers[server.0 as usize - 1]
    }

    pub fn server_mut(&mut self, server: ServerId) -> &mut WorldServer {
        &mut self.servers[server.0 as usize - 1]
    }

    pub fn members(&self, pool: PoolId) -> &[usize] {
        &self.pool_members[pool.0 as usize]
    }

    pub fn mean(&self, now: ClockTime, pool: PoolId) -> PoolMean {
        let members = self.members(pool).iter().map(|index| &self.servers[*index]);
        let counted = members.filter(|server| server.counts(now));
        counted.fold(PoolMean { open: 0, weight: 0 }, |sum, server| PoolMean {
            open: sum.open + server.open.len() as u32,
            weight: sum.weight + 1,
        })
    }

    /// Most requests that a server of the pool may carry by the true mean.
    pub fn bound(&self, now: ClockTime, pool: PoolId) -> u32 {
        let mean = self.mean(now, pool);
        admission_bound(mean.open, mean.weight, 1, self.bound_percent)
    }
}

impl WorldServer {
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
            clock: 0,
            events: VecDeque::new(),
            event_sequence: 0,
            published: empty_report(),
        }
    }

    /// Whether it counts in the mean.
    pub fn counts(&self, now: ClockTime) -> bool {
        let joined = self.up_since.is_none_or(|since| now.millis_since(since) >= JOIN_MILLIS);
        self.up && !self.leaving && joined
    }

    pub fn takes_work(&self) -> bool {
        self.up && !self.leaving
    }

    pub fn holds(&self, chat: ChatId) -> bool {
        self.cache.contains_key(&chat)
    }

    /// Uses a chat's prefix; true if it was in the cache.
    pub fn use_chat(&mut self, chat: ChatId) -> bool {
        self.clock += 1;
        let known = self.cache.insert(chat, self.clock);
        if let Some(at) = known {
            self.cache_order.remove(&at);
        }
        self.cache_order.insert(self.clock, chat);
        if known.is_none() {
            self.publish_event(chat, true);
        }
        if self.cache.len() > self.cache_limit
            && let Some((_, evicted)) = self.cache_order.pop_first()
        {
            self.cache.remove(&evicted);
            self.publish_event(evicted, false);
        }
        known.is_some()
    }

    /// Stops it at once: requests end and the cache is lost.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.up = false;
        std::mem::take(&mut self.open).into_iter().collect()
    }

    pub fn start(&mut self, now: ClockTime) {
        self.up = true;
        self.leaving = false;
        self.up_since = Some(now);
        self.incarnation += 1;
        self.cache.clear();
        self.cache_order.clear();
        self.events.clear();
        self.event_sequence = 0;
        self.publish();
    }

    /// Refreshes the late report that probes read.
    pub fn publish(&mut self) {
        self.published = ServerReport {
            incarnation: self.incarnation,
            open: self.open.len() as u32,
            leaving: self.leaving,
            event_sequence: self.event_sequence,
            events: self.events.iter().copied().collect(),
        };
    }

    /// The report as of the last refresh, with events after `after` and those that `kept` keeps.
    pub fn report(&self, after: u64, mut kept: impl FnMut() -> bool) -> ServerReport {
        let events = self.published.events.iter().filter(|note| note.sequence > after);
        let events = events.filter(|_| kept()).copied().collect();
        ServerReport { events, ..self.published }
    }

    fn publish_event(&mut self, chat: ChatId, cached: bool) {
        self.event_sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.event_sequence, chat, cached });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

fn empty_report() -> ServerReport {
    ServerReport { incarnation: 1, open: 0, leaving: false, event_sequence: 0, events: Vec::new() }
}

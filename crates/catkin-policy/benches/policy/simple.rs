//! Simple strategies for comparison. They decide without messages, from the local state of one
//! router or from the actual state of all servers.

use std::collections::{BTreeMap, VecDeque};

use catkin_base::{PoolId, RequestId, ServerId};
use catkin_policy::{RankTable, admission_bound};
use rand::Rng;

use super::deployment::Deployment;
use super::scenario::Fault;
use super::simulator::{EventSimulator, OpenRequest, PlacementStrategy};
use super::trace::TraceRequest;

/// Interval at which the omniscient strategy retries the requests that found no server.
const RETRY_INTERVAL_MILLIS: u64 = 10;

/// Rule by which a simple strategy chooses a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimpleRule {
    /// A random server.
    Random,
    /// The first server in the chat's ranking, whatever its load.
    Rendezvous,
    /// The first server in the ranking whose load is below the bound, where the load and the bound
    /// count only the router's own requests.
    LocalBounded,
    /// The less loaded of two random servers, by actual load.
    TwoChoices,
    /// The first server with free capacity by actual load, with those that cached the chat first.
    Omniscient,
}

/// A strategy that knows the state it needs without delay. Each server queues requests that exceed
/// its slots.
pub struct SimpleStrategy {
    rule: SimpleRule,
    tables: Vec<RankTable>,
    /// Open requests of each router by server.
    local_loads: Vec<BTreeMap<ServerId, u32>>,
    /// Index of the entry router of each request.
    entry_routers: BTreeMap<RequestId, usize>,
    queues: Vec<VecDeque<RequestId>>,
    /// Requests that found no server.
    waiting: VecDeque<RequestId>,
}

/// Event at which the requests that found no server are retried.
#[derive(Debug, Clone, Copy)]
pub struct RetryTick;

impl SimpleStrategy {
    pub fn new(rule: SimpleRule, deployment: &Deployment) -> Self {
        let tables = (0..deployment.pools).map(|pool| {
            let pool = PoolId(pool as u64);
            RankTable::new(deployment.servers.iter().filter(|spec| spec.pools.contains(&pool)))
        });
        Self {
            rule,
            tables: tables.collect(),
            local_loads: vec![BTreeMap::new(); deployment.routers.len()],
            entry_routers: BTreeMap::new(),
            queues: vec![VecDeque::new(); deployment.servers.len()],
            waiting: VecDeque::new(),
        }
    }

    fn choose_server(
        &self,
        simulator: &mut EventSimulator<RetryTick>,
        request: &TraceRequest,
        router: usize,
    ) -> Option<ServerId> {
        let table = &self.tables[request.pool.0 as usize];
        let available: Vec<ServerId> = table
            .rank(request.chat, table.len())
            .into_iter()
            .filter(|server| simulator.server_set.server(*server).accepts_requests())
            .collect();
        match self.rule {
            SimpleRule::Random => draw_server(simulator, &available),
            SimpleRule::Rendezvous => available.first().copied(),
            SimpleRule::LocalBounded => self.choose_local(simulator, &available, router),
            SimpleRule::TwoChoices => {
                let pair =
                    [draw_server(simulator, &available)?, draw_server(simulator, &available)?];
                pair.into_iter()
                    .min_by_key(|server| simulator.server_set.server(*server).open.len())
            }
            SimpleRule::Omniscient => choose_omniscient(simulator, request, &available),
        }
    }

    fn choose_local(
        &self,
        simulator: &EventSimulator<RetryTick>,
        available: &[ServerId],
        router: usize,
    ) -> Option<ServerId> {
        let loads = &self.local_loads[router];
        let total: u32 = available.iter().filter_map(|server| loads.get(server)).sum();
        let percent = simulator.deployment.rules.bound_percent;
        let bound = admission_bound(total + 1, available.len() as u32, 1, percent);
        let load = |server: &ServerId| loads.get(server).copied().unwrap_or(0);
        available.iter().copied().find(|server| load(server) < bound)
    }

    fn send_request(
        &mut self,
        simulator: &mut EventSimulator<RetryTick>,
        request: &TraceRequest,
        server: ServerId,
    ) {
        let limit = simulator.server_set.server(server).slots as usize;
        if self.rule != SimpleRule::Omniscient
            && simulator.server_set.server(server).open.len() >= limit
        {
            self.queues[server.0 as usize - 1].push_back(request.request);
            return;
        }
        simulator.admit_request(request.request, server, request.pool);
        simulator.start_request(request.request, server);
    }

    fn forget_request(&mut self, request: &OpenRequest) {
        let router = self.entry_routers.remove(&request.trace.request);
        if let (Some(router), Some(server)) = (router, request.server) {
            let load = self.local_loads[router].entry(server).or_default();
            *load = load.saturating_sub(1);
        }
    }

    fn send_queued(&mut self, simulator: &mut EventSimulator<RetryTick>, server: ServerId) {
        while let Some(request) = self.queues[server.0 as usize - 1].pop_front() {
            if let Some(open) = simulator.open_request(request).copied() {
                self.send_request(simulator, &open.trace, server);
                return;
            }
        }
    }
}

impl PlacementStrategy for SimpleStrategy {
    type Event = RetryTick;

    fn start_run(&mut self, simulator: &mut EventSimulator<RetryTick>) {
        if self.rule == SimpleRule::Omniscient {
            simulator.schedule(simulator.now.plus_millis(RETRY_INTERVAL_MILLIS), RetryTick);
        }
    }

    fn handle_arrival(
        &mut self,
        simulator: &mut EventSimulator<RetryTick>,
        request: &TraceRequest,
    ) {
        let router = simulator.random.random_range(0..self.local_loads.len());
        let Some(server) = self.choose_server(simulator, request, router) else {
            self.waiting.push_back(request.request);
            return;
        };
        *self.local_loads[router].entry(server).or_default() += 1;
        self.entry_routers.insert(request.request, router);
        self.send_request(simulator, request, server);
    }

    fn handle_event(&mut self, simulator: &mut EventSimulator<RetryTick>, _tick: RetryTick) {
        simulator.schedule(simulator.now.plus_millis(RETRY_INTERVAL_MILLIS), RetryTick);
        for request in std::mem::take(&mut self.waiting) {
            if let Some(open) = simulator.open_request(request).copied() {
                self.handle_arrival(simulator, &open.trace);
            }
        }
    }

    fn handle_finish(&mut self, simulator: &mut EventSimulator<RetryTick>, request: &OpenRequest) {
        self.forget_request(request);
        if let Some(server) = request.server {
            self.send_queued(simulator, server);
        }
    }

    fn handle_loss(&mut self, _simulator: &mut EventSimulator<RetryTick>, request: &OpenRequest) {
        self.forget_request(request);
    }

    fn handle_fault(&mut self, simulator: &mut EventSimulator<RetryTick>, fault: Fault) {
        let (Fault::ServerCrash(server) | Fault::ServerStop(server)) = fault else {
            return;
        };
        for request in std::mem::take(&mut self.queues[server]) {
            if let Some(open) = simulator.open_request(request).copied() {
                self.handle_arrival(simulator, &open.trace);
            }
        }
    }
}

fn draw_server(
    simulator: &mut EventSimulator<RetryTick>,
    available: &[ServerId],
) -> Option<ServerId> {
    if available.is_empty() {
        return None;
    }
    Some(available[simulator.random.random_range(0..available.len())])
}

fn choose_omniscient(
    simulator: &EventSimulator<RetryTick>,
    request: &TraceRequest,
    available: &[ServerId],
) -> Option<ServerId> {
    let bound = simulator.server_set.bound(simulator.now, request.pool) as usize;
    let has_capacity = |server: &ServerId| {
        let server = simulator.server_set.server(*server);
        server.open.len() < bound.min(server.slots as usize)
    };
    let warm = available
        .iter()
        .filter(|server| simulator.server_set.server(**server).has_cached(request.chat));
    let mut choices = warm.chain(available.iter()).copied();
    choices.find(has_capacity)
}

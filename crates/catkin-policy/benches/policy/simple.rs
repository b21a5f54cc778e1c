//! Ways that decide at once, on what one router sees or on the whole truth.

use std::collections::{BTreeMap, VecDeque};

use catkin_base::{PoolId, RequestId, ServerId};
use catkin_policy::{RankTable, admission_bound};
use rand::Rng;

use super::deployment::Deployment;
use super::scenario::Fault;
use super::stage::{OpenRequest, PlacementWay, Stage};
use super::trace::TraceRequest;

/// Interval at which the omniscient way looks again for room, in milliseconds.
const RETRY_MILLIS: u64 = 10;

/// Rule of a simple way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SimpleRule {
    /// Any server, drawn at random.
    Random,
    /// The first-ranked server, whatever its load.
    Rendezvous,
    /// The first in rank whose open requests of this router are under the bound of this router.
    LocalBounded,
    /// The less loaded of two drawn at random, by true load.
    TwoChoices,
    /// A warm server if it has room, else the first in rank with room, by true load.
    Omniscient,
}

/// A way with instantaneous knowledge, and a queue at each server for work beyond its slots.
pub struct SimpleWay {
    rule: SimpleRule,
    tables: Vec<RankTable>,
    local: Vec<BTreeMap<ServerId, u32>>,
    entries: BTreeMap<RequestId, usize>,
    queues: Vec<VecDeque<RequestId>>,
    waiting: VecDeque<RequestId>,
}

/// Looks again for room.
#[derive(Debug, Clone, Copy)]
pub struct RetryTick;

impl SimpleWay {
    pub fn new(rule: SimpleRule, deployment: &Deployment) -> Self {
        let tables = (0..deployment.pools).map(|pool| {
            let pool = PoolId(pool as u64);
            RankTable::new(deployment.servers.iter().filter(|spec| spec.pools.contains(&pool)))
        });
        Self {
            rule,
            tables: tables.collect(),
            local: vec![BTreeMap::new(); deployment.routers.len()],
            entries: BTreeMap::new(),
            queues: vec![VecDeque::new(); deployment.servers.len()],
            waiting: VecDeque::new(),
        }
    }

    fn choose(
        &self,
        stage: &mut Stage<RetryTick>,
        request: &TraceRequest,
        router: usize,
    ) -> Option<ServerId> {
        let table = &self.tables[request.pool.0 as usize];
        let live: Vec<ServerId> = table
            .rank(request.chat, table.len())
            .into_iter()
            .filter(|server| stage.world.server(*server).takes_work())
            .collect();
        match self.rule {
            SimpleRule::Random => draw(stage, &live),
            SimpleRule::Rendezvous => live.first().copied(),
            SimpleRule::LocalBounded => self.choose_local(stage, &live, router),
            SimpleRule::TwoChoices => {
                let pair = [draw(stage, &live)?, draw(stage, &live)?];
                pair.into_iter().min_by_key(|server| stage.world.server(*server).open.len())
            }
            SimpleRule::Omniscient => choose_knowing(stage, request, &live),
        }
    }

    fn choose_local(
        &self,
        stage: &Stage<RetryTick>,
        live: &[ServerId],
        router: usize,
    ) -> Option<ServerId> {
        let local = &self.local[router];
        let total: u32 = live.iter().filter_map(|server| local.get(server)).sum();
        let percent = stage.deployment.rules.bound_percent;
        let bound = admission_bound(total + 1, live.len() as u32, 1, percent);
        let load = |server: &ServerId| local.get(server).copied().unwrap_or(0);
        live.iter().copied().find(|server| load(server) < bound)
    }

    fn send(&mut self, stage: &mut Stage<RetryTick>, request: &TraceRequest, server: ServerId) {
        let limit = stage.world.server(server).slots as usize;
        if self.rule != SimpleRule::Omniscient && stage.world.server(server).open.len() >= limit {
            self.queues[server.0 as usize - 1].push_back(request.request);
            return;
        }
        stage.admit(request.request, server, request.pool);
        stage.start(request.request, server);
    }

    fn forget(&mut self, request: &OpenRequest) {
        let router = self.entries.remove(&request.trace.request);
        if let (Some(router), Some(server)) = (router, request.server) {
            let load = self.local[router].entry(server).or_default();
            *load = load.saturating_sub(1);
        }
    }

    fn send_queued(&mut self, stage: &mut Stage<RetryTick>, server: ServerId) {
        while let Some(request) = self.queues[server.0 as usize - 1].pop_front() {
            if let Some(open) = stage.open_request(request).copied() {
                self.send(stage, &open.trace, server);
                return;
            }
        }
    }
}

impl PlacementWay for SimpleWay {
    type Event = RetryTick;

    fn begin(&mut self, stage: &mut Stage<RetryTick>) {
        if self.rule == SimpleRule::Omniscient {
            stage.schedule(stage.now.plus_millis(RETRY_MILLIS), RetryTick);
        }
    }

    fn arrive(&mut self, stage: &mut Stage<RetryTick>, request: &TraceRequest) {
        let router = stage.random.random_range(0..self.local.len());
        let Some(server) = self.choose(stage, request, router) else {
            self.waiting.push_back(request.request);
            return;
        };
        *self.local[router].entry(server).or_default() += 1;
        self.entries.insert(request.request, router);
        self.send(stage, request, server);
    }

    fn handle(&mut self, stage: &mut Stage<RetryTick>, _tick: RetryTick) {
        stage.schedule(stage.now.plus_millis(RETRY_MILLIS), RetryTick);
        for request in std::mem::take(&mut self.waiting) {
            if let Some(open) = stage.open_request(request).copied() {
                self.arrive(stage, &open.trace);
            }
        }
    }

    fn finish(&mut self, stage: &mut Stage<RetryTick>, request: &OpenRequest) {
        self.forget(request);
        if let Some(server) = request.server {
            self.send_queued(stage, server);
        }
    }

    fn lose(&mut self, _stage: &mut Stage<RetryTick>, request: &OpenRequest) {
        self.forget(request);
    }

    fn fault(&mut self, stage: &mut Stage<RetryTick>, fault: Fault) {
        let (Fault::ServerCrash(server) | Fault::ServerStop(server)) = fault else {
            return;
        };
        for request in std::mem::take(&mut self.queues[server]) {
            if let Some(open) = stage.open_request(request).copied() {
                self.arrive(stage, &open.trace);
            }
        }
    }
}

fn draw(stage: &mut Stage<RetryTick>, live: &[ServerId]) -> Option<ServerId> {
    if live.is_empty() {
        return None;
    }
    Some(live[stage.random.random_range(0..live.len())])
}

fn choose_knowing(
    stage: &Stage<RetryTick>,
    request: &TraceRequest,
    live: &[ServerId],
) -> Option<ServerId> {
    let bound = stage.world.bound(stage.now, request.pool) as usize;
    let has_room = |server: &ServerId| {
        let server = stage.world.server(*server);
        server.open.len() < bound.min(server.slots as usize)
    };
    let warm = live.iter().filter(|server| stage.world.server(**server).holds(request.chat));
    let mut choices = warm.chain(live.iter()).copied();
    choices.find(has_room)
}

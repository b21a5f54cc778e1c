//! Event loop of one run: requests, servers and faults, common to all ways.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use catkin_base::{ClockTime, PoolId, RefusalReason, RequestId, ServerId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;
use super::measure::RunMeasures;
use super::scenario::{Fault, Scenario};
use super::trace::{TraceRequest, TraceSource, deadline_of};
use super::world::ServerWorld;

/// Time after a deadline at which an unanswered request counts as starved, in milliseconds.
const STARVED_MILLIS: u64 = 1_000;

/// A way to place requests.
pub trait PlacementWay {
    /// Events of the way's own.
    type Event;

    fn begin(&mut self, stage: &mut Stage<Self::Event>);
    fn arrive(&mut self, stage: &mut Stage<Self::Event>, request: &TraceRequest);
    fn handle(&mut self, stage: &mut Stage<Self::Event>, event: Self::Event);
    /// A request ended on its server.
    fn finish(&mut self, stage: &mut Stage<Self::Event>, request: &OpenRequest);
    /// A request was lost with its server.
    fn lose(&mut self, stage: &mut Stage<Self::Event>, request: &OpenRequest);
    fn fault(&mut self, stage: &mut Stage<Self::Event>, fault: Fault);
}

/// Length of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunSpan {
    pub warm_up_millis: u64,
    pub end_millis: u64,
    pub seed: u64,
}

/// A request that is neither refused nor ended.
#[derive(Debug, Clone, Copy)]
pub struct OpenRequest {
    pub trace: TraceRequest,
    pub arrived: ClockTime,
    pub server: Option<ServerId>,
    pub begun: bool,
}

/// Common state of one run.
pub struct Stage<E> {
    pub now: ClockTime,
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub world: ServerWorld,
    pub measures: RunMeasures,
    pub random: SmallRng,
    pub span: RunSpan,
    open: BTreeMap<RequestId, OpenRequest>,
    source: TraceSource,
    heap: BinaryHeap<Reverse<TimedEvent<E>>>,
    sequence: u64,
}

struct TimedEvent<E> {
    at: ClockTime,
    sequence: u64,
    event: StageEvent<E>,
}

enum StageEvent<E> {
    Arrive,
    Finish(RequestId, ServerId),
    Expire(RequestId),
    Sample,
    Publish,
    Fault(Fault),
    Way(E),
}

impl<E> PartialEq for TimedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for TimedEvent<E> {}

impl<E> PartialOrd for TimedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for TimedEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Plays one run of a way and returns what was measured.
pub fn play<W: PlacementWay>(
    mut way: W,
    deployment: &Deployment,
    scenario: Scenario,
    span: RunSpan,
) -> RunMeasures {
    let mut stage = Stage::new(deployment, scenario, span);
    stage.plan_run();
    way.begin(&mut stage);
    let end = ClockTime::from_millis(span.end_millis);
    while let Some(Reverse(timed)) = stage.heap.pop() {
        if timed.at >= end {
            break;
        }
        stage.now = timed.at;
        stage.run_event(&mut way, timed.event);
    }
    stage.measures
}

impl<E> Stage<E> {
    fn new(deployment: &Deployment, scenario: Scenario, span: RunSpan) -> Self {
        let measured_from = ClockTime::from_millis(span.warm_up_millis);
        Self {
            now: ClockTime::ZERO,
            deployment: deployment.clone(),
            scenario,
            world: ServerWorld::new(deployment),
            measures: RunMeasures::new(measured_from, deployment.routers.len()),
            random: SmallRng::seed_from_u64(span.seed ^ 0x5eed),
            span,
            open: BTreeMap::new(),
            source: TraceSource::new(deployment, SmallRng::seed_from_u64(span.seed)),
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }

    /// Schedules an event of the way.
    pub fn schedule(&mut self, at: ClockTime, event: E) {
        self.push(at, StageEvent::Way(event));
    }

    pub fn open_request(&self, request: RequestId) -> Option<&OpenRequest> {
        self.open.get(&request)
    }

    /// Counts a request on a server, as of its admission.
    pub fn admit(&mut self, request: RequestId, server: ServerId, pool: PoolId) {
        let bound = self.world.bound(self.now, pool);
        let target = self.world.server_mut(server);
        if !target.open.insert(request) {
            return;
        }
        let load = target.open.len() as u32;
        self.measures.admissions += 1;
        self.measures.over_bound += u64::from(load > bound);
    }

    /// Takes a request off a server that it was admitted to but didn't run on.
    pub fn withdraw(&mut self, request: RequestId, server: ServerId) {
        let running =
            self.open.get(&request).is_some_and(|open| open.begun && open.server == Some(server));
        if !running {
            self.world.server_mut(server).open.remove(&request);
        }
    }

    /// Starts an admitted request on its server; false if the server is down.
    pub fn start(&mut self, request: RequestId, server: ServerId) -> bool {
        if !self.world.server(server).up {
            return false;
        }
        let Some(open) = self.open.get_mut(&request) else {
            return true;
        };
        if open.begun {
            self.measures.doubled += 1;
            return true;
        }
        open.begun = true;
        open.server = Some(server);
        let open = *open;
        self.world.server_mut(server).open.insert(request);
        let reused = self.world.server_mut(server).use_chat(open.trace.chat);
        if open.trace.returning {
            self.measures.note_reuse(self.now, reused);
        }
        let wait = self.now.since(open.arrived).as_micros() as u64;
        self.measures.note_wait(self.now, open.trace.class, wait);
        let rules = &self.deployment.rules;
        let prefill =
            u64::from(open.trace.prompt_tokens) * u64::from(rules.prefill_micros_per_token);
        let prefill = if reused { 0 } else { prefill };
        let end = ClockTime(self.now.0 + prefill + open.trace.generate_micros);
        self.push(end, StageEvent::Finish(request, server));
        true
    }

    /// Refuses a request.
    pub fn refuse(&mut self, request: RequestId, reason: RefusalReason) {
        if self.open.remove(&request).is_some() {
            self.measures.note_refusal(self.now, reason);
        }
    }

    /// Forgets a request whose entry router is gone, with its caller's connection.
    pub fn drop_request(&mut self, request: RequestId) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        self.measures.crashed += u64::from(self.measures.is_measured(self.now));
        if let Some(server) = open.server.filter(|_| open.begun) {
            self.world.server_mut(server).open.remove(&request);
        }
    }

    fn push(&mut self, at: ClockTime, event: StageEvent<E>) {
        self.sequence += 1;
        self.heap.push(Reverse(TimedEvent { at, sequence: self.sequence, event }));
    }

    fn plan_run(&mut self) {
        let mut random = SmallRng::seed_from_u64(self.span.seed ^ 0xfa17);
        let from = self.span.warm_up_millis;
        let end = self.span.end_millis;
        let faults = self.scenario.faults(&self.deployment, from, end, &mut random);
        for plan in faults {
            self.push(ClockTime::from_millis(plan.at_millis), StageEvent::Fault(plan.fault));
        }
        self.push(ClockTime::ZERO, StageEvent::Publish);
        self.push(ClockTime::ZERO, StageEvent::Sample);
        self.push(ClockTime::ZERO.plus_millis(1), StageEvent::Arrive);
    }

    fn run_event<W: PlacementWay<Event = E>>(&mut self, way: &mut W, event: StageEvent<E>) {
        match event {
            StageEvent::Arrive => self.run_arrival(way),
            StageEvent::Finish(request, server) => self.run_finish(way, request, server),
            StageEvent::Expire(request) => self.run_expiry(request),
            StageEvent::Sample => self.run_sample(),
            StageEvent::Publish => self.run_publish(),
            StageEvent::Fault(fault) => self.run_fault(way, fault),
            StageEvent::Way(event) => way.handle(self, event),
        }
    }

    fn run_arrival<W: PlacementWay<Event = E>>(&mut self, way: &mut W) {
        let stressed = self.measures.is_measured(self.now);
        let surge = stressed && self.scenario == Scenario::Surge;
        let factor = if stressed { self.scenario.rate_factor() } else { 1.0 };
        let request = self.source.next_request(surge);
        let gap = self.source.next_gap(factor);
        self.push(ClockTime(self.now.0 + gap), StageEvent::Arrive);
        let open = OpenRequest { trace: request, arrived: self.now, server: None, begun: false };
        self.open.insert(request.request, open);
        self.measures.requests += u64::from(stressed);
        let expiry = deadline_of(&request, self.now).plus_millis(STARVED_MILLIS);
        self.push(expiry, StageEvent::Expire(request.request));
        way.arrive(self, &request);
    }

    fn run_finish<W: PlacementWay<Event = E>>(
        &mut self,
        way: &mut W,
        request: RequestId,
        server: ServerId,
    ) {
        if !self.world.server_mut(server).open.remove(&request) {
            return;
        }
        if let Some(open) = self.open.remove(&request) {
            way.finish(self, &open);
        }
    }

    fn run_expiry(&mut self, request: RequestId) {
        if self.open.get(&request).is_some_and(|open| !open.begun) {
            self.open.remove(&request);
            self.measures.starved += 1;
        }
    }

    fn run_sample(&mut self) {
        self.push(self.now.plus_millis(1_000), StageEvent::Sample);
        let pool = PoolId(0);
        let mean = self.world.mean(self.now, pool).mean();
        let members = self.world.members(pool).iter().map(|index| &self.world.servers[*index]);
        let counted = members.filter(|server| server.counts(self.now));
        let busiest = counted.map(|server| server.open.len() as u32).max().unwrap_or(0);
        let bound = self.world.bound(self.now, pool);
        self.measures.note_skew(self.now, busiest, mean, bound);
    }

    fn run_publish(&mut self) {
        let next = self.now.plus_millis(self.scenario.publish_millis());
        self.push(next, StageEvent::Publish);
        for server in &mut self.world.servers {
            server.publish();
        }
    }

    fn run_fault<W: PlacementWay<Event = E>>(&mut self, way: &mut W, fault: Fault) {
        match fault {
            Fault::ServerCrash(server) | Fault::ServerStop(server) => {
                self.crash_server(way, server)
            }
            Fault::ServerStart(server) => self.world.servers[server].start(self.now),
            Fault::ServerLeave(server) => self.world.servers[server].leaving = true,
            _ => {}
        }
        way.fault(self, fault);
    }

    fn crash_server<W: PlacementWay<Event = E>>(&mut self, way: &mut W, server: usize) {
        for request in self.world.servers[server].crash() {
            let Some(open) = self.open.get(&request).copied().filter(|open| open.begun) else {
                continue;
            };
            self.open.remove(&request);
            self.measures.crashed += u64::from(self.measures.is_measured(self.now));
            way.lose(self, &open);
        }
    }
}

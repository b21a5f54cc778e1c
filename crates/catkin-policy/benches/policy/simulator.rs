//! Discrete-event simulator of one run: requests, servers and faults, common to all strategies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use catkin_base::{ClockTime, PoolId, RefusalReason, RequestId, ServerId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;
use super::metrics::RunMetrics;
use super::scenario::{Fault, Scenario};
use super::servers::ServerSet;
use super::trace::{TraceGenerator, TraceRequest, start_deadline};

/// Time after its deadline at which a request that has not started counts as starved.
const STARVED_GRACE_MILLIS: u64 = 1_000;

/// A strategy for choosing the server of each request. The simulator calls it for each event.
pub trait PlacementStrategy {
    /// Events that the strategy schedules for itself.
    type Event;

    /// Schedules the first events.
    fn start_run(&mut self, simulator: &mut EventSimulator<Self::Event>);
    /// A request arrived.
    fn handle_arrival(
        &mut self,
        simulator: &mut EventSimulator<Self::Event>,
        request: &TraceRequest,
    );
    /// An event that the strategy scheduled is due.
    fn handle_event(&mut self, simulator: &mut EventSimulator<Self::Event>, event: Self::Event);
    /// A request finished on its server.
    fn handle_finish(&mut self, simulator: &mut EventSimulator<Self::Event>, request: &OpenRequest);
    /// A request was lost in the crash of its server.
    fn handle_loss(&mut self, simulator: &mut EventSimulator<Self::Event>, request: &OpenRequest);
    /// A fault was injected; the simulator has applied it to the servers.
    fn handle_fault(&mut self, simulator: &mut EventSimulator<Self::Event>, fault: Fault);
}

/// Length of a run and seed of its random numbers.
#[derive(Debug, Clone, Copy)]
pub struct RunSettings {
    pub warm_up_millis: u64,
    pub end_millis: u64,
    pub seed: u64,
}

/// A request that is neither refused, finished nor lost.
#[derive(Debug, Clone, Copy)]
pub struct OpenRequest {
    pub trace: TraceRequest,
    pub arrived: ClockTime,
    pub server: Option<ServerId>,
    pub started: bool,
}

/// State of one run that does not depend on the strategy, and the queue of events.
pub struct EventSimulator<E> {
    pub now: ClockTime,
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub server_set: ServerSet,
    pub metrics: RunMetrics,
    pub random: SmallRng,
    pub settings: RunSettings,
    open: BTreeMap<RequestId, OpenRequest>,
    generator: TraceGenerator,
    events: BinaryHeap<Reverse<TimedEvent<E>>>,
    sequence: u64,
}

struct TimedEvent<E> {
    at: ClockTime,
    sequence: u64,
    event: SimulatorEvent<E>,
}

enum SimulatorEvent<E> {
    Arrive,
    Finish(RequestId, ServerId),
    Expire(RequestId),
    Sample,
    RefreshReports,
    Fault(Fault),
    Strategy(E),
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

/// Simulates one run with a strategy and returns its metrics.
pub fn run_simulation<W: PlacementStrategy>(
    mut strategy: W,
    deployment: &Deployment,
    scenario: Scenario,
    settings: RunSettings,
) -> RunMetrics {
    let mut simulator = EventSimulator::new(deployment, scenario, settings);
    simulator.schedule_run();
    strategy.start_run(&mut simulator);
    let end = ClockTime::from_millis(settings.end_millis);
    while let Some(Reverse(timed)) = simulator.events.pop() {
        if timed.at >= end {
            break;
        }
        simulator.now = timed.at;
        simulator.process_event(&mut strategy, timed.event);
    }
    simulator.metrics
}

impl<E> EventSimulator<E> {
    fn new(deployment: &Deployment, scenario: Scenario, settings: RunSettings) -> Self {
        let measured_from = ClockTime::from_millis(settings.warm_up_millis);
        Self {
            now: ClockTime::ZERO,
            deployment: deployment.clone(),
            scenario,
            server_set: ServerSet::new(deployment),
            metrics: RunMetrics::new(measured_from, deployment.routers.len()),
            random: SmallRng::seed_from_u64(settings.seed ^ 0x5eed),
            settings,
            open: BTreeMap::new(),
            generator: TraceGenerator::new(deployment, SmallRng::seed_from_u64(settings.seed)),
            events: BinaryHeap::new(),
            sequence: 0,
        }
    }

    /// Schedules an event of the strategy.
    pub fn schedule(&mut self, at: ClockTime, event: E) {
        self.push_event(at, SimulatorEvent::Strategy(event));
    }

    /// Returns a request unless it was refused, finished or lost.
    pub fn open_request(&self, request: RequestId) -> Option<&OpenRequest> {
        self.open.get(&request)
    }

    /// Adds an admitted request to its server's load.
    pub fn admit_request(&mut self, request: RequestId, server: ServerId, pool: PoolId) {
        let bound = self.server_set.bound(self.now, pool);
        let target = self.server_set.server_mut(server);
        if !target.open.insert(request) {
            return;
        }
        let load = target.open.len() as u32;
        self.metrics.admissions += 1;
        self.metrics.over_bound += u64::from(load > bound);
    }

    /// Removes a request from the load of a server to which it was admitted, unless it runs there.
    pub fn withdraw_request(&mut self, request: RequestId, server: ServerId) {
        let running =
            self.open.get(&request).is_some_and(|open| open.started && open.server == Some(server));
        if !running {
            self.server_set.server_mut(server).open.remove(&request);
        }
    }

    /// Starts an admitted request on its server. Returns false if the server is down.
    pub fn start_request(&mut self, request: RequestId, server: ServerId) -> bool {
        if !self.server_set.server(server).up {
            return false;
        }
        let Some(open) = self.open.get_mut(&request) else {
            return true;
        };
        if open.started {
            self.metrics.doubled += 1;
            return true;
        }
        open.started = true;
        open.server = Some(server);
        let open = *open;
        self.server_set.server_mut(server).open.insert(request);
        let reused = self.server_set.server_mut(server).use_chat(open.trace.chat);
        if open.trace.returning {
            self.metrics.record_reuse(self.now, reused);
        }
        let wait = self.now.since(open.arrived).as_micros() as u64;
        self.metrics.record_wait(self.now, open.trace.class, wait);
        let rules = &self.deployment.rules;
        let prefill =
            u64::from(open.trace.prompt_tokens) * u64::from(rules.prefill_micros_per_token);
        let prefill = if reused { 0 } else { prefill };
        let end = ClockTime(self.now.0 + prefill + open.trace.generate_micros);
        self.push_event(end, SimulatorEvent::Finish(request, server));
        true
    }

    /// Refuses a request.
    pub fn refuse_request(&mut self, request: RequestId, reason: RefusalReason) {
        if self.open.remove(&request).is_some() {
            self.metrics.record_refusal(self.now, reason);
        }
    }

    /// Drops a request that was lost in the crash of its entry router.
    pub fn drop_request(&mut self, request: RequestId) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        self.metrics.lost += u64::from(self.metrics.is_measured(self.now));
        if let Some(server) = open.server.filter(|_| open.started) {
            self.server_set.server_mut(server).open.remove(&request);
        }
    }

    fn push_event(&mut self, at: ClockTime, event: SimulatorEvent<E>) {
        self.sequence += 1;
        self.events.push(Reverse(TimedEvent { at, sequence: self.sequence, event }));
    }

    fn schedule_run(&mut self) {
        let mut random = SmallRng::seed_from_u64(self.settings.seed ^ 0xfa17);
        let from = self.settings.warm_up_millis;
        let end = self.settings.end_millis;
        let faults = self.scenario.plan_faults(&self.deployment, from, end, &mut random);
        for plan in faults {
            self.push_event(
                ClockTime::from_millis(plan.at_millis),
                SimulatorEvent::Fault(plan.fault),
            );
        }
        self.push_event(ClockTime::ZERO, SimulatorEvent::RefreshReports);
        self.push_event(ClockTime::ZERO, SimulatorEvent::Sample);
        self.push_event(ClockTime::ZERO.plus_millis(1), SimulatorEvent::Arrive);
    }

    fn process_event<W: PlacementStrategy<Event = E>>(
        &mut self,
        strategy: &mut W,
        event: SimulatorEvent<E>,
    ) {
        match event {
            SimulatorEvent::Arrive => self.process_arrival(strategy),
            SimulatorEvent::Finish(request, server) => {
                self.process_finish(strategy, request, server)
            }
            SimulatorEvent::Expire(request) => self.process_expiry(request),
            SimulatorEvent::Sample => self.sample_load(),
            SimulatorEvent::RefreshReports => self.refresh_reports(),
            SimulatorEvent::Fault(fault) => self.process_fault(strategy, fault),
            SimulatorEvent::Strategy(event) => strategy.handle_event(self, event),
        }
    }

    fn process_arrival<W: PlacementStrategy<Event = E>>(&mut self, strategy: &mut W) {
        let measured = self.metrics.is_measured(self.now);
        let surge = measured && self.scenario == Scenario::Surge;
        let factor = if measured { self.scenario.rate_factor() } else { 1.0 };
        let request = self.generator.next_request(surge);
        let gap = self.generator.next_gap(factor);
        self.push_event(ClockTime(self.now.0 + gap), SimulatorEvent::Arrive);
        let open = OpenRequest { trace: request, arrived: self.now, server: None, started: false };
        self.open.insert(request.request, open);
        self.metrics.requests += u64::from(measured);
        let expiry = start_deadline(&request, self.now).plus_millis(STARVED_GRACE_MILLIS);
        self.push_event(expiry, SimulatorEvent::Expire(request.request));
        strategy.handle_arrival(self, &request);
    }

    fn process_finish<W: PlacementStrategy<Event = E>>(
        &mut self,
        strategy: &mut W,
        request: RequestId,
        server: ServerId,
    ) {
        if !self.server_set.server_mut(server).open.remove(&request) {
            return;
        }
        if let Some(open) = self.open.remove(&request) {
            strategy.handle_finish(self, &open);
        }
    }

    fn process_expiry(&mut self, request: RequestId) {
        if self.open.get(&request).is_some_and(|open| !open.started) {
            self.open.remove(&request);
            self.metrics.starved += 1;
        }
    }

    fn sample_load(&mut self) {
        self.push_event(self.now.plus_millis(1_000), SimulatorEvent::Sample);
        let pool = PoolId(0);
        let mean = self.server_set.pool_total(self.now, pool).mean();
        let members =
            self.server_set.members(pool).iter().map(|index| &self.server_set.servers[*index]);
        let counted = members.filter(|server| server.is_counted(self.now));
        let busiest = counted.map(|server| server.open.len() as u32).max().unwrap_or(0);
        let bound = self.server_set.bound(self.now, pool);
        self.metrics.record_skew(self.now, busiest, mean, bound);
    }

    fn refresh_reports(&mut self) {
        let next = self.now.plus_millis(self.scenario.report_refresh_millis());
        self.push_event(next, SimulatorEvent::RefreshReports);
        for server in &mut self.server_set.servers {
            server.refresh_report();
        }
    }

    fn process_fault<W: PlacementStrategy<Event = E>>(&mut self, strategy: &mut W, fault: Fault) {
        match fault {
            Fault::ServerCrash(server) | Fault::ServerStop(server) => {
                self.crash_server(strategy, server)
            }
            Fault::ServerStart(server) => self.server_set.servers[server].start(self.now),
            Fault::ServerLeave(server) => self.server_set.servers[server].leaving = true,
            _ => {}
        }
        strategy.handle_fault(self, fault);
    }

    fn crash_server<W: PlacementStrategy<Event = E>>(&mut self, strategy: &mut W, server: usize) {
        for request in self.server_set.servers[server].crash() {
            let Some(open) = self.open.get(&request).copied().filter(|open| open.started) else {
                continue;
            };
            self.open.remove(&request);
            self.metrics.lost += u64::from(self.metrics.is_measured(self.now));
            strategy.handle_loss(self, &open);
        }
    }
}

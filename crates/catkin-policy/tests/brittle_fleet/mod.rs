//! A simulated fleet of routers before servers that fall over when they have to decline more than a few
//! requests in a second. Reports between the routers are late or lost, and servers that fell come back empty.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{BrittleRoom, BrittleStatement, BrittleTable, RequestRate, compute_fraction};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time from the first statement until servers let no requests wait, in milliseconds.
pub const CONTACT_MILLIS: u64 = 3_000;
const STEP_MILLIS: u64 = 5;
/// Time for which a request waits at its router, in milliseconds.
const WAIT_MILLIS: u64 = 1_000;
/// Time after which a server that fell is back, in milliseconds.
const RETURN_MILLIS: u64 = 3_000;
/// Time constant with which the requests for the service lose their weight, in seconds.
const DEMAND_SECONDS: f64 = 5.0;
const START: u64 = 60_000;

/// A fleet, its requests and its faults.
#[derive(Debug, Clone)]
pub struct BrittleScenario {
    pub seed: u64,
    pub routers: usize,
    pub servers: usize,
    pub slots: u32,
    /// Requests by which the room is smaller than the slots.
    pub lost_room: u32,
    /// Requests that a server may decline in a second.
    pub declines: usize,
    pub answer_millis: u64,
    /// Requests per second, as a multiple of what the servers can answer.
    pub pressure: f64,
    /// Number of routers that get the requests, from the first on.
    pub busy_routers: usize,
    /// In every second 5 s, the requests are this many times as many.
    pub surge: f64,
    /// Time between two reports of a router, and time that a report takes, in milliseconds.
    pub report_millis: u64,
    pub delay_millis: u64,
    /// Part of the reports that are lost.
    pub loss: f64,
    pub length_millis: u64,
}

/// What became of the servers and the requests.
#[derive(Debug, Default)]
pub struct BrittleOutcome {
    pub falls: usize,
    /// Part of the room that was in use.
    pub used: f64,
}

struct SimServer {
    id: ServerId,
    /// Router and end of each request.
    running: Vec<(usize, u64)>,
    waiting: VecDeque<usize>,
    declined: VecDeque<u64>,
    down_until: u64,
}

#[derive(Clone)]
struct SimReport {
    opens: BTreeMap<ServerId, u32>,
    demand: f64,
    rows: Vec<(BrittleStatement, Option<ClockTime>)>,
}

struct SimRouter {
    table: BrittleTable,
    demand: f64,
    opens: BTreeMap<ServerId, u32>,
    heard: BTreeMap<usize, Rc<SimReport>>,
    known: BTreeMap<ServerId, u32>,
    known_demand: f64,
    /// When the waiting requests arrived.
    waiting: VecDeque<u64>,
    /// Declines to report, and in how many reports.
    declines: Vec<(ServerId, ClockTime, u32)>,
    next_report: u64,
}

impl SimRouter {
    fn receive(&mut self, sender: usize, report: Rc<SimReport>) {
        for (statement, declined) in &report.rows {
            self.table.record_statement(*statement);
            if let Some(declined) = declined {
                self.table.record_peer_decline(statement.server, *declined);
            }
        }
        self.known_demand += report.demand;
        for (server, open) in &report.opens {
            *self.known.entry(*server).or_default() += open;
        }
        if let Some(before) = self.heard.insert(sender, report) {
            self.known_demand -= before.demand;
            for (server, open) in &before.opens {
                *self.known.entry(*server).or_default() -= open;
            }
        }
    }

    fn build_report(&mut self) -> SimReport {
        let declined: BTreeMap<ServerId, ClockTime> =
            self.declines.iter().map(|(server, at, _)| (*server, *at)).collect();
        for (.., reports) in &mut self.declines {
            *reports -= 1;
        }
        self.declines.retain(|(.., reports)| *reports > 0);
        let statements = self.table.statements();
        let rows = statements.map(|row| (row, declined.get(&row.server).copied())).collect();
        SimReport { opens: self.opens.clone(), demand: self.demand, rows }
    }

    fn close(&mut self, server: ServerId) {
        if let Some(open) = self.opens.get_mut(&server) {
            *open = open.saturating_sub(1);
        }
    }
}

/// What a router learns of a request, in the next step.
enum SimEvent {
    Ended(usize, ServerId),
    Declined(usize, ServerId),
    Failed(usize, ServerId),
}

/// Plays a scenario.
pub fn play(scenario: &BrittleScenario) -> BrittleOutcome {
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let rate = RequestRate { per_thousand_seconds: scenario.declines as u32 * 1_000 };
    let new_router = |number: usize| SimRouter {
        table: BrittleTable::new(number as u64),
        demand: 0.0,
        opens: BTreeMap::new(),
        heard: BTreeMap::new(),
        known: BTreeMap::new(),
        known_demand: 0.0,
        waiting: VecDeque::new(),
        declines: Vec::new(),
        next_report: START + number as u64 * 7 % scenario.report_millis,
    };
    let mut routers: Vec<SimRouter> = (0..scenario.routers).map(new_router).collect();
    let new_server = |id: u64| SimServer {
        id: ServerId(id),
        running: Vec::new(),
        waiting: VecDeque::new(),
        declined: VecDeque::new(),
        down_until: 0,
    };
    let mut servers: Vec<SimServer> =
        (0..scenario.servers).map(|number| new_server(number as u64 + 1)).collect();
    let mut next_id = scenario.servers as u64 + 1;
    let mut travelling: VecDeque<(u64, usize, usize, Rc<SimReport>)> = VecDeque::new();
    let mut sent: Vec<(usize, ServerId)> = Vec::new();
    let mut events: Vec<SimEvent> = Vec::new();
    let mut outcome = BrittleOutcome::default();
    let capacity = (scenario.servers as u32 * scenario.slots) as f64;
    let per_step =
        capacity / scenario.answer_millis as f64 * STEP_MILLIS as f64 * scenario.pressure;
    let mut owed = 0.0;
    let mut used_slots = 0.0;
    for millis in (START..START + scenario.length_millis).step_by(STEP_MILLIS as usize) {
        let now = ClockTime::from_millis(millis);
        let is_strict = millis >= START + CONTACT_MILLIS;
        // What routers learn.
        for event in std::mem::take(&mut events) {
            let (router, server, statement) = match event {
                SimEvent::Failed(router, server) => {
                    routers[router].close(server);
                    continue;
                }
                SimEvent::Ended(router, server) | SimEvent::Declined(router, server) => {
                    let declines = Some(rate);
                    (router, server, BrittleStatement { server, declines, stated: now })
                }
            };
            let known = &mut routers[router];
            known.close(server);
            known.table.record_statement(statement);
            if matches!(event, SimEvent::Declined(..)) {
                known.table.record_decline(now, server);
                known.declines.push((server, now, 3));
                known.next_report = millis;
                known.waiting.push_front(millis);
            } else {
                known.table.record_end(now, server);
            }
        }
        // Reports.
        while travelling.front().is_some_and(|(at, ..)| *at <= millis) {
            let (_, sender, receiver, report) = travelling.pop_front().expect("there is one");
            routers[receiver].receive(sender, report);
        }
        for sender in 0..scenario.routers {
            routers[sender].demand *= (-(STEP_MILLIS as f64) / 1_000.0 / DEMAND_SECONDS).exp();
            if millis < routers[sender].next_report {
                continue;
            }
            routers[sender].next_report = millis + scenario.report_millis;
            let report = Rc::new(routers[sender].build_report());
            for receiver in (0..scenario.routers).filter(|receiver| *receiver != sender) {
                if !random.random_bool(scenario.loss) {
                    let at = millis + scenario.delay_millis;
                    travelling.push_back((at, sender, receiver, Rc::clone(&report)));
                }
            }
        }
        // Servers: requests that arrive, end, and wait.
        for (router, id) in std::mem::take(&mut sent) {
            let Some(server) = servers.iter_mut().find(|server| server.id == id) else {
                events.push(SimEvent::Failed(router, id));
                continue;
            };
            let waiting_room = if is_strict { 0 } else { scenario.slots * 4 };
            let lost_room = if is_strict { scenario.lost_room } else { 0 };
            let slots = (scenario.slots - lost_room) as usize;
            if server.running.len() < slots {
                let length = scenario.answer_millis as f64 * random.random_range(0.5..1.5);
                server.running.push((router, millis + length as u64));
            } else if server.waiting.len() < waiting_room as usize {
                server.waiting.push_back(router);
            } else {
                server.declined.push_back(millis);
                events.push(SimEvent::Declined(router, id));
            }
        }
        for server in &mut servers {
            if millis < server.down_until {
                continue;
            }
            if server.down_until > 0 {
                *server = new_server(next_id);
                next_id += 1;
            }
            while server.declined.front().is_some_and(|at| millis - at > 1_000) {
                server.declined.pop_front();
            }
            if server.declined.len() > scenario.declines {
                outcome.falls += 1;
                let lost = server.running.drain(..).map(|(router, _)| router);
                let lost = lost.chain(server.waiting.drain(..));
                events.extend(lost.map(|router| SimEvent::Failed(router, server.id)));
                server.declined.clear();
                server.id = ServerId(0);
                server.down_until = millis + RETURN_MILLIS;
                continue;
            }
            let ended = server.running.extract_if(.., |(_, end)| *end <= millis);
            for (router, _) in ended {
                events.push(SimEvent::Ended(router, server.id));
            }
            while server.running.len() < scenario.slots as usize
                && let Some(router) = server.waiting.pop_front()
            {
                let length = scenario.answer_millis as f64 * random.random_range(0.5..1.5);
                server.running.push((router, millis + length as u64));
            }
            if is_strict {
                used_slots += server.running.len() as f64;
            }
        }
        // Requests of callers.
        let is_surge = (millis - START) % 10_000 >= 5_000;
        owed += per_step * if is_surge { scenario.surge } else { 1.0 };
        while owed >= 1.0 {
            owed -= 1.0;
            let router = &mut routers[random.random_range(0..scenario.busy_routers)];
            router.demand += 1.0;
            router.waiting.push_back(millis);
        }
        let up: Vec<ServerId> =
            servers.iter().map(|server| server.id).filter(|id| id.0 > 0).collect();
        for (number, router) in routers.iter_mut().enumerate() {
            while router.waiting.front().is_some_and(|at| millis - at > WAIT_MILLIS) {
                router.waiting.pop_front();
            }
            let heard = router.heard.len() as u32 + 1;
            let count = scenario.routers as u32;
            let fraction = compute_fraction(router.demand, router.known_demand, heard, count);
            let others_are = !router.table.is_empty();
            while !router.waiting.is_empty() {
                let open_at = |router: &SimRouter, id: ServerId| {
                    let own = router.opens.get(&id).copied().unwrap_or(0);
                    own + router.known.get(&id).copied().unwrap_or(0)
                };
                let mut choices: Vec<(u32, u32, ServerId)> =
                    up.iter().map(|id| (open_at(router, *id), random.random(), *id)).collect();
                choices.sort_unstable();
                let may_send = |(open, _, id): &(u32, u32, ServerId)| {
                    if !router.table.is_brittle(*id, others_are) {
                        return *open < scenario.slots * if is_strict { 1 } else { 2 };
                    }
                    let room = BrittleRoom {
                        slots: scenario.slots,
                        open: *open,
                        fraction,
                        other_rate: router.known_demand / DEMAND_SECONDS / up.len() as f64,
                        report_millis: scenario.report_millis as f64 / 2.0
                            + scenario.delay_millis as f64,
                    };
                    router.table.wait_millis(now, *id, &room) == 0
                };
                let Some((_, _, id)) = choices.into_iter().find(may_send) else { break };
                router.waiting.pop_front();
                *router.opens.entry(id).or_default() += 1;
                router.table.record_send(now, id);
                sent.push((number, id));
            }
        }
    }
    let steps = (scenario.length_millis - CONTACT_MILLIS) / STEP_MILLIS;
    let room = (scenario.slots - scenario.lost_room) * scenario.servers as u32;
    outcome.used = used_slots / steps as f64 / f64::from(room);
    outcome
}

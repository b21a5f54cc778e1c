//! A simulated fleet of routers before the servers of one service that is short of room. Work takes less
//! time than reports between the routers.

use std::collections::{BTreeMap, VecDeque};

use catkin_base::{ClockTime, TeamId};
use catkin_policy::{
    LineTicket, RoomInput, RoomRequest, RoomVerdict, ServiceRoom, TEAM_SECONDS, compute_fraction,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 3;
const SLOTS: usize = 6;
/// Requests that a server queues, mean time of its work in milliseconds, and by how much that varies.
const QUEUE: usize = 24;
const WORK_MILLIS: u64 = 15;
const WORK_SPREAD_MILLIS: u64 = 10;
/// Requests that all servers finish in a millisecond.
pub const ROOM_PER_MILLI: f64 = (SERVERS * SLOTS) as f64 / WORK_MILLIS as f64;
const REPORT_MILLIS: u64 = 40;
const REPORT_DELAY_MILLIS: u64 = 15;
const TARGET_MILLIS: u64 = 120;
const CALM_MILLIS: u64 = 3_000;
/// Time between two checks whether waiting requests are too late.
const CHECK_MILLIS: u64 = 10;
/// Weight of an answer in the learned time of answers.
const ANSWER_WEIGHT: f64 = 0.02;
/// Declines after which a request is given up.
const MAX_DECLINES: u32 = 4;

/// Requests of a team of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub team: u64,
    pub route_priority: u8,
    /// Requests in a millisecond, in multiples of the room.
    pub load: f64,
    /// The same before the rush.
    pub calm_load: f64,
}

/// A fleet and its requests.
#[derive(Debug, Clone)]
pub struct RoomScenario {
    pub seed: u64,
    pub routers: usize,
    pub streams: Vec<Stream>,
    /// Part of the reports that are lost.
    pub loss: f64,
    pub rush_millis: u64,
}

/// What became of the requests of the rush.
#[derive(Debug, Default)]
pub struct RoomOutcome {
    /// Requests, and those of them that were served, by stream.
    pub asked: Vec<u64>,
    pub served: Vec<u64>,
    /// Requests that reached servers, and those that these declined.
    pub arrivals: u64,
    pub declined: u64,
    /// Part of the servers' time that was used.
    pub used: f64,
}

impl RoomOutcome {
    /// Part of the requests that were served, of the streams that `counts` is true for.
    pub fn served_part(&self, counts: impl Fn(usize) -> bool) -> f64 {
        let sum = |of: &[u64]| -> u64 {
            of.iter().enumerate().filter(|(index, _)| counts(*index)).map(|(_, count)| count).sum()
        };
        sum(&self.served) as f64 / sum(&self.asked).max(1) as f64
    }

    /// Part of the arrivals at servers that were declined.
    pub fn declined_part(&self) -> f64 {
        self.declined as f64 / self.arrivals.max(1) as f64
    }
}

#[derive(Debug, Clone, Copy)]
struct SimCall {
    stream: usize,
    router: usize,
    arrived: ClockTime,
    sent: ClockTime,
    server: usize,
    declines: u32,
}

#[derive(Default)]
struct SimReport {
    demand: f64,
    teams: Vec<(TeamId, f64)>,
}

struct SimRouter {
    room: ServiceRoom,
    waiting: BTreeMap<LineTicket, SimCall>,
    demand: f64,
    answer_millis: f64,
    /// Last report that the others received.
    report: SimReport,
    /// Demand at the others, as reported.
    others: f64,
    /// Open requests by server.
    opens: [usize; SERVERS],
}

#[derive(Default)]
struct SimServer {
    running: Vec<(ClockTime, SimCall)>,
    queue: VecDeque<SimCall>,
}

struct SimFleet<'a> {
    scenario: &'a RoomScenario,
    routers: Vec<SimRouter>,
    servers: Vec<SimServer>,
    random: SmallRng,
    outcome: RoomOutcome,
    busy_millis: u64,
}

/// Plays a scenario.
pub fn play(scenario: &RoomScenario) -> RoomOutcome {
    let router = |number: usize| SimRouter {
        room: ServiceRoom::new(number as u64),
        waiting: BTreeMap::new(),
        demand: 0.0,
        answer_millis: 30.0,
        report: SimReport::default(),
        others: 0.0,
        opens: [0; SERVERS],
    };
    let streams = scenario.streams.len();
    let mut fleet = SimFleet {
        scenario,
        routers: (0..scenario.routers).map(router).collect(),
        servers: (0..SERVERS).map(|_| SimServer::default()).collect(),
        random: SmallRng::seed_from_u64(scenario.seed),
        outcome: RoomOutcome {
            asked: vec![0; streams],
            served: vec![0; streams],
            ..RoomOutcome::default()
        },
        busy_millis: 0,
    };
    let mut travelling: VecDeque<(u64, usize, SimReport)> = VecDeque::new();
    for millis in 0..CALM_MILLIS + scenario.rush_millis {
        let now = ClockTime::from_millis(millis);
        fleet.finish_work(now);
        while travelling.front().is_some_and(|(at, ..)| *at <= millis) {
            let (_, sender, report) = travelling.pop_front().expect("there is a first report");
            if !fleet.random.random_bool(scenario.loss) {
                fleet.routers[sender].report = report;
            }
        }
        if millis.is_multiple_of(REPORT_MILLIS) {
            fleet.receive_reports();
        }
        for sender in 0..scenario.routers {
            let router = &mut fleet.routers[sender];
            router.demand *= (-0.001 / TEAM_SECONDS).exp();
            if (millis + sender as u64).is_multiple_of(REPORT_MILLIS) {
                let teams = router.room.largest_teams(now);
                let report = SimReport { demand: router.demand, teams };
                travelling.push_back((millis + REPORT_DELAY_MILLIS, sender, report));
            }
        }
        fleet.create_calls(now);
        for router in 0..scenario.routers {
            fleet.serve_line(now, router);
        }
    }
    let room = (scenario.rush_millis as usize * SERVERS * SLOTS) as f64;
    fleet.outcome.used = fleet.busy_millis as f64 / room;
    fleet.outcome
}

impl SimFleet<'_> {
    fn is_rush(now: ClockTime) -> bool {
        now >= ClockTime::from_millis(CALM_MILLIS)
    }

    /// Gives each router the sums of what the others reported.
    fn receive_reports(&mut self) {
        let mut teams: BTreeMap<TeamId, f64> = BTreeMap::new();
        for (team, demand) in self.routers.iter().flat_map(|router| &router.report.teams) {
            *teams.entry(*team).or_default() += demand;
        }
        let total: f64 = self.routers.iter().map(|router| router.report.demand).sum();
        for router in &mut self.routers {
            let mut others = teams.clone();
            for (team, demand) in &router.report.teams {
                others.entry(*team).and_modify(|sum| *sum -= demand);
            }
            router.others = total - router.report.demand;
            router.room.set_reported(others);
        }
    }

    fn create_calls(&mut self, now: ClockTime) {
        for stream in 0..self.scenario.streams.len() {
            let Stream { load, calm_load, .. } = self.scenario.streams[stream];
            let load = if Self::is_rush(now) { load } else { calm_load };
            let rate = load * ROOM_PER_MILLI;
            // Several draws, so that more than one request may come in a millisecond.
            for _ in 0..8 {
                if self.random.random_bool(rate / 8.0) {
                    let router = self.random.random_range(0..self.routers.len());
                    let call =
                        SimCall { stream, router, arrived: now, sent: now, server: 0, declines: 0 };
                    if Self::is_rush(now) {
                        self.outcome.asked[stream] += 1;
                    }
                    let team = TeamId(self.scenario.streams[stream].team);
                    let router = &mut self.routers[router];
                    router.demand += 1.0;
                    router.room.record_request(now, Some(team));
                    self.join(now, call);
                }
            }
        }
    }

    fn input(&self, router: usize) -> RoomInput {
        let known = self.routers.len() as u32;
        let router = &self.routers[router];
        let others = router.others;
        RoomInput {
            slots: (SERVERS * SLOTS) as f64,
            answer_millis: router.answer_millis,
            fraction: compute_fraction(router.demand, others, known, known),
            demand_rate: (router.demand + others) / TEAM_SECONDS,
            needs_credit: true,
        }
    }

    fn join(&mut self, now: ClockTime, call: SimCall) {
        let input = self.input(call.router);
        let stream = self.scenario.streams[call.stream];
        let router = &mut self.routers[call.router];
        let target = call.arrived.plus_millis(TARGET_MILLIS);
        let request = RoomRequest {
            team: Some(TeamId(stream.team)),
            team_priority: 1,
            route_priority: stream.route_priority,
            is_returned: call.declines > 0,
            latest_start: target.minus_millis(router.answer_millis as u64),
        };
        let ticket = router.room.join(now, request, input);
        router.waiting.insert(ticket, call);
    }

    /// Serves the line of a router until its first request must wait.
    fn serve_line(&mut self, now: ClockTime, router: usize) {
        let input = self.input(router);
        loop {
            let room = &mut self.routers[router].room;
            let Some(first) = room.first() else { return };
            let verdict = room.decide(now, first, input);
            if matches!(verdict, RoomVerdict::Wait(_)) {
                break;
            }
            let call = self.routers[router].waiting.remove(&first).expect("the call waits");
            if matches!(verdict, RoomVerdict::Refuse(_)) {
                self.routers[router].room.leave(now, first);
                continue;
            }
            let team = TeamId(self.scenario.streams[call.stream].team);
            self.routers[router].room.record_grant(now, first, Some(team), input);
            let first = self.random.random_range(0..SERVERS);
            let order = (0..SERVERS).map(|offset| (first + offset) % SERVERS);
            let server = order.min_by_key(|server| self.routers[router].opens[*server]);
            let server = server.expect("there are servers");
            self.send(now, SimCall { sent: now, server, ..call });
        }
        if !(now.0 / 1_000 + router as u64).is_multiple_of(CHECK_MILLIS) {
            return;
        }
        let SimRouter { room, waiting, .. } = &mut self.routers[router];
        let refused = |ticket: &LineTicket| {
            matches!(room.decide(now, *ticket, input), RoomVerdict::Refuse(_))
        };
        let refused: Vec<LineTicket> = waiting.keys().copied().filter(refused).collect();
        for ticket in refused {
            room.leave(now, ticket);
            waiting.remove(&ticket);
        }
    }

    fn send(&mut self, now: ClockTime, call: SimCall) {
        let is_rush = Self::is_rush(now);
        self.outcome.arrivals += u64::from(is_rush);
        let server = &mut self.servers[call.server];
        self.routers[call.router].opens[call.server] += 1;
        if server.running.len() < SLOTS {
            server.running.push((now.plus_millis(draw_work(&mut self.random)), call));
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(call);
        } else {
            self.outcome.declined += u64::from(is_rush);
            self.routers[call.router].opens[call.server] -= 1;
            self.routers[call.router].room.record_answer(now, true);
            let call = SimCall { declines: call.declines + 1, ..call };
            if call.declines < MAX_DECLINES {
                self.join(now, call);
            }
        }
    }

    fn finish_work(&mut self, now: ClockTime) {
        for server in &mut self.servers {
            let done: Vec<SimCall> = server
                .running
                .iter()
                .filter(|(end, _)| *end <= now)
                .map(|(_, call)| *call)
                .collect();
            server.running.retain(|(end, _)| *end > now);
            for call in done {
                let router = &mut self.routers[call.router];
                router.opens[call.server] -= 1;
                router.room.record_answer(now, false);
                let millis = now.millis_since(call.sent) as f64 + 2.0;
                router.answer_millis += (millis - router.answer_millis) * ANSWER_WEIGHT;
                if Self::is_rush(call.arrived) {
                    self.outcome.served[call.stream] += 1;
                }
            }
            while server.running.len() < SLOTS {
                let Some(call) = server.queue.pop_front() else { break };
                server.running.push((now.plus_millis(draw_work(&mut self.random)), call));
            }
            if Self::is_rush(now) {
                self.busy_millis += server.running.len() as u64;
            }
        }
    }
}

fn draw_work(random: &mut SmallRng) -> u64 {
    random.random_range(WORK_MILLIS - WORK_SPREAD_MILLIS..=WORK_MILLIS + WORK_SPREAD_MILLIS)
}

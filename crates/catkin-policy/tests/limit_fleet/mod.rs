//! A simulated fleet of routers before servers of one service that all name limits. Reports between
//! the routers are late or lost, requests are spread unevenly, and routers start again.

use std::collections::{BTreeMap, VecDeque};

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{LimitShare, LimitStatement, LimitTable, RequestRate, compute_fraction};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Time from the first statement until the limits must be kept, in milliseconds.
pub const CONTACT_MILLIS: u64 = 3_000;
/// Length of the windows in which requests are counted, in milliseconds.
pub const WINDOW_MILLIS: u64 = 4_000;
const START: ClockTime = ClockTime::from_millis(60_000);
/// Time with requests before the first limit is named, in milliseconds.
const WARM_MILLIS: u64 = 8_000;
const STEP_MILLIS: u64 = 10;
/// Time constant with which the requests for the service lose their weight, in seconds.
const DEMAND_SECONDS: f64 = 5.0;
/// Time after which a router counts as silent, in milliseconds.
const SILENT_MILLIS: u64 = 1_500;
/// Time after which the report of a silent router no longer counts, in milliseconds.
const REPORT_LIFETIME_MILLIS: u64 = 3_000;

/// A fleet, its requests and its faults.
#[derive(Debug, Clone)]
pub struct LimitScenario {
    pub seed: u64,
    pub routers: usize,
    /// Limit of each server, in requests per second.
    pub limits: Vec<f64>,
    /// Requests per second for the whole service, as a multiple of the sum of the limits.
    pub pressure: f64,
    /// Number of routers that get the requests, from the first on.
    pub busy_routers: usize,
    /// When all requests go to the other half of the routers, in milliseconds.
    pub shift_millis: Option<u64>,
    /// When a router starts again, and which.
    pub restart: Option<(u64, usize)>,
    /// Time between two reports of a router, and time that a report takes, in milliseconds.
    pub report_millis: u64,
    pub delay_millis: u64,
    /// Part of the reports that are lost.
    pub loss: f64,
    /// Time in which no request comes after the first statement, in milliseconds.
    pub quiet_millis: u64,
    pub length_millis: u64,
}

/// What the servers got.
#[derive(Debug)]
pub struct LimitOutcome {
    /// Times of the requests of routers that did not start again, by server.
    pub counted: Vec<Vec<u64>>,
    /// Number of all requests by server since [`CONTACT_MILLIS`].
    pub used: Vec<usize>,
}

#[derive(Debug, Clone)]
struct SimReport {
    sender: usize,
    sends: BTreeMap<ServerId, f64>,
    demand: f64,
    statements: Vec<LimitStatement>,
}

struct SimRouter {
    table: LimitTable,
    demand: f64,
    heard: BTreeMap<usize, (ClockTime, SimReport)>,
    next_report: ClockTime,
}

impl SimRouter {
    fn new(number: usize, now: ClockTime) -> Self {
        let table = LimitTable::new(number as u64);
        Self { table, demand: 0.0, heard: BTreeMap::new(), next_report: now }
    }

    fn fraction(&self, now: ClockTime, routers: usize) -> f64 {
        let is_live = |at: &ClockTime| now.millis_since(*at) < SILENT_MILLIS;
        let heard = self.heard.values().filter(|(at, _)| is_live(at)).count() + 1;
        let others: f64 = self.counted_reports(now).map(|report| report.demand).sum();
        compute_fraction(self.demand, others, heard as u32, routers as u32)
    }

    fn counted_reports(&self, now: ClockTime) -> impl Iterator<Item = &SimReport> {
        let counts = move |at: ClockTime| now.millis_since(at) < REPORT_LIFETIME_MILLIS;
        self.heard.values().filter(move |(at, _)| counts(*at)).map(|(_, report)| report)
    }

    fn share(&self, now: ClockTime, routers: usize, server: ServerId) -> LimitShare {
        let sends = self.counted_reports(now).filter_map(|report| report.sends.get(&server));
        let others: f64 = self.counted_reports(now).map(|report| report.demand).sum();
        LimitShare {
            fraction: self.fraction(now, routers),
            other_sends: sends.sum(),
            service_rate: (self.demand + others) / DEMAND_SECONDS,
        }
    }

    fn report(&self, now: ClockTime, sender: usize) -> SimReport {
        let sends = self.table.recent_sends(now).collect();
        let statements = self.table.statements().collect();
        SimReport { sender, sends, demand: self.demand, statements }
    }
}

/// Plays a scenario.
pub fn play(scenario: &LimitScenario) -> LimitOutcome {
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let count = scenario.limits.len();
    let rate_of = |server: usize| RequestRate {
        per_thousand_seconds: (scenario.limits[server] * 1_000.0) as u32,
    };
    let servers: Vec<ServerId> = (0..count).map(|server| ServerId(server as u64 + 1)).collect();
    let mut routers: Vec<SimRouter> =
        (0..scenario.routers).map(|number| SimRouter::new(number, START)).collect();
    let mut excused = vec![false; scenario.routers];
    let mut told = vec![vec![false; count]; scenario.routers];
    let mut travelling: VecDeque<(ClockTime, usize, SimReport)> = VecDeque::new();
    let mut outcome = LimitOutcome { counted: vec![Vec::new(); count], used: vec![0; count] };
    let per_step =
        scenario.pressure * scenario.limits.iter().sum::<f64>().max(1.0) * STEP_MILLIS as f64
            / 1_000.0;
    let mut owed = 0.0;
    for total in (0..WARM_MILLIS + scenario.length_millis).step_by(STEP_MILLIS as usize) {
        let now = START.plus_millis(total);
        let names_limits = total >= WARM_MILLIS;
        let millis = total.saturating_sub(WARM_MILLIS);
        let restart = scenario.restart.filter(|(at, _)| names_limits && *at == millis);
        if let Some((_, router)) = restart {
            routers[router] = SimRouter::new(router, now);
            excused[router] = true;
        }
        while travelling.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, receiver, report) = travelling.pop_front().expect("there is a first report");
            for statement in &report.statements {
                routers[receiver].table.record_statement(now, *statement);
            }
            routers[receiver].heard.insert(report.sender, (now, report));
        }
        for sender in 0..scenario.routers {
            routers[sender].demand *= (-(STEP_MILLIS as f64) / 1_000.0 / DEMAND_SECONDS).exp();
            if now < routers[sender].next_report {
                continue;
            }
            routers[sender].next_report = now.plus_millis(scenario.report_millis);
            let report = routers[sender].report(now, sender);
            for receiver in (0..scenario.routers).filter(|receiver| *receiver != sender) {
                if !random.random_bool(scenario.loss) {
                    let at = now.plus_millis(scenario.delay_millis);
                    travelling.push_back((at, receiver, report.clone()));
                }
            }
        }
        let quiet = names_limits && (200..200 + scenario.quiet_millis).contains(&millis);
        owed += if quiet { 0.0 } else { per_step };
        while owed >= 1.0 {
            owed -= 1.0;
            let shifted = scenario.shift_millis.is_some_and(|at| millis >= at);
            let chosen = random.random_range(0..scenario.busy_routers.min(scenario.routers));
            let router = if shifted { scenario.routers - 1 - chosen } else { chosen };
            routers[router].demand += 1.0;
            if !names_limits {
                continue;
            }
            let mut order: Vec<usize> = (0..count).collect();
            order.shuffle(&mut random);
            let mut may_send = |server: &usize| {
                let share = routers[router].share(now, scenario.routers, servers[*server]);
                routers[router].table.wait_millis(now, servers[*server], share) == 0
            };
            let found = order.into_iter().find(|server| may_send(server));
            let Some(server) = found else { continue };
            let share = routers[router].share(now, scenario.routers, servers[server]);
            routers[router].table.record_send(now, servers[server], share);
            let statement = LimitStatement {
                server: servers[server],
                rate: Some(rate_of(server)),
                stated: now,
            };
            routers[router].table.record_statement(now, statement);
            if millis >= CONTACT_MILLIS {
                outcome.used[server] += 1;
                if told[router][server] && !excused[router] {
                    outcome.counted[server].push(millis);
                }
            }
            told[router][server] = true;
        }
    }
    outcome
}

/// The largest number of times within a window.
pub fn most_in_window(times: &[u64]) -> usize {
    let within = |start: &u64| {
        times.iter().filter(|at| (*start..start + WINDOW_MILLIS).contains(*at)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

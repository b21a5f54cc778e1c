//! A simulated fleet of routers before a server that turns cold during traffic. Reports between the
//! routers are late or lost; some routers learn late, are frozen, cut off or start again.

use std::collections::VecDeque;

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{ColdShare, ColdTable, compute_fraction};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests per second that the server takes while cold, and the platform's bound on a second.
pub const RATE: f64 = 18.0;
pub const MOST: f64 = RATE * 1.5 + 5.0;
/// Time at which the server turns cold, and from which on its use is counted, in milliseconds.
pub const COLD_MILLIS: u64 = 6_000;
pub const COUNTED_MILLIS: u64 = COLD_MILLIS + 3_000;
pub const END_MILLIS: u64 = 16_000;
const SERVER: ServerId = ServerId(1);
const START: ClockTime = ClockTime::from_millis(60_000);
const STEP_MILLIS: u64 = 10;
const DEMAND_SECONDS: f64 = 5.0;
const SILENT_MILLIS: u64 = 1_500;
const FRESH_MILLIS: u64 = 600;
const REPORT_LIFETIME_MILLIS: u64 = 3_000;

/// A fleet, its requests and its faults. Cut-off routers neither report nor hear others.
#[derive(Debug, Clone)]
pub struct ColdScenario {
    pub seed: u64,
    pub routers: usize,
    /// Number of routers that get the requests, from the first on.
    pub busy_routers: usize,
    /// Requests per second of the service.
    pub demand: f64,
    /// Requests per second that are meant for the server, before it is cold and while it is.
    pub wanted: [f64; 2],
    /// When the requests that are meant for the server come, while it is cold, in milliseconds.
    pub rush_millis: u64,
    /// Time between two reports of a router, and time that a report takes, in milliseconds.
    pub report_millis: u64,
    pub delay_millis: u64,
    /// Part of the reports that are lost.
    pub loss: f64,
    /// Part of the routers whose entries are late, and by how much, in milliseconds.
    pub stale: (f64, u64),
    /// Part of the routers that are cut off from the others from the time on at which the server is cold.
    pub cut: f64,
    /// Part of the routers that are frozen for a while after the server turned cold.
    pub frozen: f64,
    /// Part of the routers that start again while the server is cold.
    pub restarted: f64,
}

#[derive(Clone, Copy, Default)]
struct SimReport {
    sends: f64,
    demand: f64,
    cold: bool,
}

/// The reports that have arrived, by sender, and their sums. All routers that are not cut off have the
/// same.
#[derive(Default)]
struct SimReports {
    heard: Vec<Option<(ClockTime, SimReport)>>,
    sends: f64,
    demand: f64,
    live: usize,
    fresh: usize,
}

impl SimReports {
    fn update(&mut self, now: ClockTime) {
        let counted = self.heard.iter().flatten();
        let counted = counted.filter(|(at, _)| now.millis_since(*at) < REPORT_LIFETIME_MILLIS);
        (self.sends, self.demand, self.live, self.fresh) = (0.0, 0.0, 0, 0);
        for (at, report) in counted {
            self.sends += report.sends;
            self.demand += report.demand;
            self.live += usize::from(now.millis_since(*at) < SILENT_MILLIS);
            self.fresh += usize::from(now.millis_since(*at) < FRESH_MILLIS);
        }
    }
}

struct SimRouter {
    table: ColdTable,
    demand: f64,
    next_report: ClockTime,
    /// Since when it hears no reports of others.
    deaf_since: Option<ClockTime>,
}

impl SimRouter {
    fn new(number: usize, now: ClockTime) -> Self {
        let next_report = now.plus_millis(number as u64 * 7 % 50 / 10 * 10);
        Self { table: ColdTable::new(number as u64), demand: 0.0, next_report, deaf_since: None }
    }

    fn share(&self, now: ClockTime, number: usize, reports: &SimReports) -> ColdShare {
        let routers = reports.heard.len();
        let own = reports.heard[number].map(|(_, report)| report).unwrap_or_default();
        let deaf = self.deaf_since.map_or(0, |since| now.millis_since(since));
        let [sends, others] = match deaf {
            REPORT_LIFETIME_MILLIS.. => [0.0; 2],
            _ => [reports.sends - own.sends, reports.demand - own.demand].map(|sum| sum.max(0.0)),
        };
        let heard = if deaf < SILENT_MILLIS { reports.live.max(1) } else { 1 };
        ColdShare {
            rate: RATE,
            most: MOST,
            fraction: compute_fraction(self.demand, others, heard as u32, routers as u32),
            equal_fraction: 1.0 / routers as f64,
            other_sends: sends,
            own_rate: self.demand / DEMAND_SECONDS,
            is_complete: reports.fresh >= routers && deaf < FRESH_MILLIS,
            knows_demand: others > 0.01,
        }
    }
}

/// Plays a scenario; returns the times of the requests that the server got while cold.
pub fn play(scenario: &ColdScenario) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let count = scenario.routers;
    let mut routers: Vec<SimRouter> =
        (0..count).map(|number| SimRouter::new(number, START)).collect();
    let mut draw = |part: f64| (0..count).map(|_| random.random_bool(part)).collect::<Vec<bool>>();
    let stale = draw(scenario.stale.0);
    let cut = draw(scenario.cut);
    let frozen = draw(scenario.frozen);
    let restarted = draw(scenario.restarted);
    let mut reports = SimReports { heard: vec![None; count], ..SimReports::default() };
    let mut travelling: VecDeque<(ClockTime, usize, SimReport)> = VecDeque::new();
    let mut times = Vec::new();
    let mut owed = 0.0;
    let cold_end = START.plus_millis(END_MILLIS);
    for millis in (0..END_MILLIS).step_by(STEP_MILLIS as usize) {
        let now = START.plus_millis(millis);
        let is_cold = millis >= COLD_MILLIS;
        let is_frozen = |router: usize| {
            frozen[router] && (COLD_MILLIS - 500..COLD_MILLIS + 2_500).contains(&millis)
        };
        for router in 0..count {
            let learns = COLD_MILLIS + if stale[router] { scenario.stale.1 / 10 * 10 } else { 100 };
            if restarted[router] && millis == COLD_MILLIS + 4_000 {
                routers[router] = SimRouter::new(router, now);
                routers[router].table.record_cold(now, SERVER, cold_end);
            }
            if frozen[router] && millis == COLD_MILLIS + 2_500 {
                routers[router].table.record_doubt(now, SERVER, now.plus_millis(2_500));
            }
            if millis == learns && !is_frozen(router) || frozen[router] && millis == 10_000 {
                routers[router].table.record_cold(now, SERVER, cold_end);
            }
        }
        while travelling.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, sender, report) = travelling.pop_front().expect("there is a first report");
            reports.heard[sender] = Some((now, report));
            for (number, router) in routers.iter_mut().enumerate().filter(|_| report.cold) {
                let is_late = !router.table.is_cold(now, SERVER);
                let hears = is_late && router.deaf_since.is_none() && !is_frozen(number);
                if hears && !random.random_bool(scenario.loss) {
                    router.table.record_cold(now, SERVER, cold_end);
                }
            }
        }
        reports.update(now);
        for number in 0..count {
            routers[number].demand *= (-(STEP_MILLIS as f64) / 1_000.0 / DEMAND_SECONDS).exp();
            if is_cold && cut[number] {
                routers[number].deaf_since.get_or_insert(now);
            }
            if is_frozen(number) || now < routers[number].next_report {
                continue;
            }
            let share = routers[number].share(now, number, &reports);
            let router = &mut routers[number];
            router.next_report = now.plus_millis(scenario.report_millis);
            router.table.record_sample(now, SERVER, &share);
            // Demands are reported only while a server is known to be cold.
            let cold = router.table.is_cold(now, SERVER);
            let demand = if cold { router.demand } else { 0.0 };
            let sends = router.table.recent_sends(now).map(|(_, sends)| sends).sum();
            if router.deaf_since.is_none() && !random.random_bool(scenario.loss) {
                let at = now.plus_millis(scenario.delay_millis);
                travelling.push_back((at, number, SimReport { sends, demand, cold }));
            }
        }
        let rushes = millis >= COLD_MILLIS + scenario.rush_millis;
        let demand = scenario.demand.max(scenario.wanted[usize::from(rushes)]);
        owed += demand * STEP_MILLIS as f64 / 1_000.0;
        while owed >= 1.0 {
            owed -= 1.0;
            let router = random.random_range(0..scenario.busy_routers);
            if is_frozen(router) {
                continue;
            }
            routers[router].demand += 1.0;
            // A router that does not know that the server is cold prefers it to no other.
            let knows = routers[router].table.is_cold(now, SERVER);
            let wanted = scenario.wanted[usize::from(rushes && knows)];
            if !random.random_bool((wanted / demand).min(1.0)) {
                continue;
            }
            let share = routers[router].share(now, router, &reports);
            let table = &mut routers[router].table;
            if table.wait_millis(now, SERVER, &share) == 0 {
                table.record_send(now, SERVER, &share);
                if is_cold {
                    times.push(millis);
                }
            }
        }
    }
    times
}

/// The largest number of times within a second.
pub fn most_in_second(times: &[u64]) -> usize {
    let within =
        |start: &u64| times.iter().filter(|at| (*start..*start + 1_000).contains(*at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

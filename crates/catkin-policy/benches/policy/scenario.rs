//! Faults and surges that a run meets.

use rand::Rng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;
use super::trace::exponential;

/// Kind of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    Steady,
    ChurnOne,
    ChurnTen,
    Flapping,
    FlappingPool,
    Surge,
    SplitViews,
    DomainLoss,
    LateEvents,
    RouterRestarts,
}

/// All scenarios, in the order of the table.
pub const SCENARIOS: [Scenario; 10] = [
    Scenario::Steady,
    Scenario::ChurnOne,
    Scenario::ChurnTen,
    Scenario::Flapping,
    Scenario::FlappingPool,
    Scenario::Surge,
    Scenario::SplitViews,
    Scenario::DomainLoss,
    Scenario::LateEvents,
    Scenario::RouterRestarts,
];

/// Something that happens to the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    ServerCrash(usize),
    ServerStart(usize),
    /// The server wants no new work; it stops once it is empty or after a while.
    ServerLeave(usize),
    ServerStop(usize),
    RouterCrash(usize),
    RouterStart(usize),
    SplitStart,
    SplitEnd,
}

/// A fault and when it happens, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    pub at_millis: u64,
    pub fault: Fault,
}

/// Time that a crashed server is away, in milliseconds.
const CRASH_MILLIS: u64 = 20_000;
/// Time that a leaving server has to finish, and then stays away, in milliseconds.
const LEAVE_MILLIS: u64 = 60_000;
const AWAY_MILLIS: u64 = 30_000;
/// Times that a flapping server is up and down, in milliseconds.
const FLAP_UP_MILLIS: u64 = 7_000;
const FLAP_DOWN_MILLIS: u64 = 4_000;
/// One in so many servers flaps.
const FLAPPER_SHARE: usize = 20;
/// Length of a split of views and of the loss of a domain, in milliseconds.
const OUTAGE_MILLIS: u64 = 60_000;
/// Time that a restarted router is away, in milliseconds.
const RESTART_MILLIS: u64 = 3_000;

impl Scenario {
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::ChurnOne => "churn-1",
            Self::ChurnTen => "churn-10",
            Self::Flapping => "flapping",
            Self::FlappingPool => "flapping-pool",
            Self::Surge => "surge",
            Self::SplitViews => "split-views",
            Self::DomainLoss => "domain-loss",
            Self::LateEvents => "late-events",
            Self::RouterRestarts => "router-restarts",
        }
    }

    /// Factor on the rate of requests after the warm-up.
    pub fn rate_factor(self) -> f64 {
        if self == Self::Surge { 1.5 } else { 1.0 }
    }

    /// Interval at which servers refresh their reports, in milliseconds.
    pub fn publish_millis(self) -> u64 {
        if self == Self::LateEvents { 3_000 } else { 500 }
    }

    /// Share of the cache events that are lost.
    pub fn event_loss(self) -> f64 {
        if self == Self::LateEvents { 0.3 } else { 0.0 }
    }

    /// The faults between two times.
    pub fn faults(
        self,
        deployment: &Deployment,
        from_millis: u64,
        to_millis: u64,
        random: &mut SmallRng,
    ) -> Vec<FaultPlan> {
        let mut faults = match self {
            Self::ChurnOne => churn(deployment, 0.01, from_millis, to_millis, random),
            Self::ChurnTen => churn(deployment, 0.10, from_millis, to_millis, random),
            Self::Flapping => flapping(deployment, FLAPPER_SHARE, from_millis, to_millis),
            Self::FlappingPool => flapping(deployment, 1, from_millis, to_millis),
            Self::SplitViews => split(from_millis),
            Self::DomainLoss => domain_loss(deployment, from_millis),
            Self::RouterRestarts => restarts(deployment, from_millis, to_millis),
            Self::Steady | Self::Surge | Self::LateEvents => Vec::new(),
        };
        faults.sort_by_key(|plan| plan.at_millis);
        faults
    }
}

fn plan(at_millis: u64, fault: Fault) -> FaultPlan {
    FaultPlan { at_millis, fault }
}

fn churn(
    deployment: &Deployment,
    share_per_minute: f64,
    from_millis: u64,
    to_millis: u64,
    random: &mut SmallRng,
) -> Vec<FaultPlan> {
    let servers = deployment.servers.len();
    let mean_gap = 60_000.0 / (servers as f64 * share_per_minute);
    let mut away_until = vec![0; servers];
    let mut plans = Vec::new();
    let mut at = from_millis;
    loop {
        at += exponential(random, mean_gap) as u64;
        if at >= to_millis {
            break;
        }
        let server = random.random_range(0..servers);
        if away_until[server] > at {
            continue;
        }
        let change = if random.random::<bool>() { crash(at, server) } else { leave(at, server) };
        away_until[server] = change.iter().map(|plan| plan.at_millis).max().unwrap_or(at) + 5_000;
        plans.extend(change);
    }
    if plans.is_empty() {
        // A small deployment may see no change in so short a run; the scenario needs one.
        let third = from_millis + (to_millis - from_millis) / 3;
        plans.extend(crash(third, random.random_range(0..servers)));
    }
    plans
}

fn crash(at: u64, server: usize) -> Vec<FaultPlan> {
    vec![plan(at, Fault::ServerCrash(server)), plan(at + CRASH_MILLIS, Fault::ServerStart(server))]
}

fn leave(at: u64, server: usize) -> Vec<FaultPlan> {
    vec![
        plan(at, Fault::ServerLeave(server)),
        plan(at + LEAVE_MILLIS, Fault::ServerStop(server)),
        plan(at + LEAVE_MILLIS + AWAY_MILLIS, Fault::ServerStart(server)),
    ]
}

/// Every server at a multiple of `spacing` flaps, up to one in twenty of all.
fn flapping(
    deployment: &Deployment,
    spacing: usize,
    from_millis: u64,
    to_millis: u64,
) -> Vec<FaultPlan> {
    let flappers = deployment.servers.len().div_ceil(FLAPPER_SHARE);
    let period = FLAP_UP_MILLIS + FLAP_DOWN_MILLIS;
    let times = (from_millis..to_millis).step_by(period as usize);
    let cycles =
        times.flat_map(|at| (0..flappers).map(move |place| (at + place as u64, place * spacing)));
    let plans = cycles.flat_map(|(at, server)| {
        let start = plan(at + FLAP_DOWN_MILLIS, Fault::ServerStart(server));
        [plan(at, Fault::ServerCrash(server)), start]
    });
    plans.collect()
}

fn split(from_millis: u64) -> Vec<FaultPlan> {
    vec![plan(from_millis, Fault::SplitStart), plan(from_millis + OUTAGE_MILLIS, Fault::SplitEnd)]
}

fn domain_loss(deployment: &Deployment, from_millis: u64) -> Vec<FaultPlan> {
    let lost = deployment.servers[0].domain;
    let servers = deployment.servers.iter().enumerate().filter(|(_, spec)| spec.domain == lost);
    let routers = deployment.routers.iter().enumerate().filter(|(_, spec)| spec.domain == lost);
    let end = from_millis + OUTAGE_MILLIS;
    let mut plans = Vec::new();
    for (server, _) in servers {
        plans.push(plan(from_millis, Fault::ServerCrash(server)));
        plans.push(plan(end, Fault::ServerStart(server)));
    }
    for (router, _) in routers {
        plans.push(plan(from_millis, Fault::RouterCrash(router)));
        plans.push(plan(end, Fault::RouterStart(router)));
    }
    plans
}

fn restarts(deployment: &Deployment, from_millis: u64, to_millis: u64) -> Vec<FaultPlan> {
    let routers = deployment.routers.len();
    let times = (from_millis..to_millis).step_by(10_000);
    let plans = times.enumerate().flat_map(|(turn, at)| {
        let router = turn % routers;
        let start = plan(at + RESTART_MILLIS, Fault::RouterStart(router));
        [plan(at, Fault::RouterCrash(router)), start]
    });
    plans.collect()
}

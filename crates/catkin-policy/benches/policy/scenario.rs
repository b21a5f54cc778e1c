//! Scenarios: the faults and surges of a run.

use rand::Rng;
use rand::rngs::SmallRng;

use super::deployment::Deployment;
use super::trace::draw_exponential;

/// The faults and the load of a run.
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

/// A fault that is injected into the fleet; servers and routers are given by index.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    ServerCrash(usize),
    ServerStart(usize),
    /// The server accepts no new requests. `ServerStop` follows.
    ServerLeave(usize),
    ServerStop(usize),
    RouterCrash(usize),
    RouterStart(usize),
    PartitionStart,
    PartitionEnd,
}

/// A fault and the time at which it is injected, in milliseconds from the start of the run.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    pub at_millis: u64,
    pub fault: Fault,
}

/// Time for which a crashed server is down.
const CRASH_DOWN_MILLIS: u64 = 20_000;
/// Time that a leaving server has to finish its requests, and for which it is down afterwards.
const LEAVE_GRACE_MILLIS: u64 = 60_000;
const LEAVE_DOWN_MILLIS: u64 = 30_000;
/// Times for which a flapping server is up and down in each cycle.
const FLAP_UP_MILLIS: u64 = 7_000;
const FLAP_DOWN_MILLIS: u64 = 4_000;
/// One of this many servers flaps.
const FLAPPER_DIVISOR: usize = 20;
/// Duration of a network partition and of the loss of a failure domain.
const OUTAGE_MILLIS: u64 = 60_000;
/// Time for which a restarting router is down.
const RESTART_DOWN_MILLIS: u64 = 3_000;

impl Scenario {
    /// Name in the table, on the command line and in `KNOWN-RED.txt`.
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

    /// Factor by which the request rate rises after the warm-up.
    pub fn rate_factor(self) -> f64 {
        if self == Self::Surge { 1.5 } else { 1.0 }
    }

    /// Interval at which servers refresh the reports that probes read.
    pub fn report_refresh_millis(self) -> u64 {
        if self == Self::LateEvents { 3_000 } else { 500 }
    }

    /// Fraction of the cache events that are lost.
    pub fn event_loss_rate(self) -> f64 {
        if self == Self::LateEvents { 0.3 } else { 0.0 }
    }

    /// Plans the faults between two times, in the order of their times.
    pub fn plan_faults(
        self,
        deployment: &Deployment,
        from_millis: u64,
        to_millis: u64,
        random: &mut SmallRng,
    ) -> Vec<FaultPlan> {
        let mut faults = match self {
            Self::ChurnOne => plan_churn(deployment, 0.01, from_millis, to_millis, random),
            Self::ChurnTen => plan_churn(deployment, 0.10, from_millis, to_millis, random),
            Self::Flapping => plan_flapping(deployment, FLAPPER_DIVISOR, from_millis, to_millis),
            Self::FlappingPool => plan_flapping(deployment, 1, from_millis, to_millis),
            Self::SplitViews => plan_partition(from_millis),
            Self::DomainLoss => plan_domain_loss(deployment, from_millis),
            Self::RouterRestarts => plan_restarts(deployment, from_millis, to_millis),
            Self::Steady | Self::Surge | Self::LateEvents => Vec::new(),
        };
        faults.sort_by_key(|plan| plan.at_millis);
        faults
    }
}

fn plan_fault(at_millis: u64, fault: Fault) -> FaultPlan {
    FaultPlan { at_millis, fault }
}

fn plan_churn(
    deployment: &Deployment,
    churn_per_minute: f64,
    from_millis: u64,
    to_millis: u64,
    random: &mut SmallRng,
) -> Vec<FaultPlan> {
    let servers = deployment.servers.len();
    let mean_gap = 60_000.0 / (servers as f64 * churn_per_minute);
    let mut down_until = vec![0; servers];
    let mut plans = Vec::new();
    let mut at = from_millis;
    loop {
        at += draw_exponential(random, mean_gap) as u64;
        if at >= to_millis {
            break;
        }
        let server = random.random_range(0..servers);
        if down_until[server] > at {
            continue;
        }
        let change =
            if random.random::<bool>() { plan_crash(at, server) } else { plan_leave(at, server) };
        down_until[server] = change.iter().map(|plan| plan.at_millis).max().unwrap_or(at) + 5_000;
        plans.extend(change);
    }
    if plans.is_empty() {
        // A small deployment may have no change in a short run; the scenario needs at least one.
        let third = from_millis + (to_millis - from_millis) / 3;
        plans.extend(plan_crash(third, random.random_range(0..servers)));
    }
    plans
}

fn plan_crash(at: u64, server: usize) -> Vec<FaultPlan> {
    vec![
        plan_fault(at, Fault::ServerCrash(server)),
        plan_fault(at + CRASH_DOWN_MILLIS, Fault::ServerStart(server)),
    ]
}

fn plan_leave(at: u64, server: usize) -> Vec<FaultPlan> {
    vec![
        plan_fault(at, Fault::ServerLeave(server)),
        plan_fault(at + LEAVE_GRACE_MILLIS, Fault::ServerStop(server)),
        plan_fault(at + LEAVE_GRACE_MILLIS + LEAVE_DOWN_MILLIS, Fault::ServerStart(server)),
    ]
}

/// Plans the flapping of servers whose index is a multiple of `spacing`: one of `FLAPPER_DIVISOR`
/// of all servers.
fn plan_flapping(
    deployment: &Deployment,
    spacing: usize,
    from_millis: u64,
    to_millis: u64,
) -> Vec<FaultPlan> {
    let flappers = deployment.servers.len().div_ceil(FLAPPER_DIVISOR);
    let period = FLAP_UP_MILLIS + FLAP_DOWN_MILLIS;
    let times = (from_millis..to_millis).step_by(period as usize);
    let cycles =
        times.flat_map(|at| (0..flappers).map(move |index| (at + index as u64, index * spacing)));
    let plans = cycles.flat_map(|(at, server)| {
        let start = plan_fault(at + FLAP_DOWN_MILLIS, Fault::ServerStart(server));
        [plan_fault(at, Fault::ServerCrash(server)), start]
    });
    plans.collect()
}

fn plan_partition(from_millis: u64) -> Vec<FaultPlan> {
    vec![
        plan_fault(from_millis, Fault::PartitionStart),
        plan_fault(from_millis + OUTAGE_MILLIS, Fault::PartitionEnd),
    ]
}

fn plan_domain_loss(deployment: &Deployment, from_millis: u64) -> Vec<FaultPlan> {
    let lost = deployment.servers[0].domain;
    let servers = deployment.servers.iter().enumerate().filter(|(_, spec)| spec.domain == lost);
    let routers = deployment.routers.iter().enumerate().filter(|(_, spec)| spec.domain == lost);
    let end = from_millis + OUTAGE_MILLIS;
    let mut plans = Vec::new();
    for (server, _) in servers {
        plans.push(plan_fault(from_millis, Fault::ServerCrash(server)));
        plans.push(plan_fault(end, Fault::ServerStart(server)));
    }
    for (router, _) in routers {
        plans.push(plan_fault(from_millis, Fault::RouterCrash(router)));
        plans.push(plan_fault(end, Fault::RouterStart(router)));
    }
    plans
}

fn plan_restarts(deployment: &Deployment, from_millis: u64, to_millis: u64) -> Vec<FaultPlan> {
    let routers = deployment.routers.len();
    let times = (from_millis..to_millis).step_by(10_000);
    let plans = times.enumerate().flat_map(|(turn, at)| {
        let router = turn % routers;
        let start = plan_fault(at + RESTART_DOWN_MILLIS, Fault::RouterStart(router));
        [plan_fault(at, Fault::RouterCrash(router)), start]
    });
    plans.collect()
}

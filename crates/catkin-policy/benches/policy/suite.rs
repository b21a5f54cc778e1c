//! Runs strategies through scenarios and checks the bounds.
//!
//! Read `deployment`, `scenario` and `trace` first: they define the servers, the faults and the
//! requests. `simulator` runs the events over the state in `servers` and collects the `metrics`.
//! `simple` and `fleet` are the strategies; `entry`, `membership`, `owner_tasks`, `message` and
//! `view` belong to `fleet`.

mod bounds;
mod deployment;
mod entry;
mod fleet;
mod membership;
mod message;
mod metrics;
mod owner_tasks;
mod scenario;
mod servers;
mod simple;
mod simulator;
mod trace;
mod view;

use deployment::Deployment;
use fleet::FleetStrategy;
use metrics::RunMetrics;
use scenario::{SCENARIOS, Scenario};
use simple::{SimpleRule, SimpleStrategy};
use simulator::{RunSettings, run_simulation};

/// Prefix of the lines of `KNOWN-RED.txt` that list bounds known to be exceeded in the full form.
const KNOWN_PREFIX: &str = "policy-bench:";
/// Prefix of these lines for the short form.
const KNOWN_QUICK_PREFIX: &str = "policy-bench --quick:";
const KNOWN_RED: &str = include_str!("../../../../KNOWN-RED.txt");

/// A strategy for placing requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StrategyChoice {
    Simple(SimpleRule),
    Fleet,
}

/// All strategies, in the order of the table.
const STRATEGIES: [StrategyChoice; 6] = [
    StrategyChoice::Simple(SimpleRule::Random),
    StrategyChoice::Simple(SimpleRule::Rendezvous),
    StrategyChoice::Simple(SimpleRule::LocalBounded),
    StrategyChoice::Simple(SimpleRule::TwoChoices),
    StrategyChoice::Fleet,
    StrategyChoice::Simple(SimpleRule::Omniscient),
];

/// Options that select what a suite runs.
#[derive(Debug, Clone, Default)]
pub struct SuiteOptions {
    /// Shorter runs of the small deployments, with the strategies that the bounds compare.
    pub quick: bool,
    /// Only the two strategies that the bounds compare.
    pub compared: bool,
    /// Only the deployment of this name.
    pub deployment: Option<String>,
    /// Only the scenarios of these names, separated by commas. `surge` includes `steady`, with
    /// which it is compared.
    pub scenario: Option<String>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A bound that a run exceeded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoundBreach {
    pub quick: bool,
    pub deployment: &'static str,
    pub scenario: &'static str,
    pub metric: &'static str,
    pub detail: String,
}

impl BoundBreach {
    /// The name under which `KNOWN-RED.txt` lists the breach.
    pub fn name(&self) -> String {
        format!("{}/{}/{}", self.deployment, self.scenario, self.metric)
    }

    /// Whether `KNOWN-RED.txt` lists the breach.
    pub fn is_known(&self) -> bool {
        let prefix = if self.quick { KNOWN_QUICK_PREFIX } else { KNOWN_PREFIX };
        let listed = KNOWN_RED.lines().filter_map(|line| line.strip_prefix(prefix));
        let mut names = listed.filter_map(|line| line.split_whitespace().next());
        names.any(|name| self.is_named(name))
    }

    /// Whether `name` matches the breach; a segment `*` matches any value.
    fn is_named(&self, name: &str) -> bool {
        let own = [self.deployment, self.scenario, self.metric];
        let segments: Vec<&str> = name.split('/').collect();
        segments.len() == own.len()
            && segments.iter().zip(own).all(|(segment, own)| *segment == "*" || *segment == own)
    }
}

/// Runs a suite, passes each line of the table to `print`, and returns the exceeded bounds.
pub fn run_suite(options: &SuiteOptions, mut print: impl FnMut(&str)) -> Vec<BoundBreach> {
    let deployments = select_deployments(options);
    let mut breaches = Vec::new();
    print(&format_table_head());
    for deployment in &deployments {
        let mut steady_wait = 0.0;
        for scenario in
            SCENARIOS.into_iter().filter(|scenario| options.includes_scenario(*scenario))
        {
            let runs = run_scenario(options, deployment, scenario, &mut print);
            if scenario == Scenario::Steady {
                steady_wait = runs.fleet.quick_p95_millis();
            }
            let checks = RunChecks { deployment, scenario, runs: &runs, steady_wait };
            breaches.extend(checks.find_breaches(options));
        }
    }
    breaches
}

impl SuiteOptions {
    fn includes_scenario(&self, scenario: Scenario) -> bool {
        let Some(names) = &self.scenario else {
            return true;
        };
        let is_chosen = |wanted: Scenario| names.split(',').any(|name| name == wanted.name());
        is_chosen(scenario) || (scenario == Scenario::Steady && is_chosen(Scenario::Surge))
    }

    /// Settings of a run: shorter in the quick form and for the large deployment.
    fn run_settings(&self, deployment: &Deployment) -> RunSettings {
        let small = deployment.routers.len() < 100;
        let (warm_up_millis, end_millis) = match (self.quick, small) {
            (true, _) => (120_000, 300_000),
            (false, true) => (300_000, 1_500_000),
            (false, false) => (60_000, 180_000),
        };
        RunSettings { warm_up_millis, end_millis, seed: self.seed }
    }

    /// Strategies to run.
    fn strategies(&self) -> &'static [StrategyChoice] {
        if self.quick || self.compared { &STRATEGIES[4..] } else { &STRATEGIES }
    }
}

/// Metrics of the two strategies that the bounds compare.
struct ScenarioRuns {
    fleet: RunMetrics,
    omniscient: RunMetrics,
}

fn select_deployments(options: &SuiteOptions) -> Vec<Deployment> {
    let all = [deployment::swiss(), deployment::glenmore(), deployment::full()];
    let wanted = |deployment: &Deployment| match &options.deployment {
        Some(name) => name == deployment.name,
        None => !options.quick || deployment.routers.len() < 100,
    };
    all.into_iter().filter(wanted).collect()
}

fn run_scenario(
    options: &SuiteOptions,
    deployment: &Deployment,
    scenario: Scenario,
    print: &mut impl FnMut(&str),
) -> ScenarioRuns {
    let settings = options.run_settings(deployment);
    let mut fleet = None;
    let mut omniscient = None;
    for strategy in options.strategies() {
        let metrics = run_strategy(*strategy, deployment, scenario, settings);
        print(&format_table_row(deployment, scenario, *strategy, &metrics, settings));
        match strategy {
            StrategyChoice::Fleet => fleet = Some(metrics),
            StrategyChoice::Simple(SimpleRule::Omniscient) => omniscient = Some(metrics),
            StrategyChoice::Simple(_) => {}
        }
    }
    let fleet = fleet.expect("each list of strategies contains the fleet");
    let omniscient = omniscient.expect("each list of strategies contains the omniscient strategy");
    ScenarioRuns { fleet, omniscient }
}

fn run_strategy(
    strategy: StrategyChoice,
    deployment: &Deployment,
    scenario: Scenario,
    settings: RunSettings,
) -> RunMetrics {
    match strategy {
        StrategyChoice::Simple(rule) => {
            run_simulation(SimpleStrategy::new(rule, deployment), deployment, scenario, settings)
        }
        StrategyChoice::Fleet => {
            run_simulation(FleetStrategy::new(deployment), deployment, scenario, settings)
        }
    }
}

/// The runs of one scenario, to be checked against the bounds.
struct RunChecks<'a> {
    deployment: &'a Deployment,
    scenario: Scenario,
    runs: &'a ScenarioRuns,
    steady_wait: f64,
}

impl RunChecks<'_> {
    fn find_breaches(&self, options: &SuiteOptions) -> Vec<BoundBreach> {
        let fleet = &self.runs.fleet;
        let settings = options.run_settings(self.deployment);
        let seconds = (settings.end_millis - settings.warm_up_millis) as f64 / 1000.0;
        let reuse = fleet.reuse() / self.runs.omniscient.reuse();
        let (control, control_max) = fleet.control_bytes(seconds);
        let wait = fleet.quick_p95_millis() / self.steady_wait;
        let surge = self.scenario == Scenario::Surge;
        let checks = [
            ("reuse", reuse >= bounds::MIN_REUSE_RATIO, format!("{reuse:.3}")),
            (
                "over-bound",
                is_within(fleet.over_bound, bounds::MAX_OVER_BOUND),
                fleet.over_bound.to_string(),
            ),
            (
                "skew",
                fleet.bound_ratio_median() <= bounds::MAX_BOUND_RATIO,
                format!("{:.3}", fleet.bound_ratio_median()),
            ),
            ("control", control <= bounds::MAX_CONTROL_BYTES, format!("{control:.0}")),
            ("control-max", control_max <= bounds::MAX_CONTROL_BYTES, format!("{control_max:.0}")),
            ("quick-wait", !surge || wait <= bounds::MAX_SURGE_WAIT_RATIO, format!("{wait:.2}")),
            ("starved", is_within(fleet.starved, bounds::MAX_STARVED), fleet.starved.to_string()),
            ("doubled", is_within(fleet.doubled, bounds::MAX_DOUBLED), fleet.doubled.to_string()),
        ];
        let missed = checks.into_iter().filter(|(_, holds, _)| !holds);
        missed.map(|(metric, _, detail)| self.build_breach(options.quick, metric, detail)).collect()
    }

    fn build_breach(&self, quick: bool, metric: &'static str, detail: String) -> BoundBreach {
        BoundBreach {
            quick,
            deployment: self.deployment.name,
            scenario: self.scenario.name(),
            metric,
            detail,
        }
    }
}

impl StrategyChoice {
    fn name(self) -> &'static str {
        match self {
            Self::Simple(SimpleRule::Random) => "random",
            Self::Simple(SimpleRule::Rendezvous) => "rendezvous",
            Self::Simple(SimpleRule::LocalBounded) => "local-bounded",
            Self::Simple(SimpleRule::TwoChoices) => "two-choices",
            Self::Simple(SimpleRule::Omniscient) => "omniscient",
            Self::Fleet => "ours",
        }
    }
}

/// Whether a count stays within its bound.
fn is_within(count: u64, max: u64) -> bool {
    count <= max
}

fn format_table_head() -> String {
    "| deployment | scenario | way | reuse | over bound | skew median | skew max | busiest/bound \
     | control B/s mean | control B/s max | quick p95 ms | long p95 ms | refused | starved \
     | lost |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
        .to_owned()
}

fn format_table_row(
    deployment: &Deployment,
    scenario: Scenario,
    strategy: StrategyChoice,
    metrics: &RunMetrics,
    settings: RunSettings,
) -> String {
    let seconds = (settings.end_millis - settings.warm_up_millis) as f64 / 1000.0;
    let (control_mean, control_max) = metrics.control_bytes(seconds);
    format!(
        "| {} | {} | {} | {:.3} | {} | {:.2} | {:.2} | {:.2} | {:.0} | {:.0} | {:.1} | {:.1} \
         | {} | {} | {} |",
        deployment.name,
        scenario.name(),
        strategy.name(),
        metrics.reuse(),
        metrics.over_bound,
        metrics.skew_median(),
        metrics.skew_max(),
        metrics.bound_ratio_median(),
        control_mean,
        control_max,
        metrics.quick_p95_millis(),
        metrics.long_p95_millis(),
        metrics.refused,
        metrics.starved,
        metrics.lost,
    )
}

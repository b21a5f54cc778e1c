//! Runs ways through scenarios and checks the bounds.

mod bounds;
mod deployment;
mod duties;
mod entry;
mod fleet;
mod measure;
mod members;
mod message;
mod scenario;
mod simple;
mod stage;
mod trace;
mod view;
mod world;

use deployment::Deployment;
use fleet::FleetWay;
use measure::RunMeasures;
use scenario::{SCENARIOS, Scenario};
use simple::{SimpleRule, SimpleWay};
use stage::{RunSpan, play};

/// Bounds that are known to be missed, one a line of `KNOWN-RED.txt` that starts with these words.
const KNOWN_PREFIX: &str = "policy-bench:";
/// The same for the short form.
const KNOWN_QUICK_PREFIX: &str = "policy-bench --quick:";
const KNOWN_RED: &str = include_str!("../../../../KNOWN-RED.txt");

/// A way to place requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Simple(SimpleRule),
    Fleet,
}

/// All ways, in the order of the table.
const WAYS: [Way; 6] = [
    Way::Simple(SimpleRule::Random),
    Way::Simple(SimpleRule::Rendezvous),
    Way::Simple(SimpleRule::LocalBounded),
    Way::Simple(SimpleRule::TwoChoices),
    Way::Fleet,
    Way::Simple(SimpleRule::Omniscient),
];

/// What a suite plays.
#[derive(Debug, Clone, Default)]
pub struct SuiteChoice {
    /// Only the small deployments, shorter, with the ways that the bounds compare.
    pub quick: bool,
    /// Only the two ways that the bounds compare.
    pub compared: bool,
    /// Only the deployment of this name.
    pub deployment: Option<String>,
    /// Only the scenarios of these names, split by commas; a surge is compared with `steady`.
    pub scenario: Option<String>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A bound that a run missed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoundBreach {
    pub quick: bool,
    pub deployment: &'static str,
    pub scenario: &'static str,
    pub measure: &'static str,
    pub detail: String,
}

impl BoundBreach {
    /// The name by which `KNOWN-RED.txt` lists it.
    pub fn name(&self) -> String {
        format!("{}/{}/{}", self.deployment, self.scenario, self.measure)
    }

    /// Whether `KNOWN-RED.txt` lists it.
    pub fn is_known(&self) -> bool {
        let prefix = if self.quick { KNOWN_QUICK_PREFIX } else { KNOWN_PREFIX };
        let listed = KNOWN_RED.lines().filter_map(|line| line.strip_prefix(prefix));
        let mut names = listed.filter_map(|line| line.split_whitespace().next());
        names.any(|name| self.is_named(name))
    }

    /// Whether `name` names it; a part `*` stands for each name in its place.
    fn is_named(&self, name: &str) -> bool {
        let own = [self.deployment, self.scenario, self.measure];
        let parts: Vec<&str> = name.split('/').collect();
        parts.len() == own.len()
            && parts.iter().zip(own).all(|(part, own)| *part == "*" || *part == own)
    }
}

/// Plays a suite, hands each line of the table to `print`, and returns the missed bounds.
pub fn run_suite(choice: &SuiteChoice, mut print: impl FnMut(&str)) -> Vec<BoundBreach> {
    let deployments = chosen_deployments(choice);
    let mut breaches = Vec::new();
    print(&table_head());
    for deployment in &deployments {
        let mut steady_wait = 0.0;
        for scenario in SCENARIOS.into_iter().filter(|scenario| choice.plays(*scenario)) {
            let runs = play_scenario(choice, deployment, scenario, &mut print);
            if scenario == Scenario::Steady {
                steady_wait = runs.fleet.quick_p95_millis();
            }
            let checks = RunChecks { deployment, scenario, runs: &runs, steady_wait };
            breaches.extend(checks.breaches(choice));
        }
    }
    breaches
}

impl SuiteChoice {
    fn plays(&self, scenario: Scenario) -> bool {
        let Some(names) = &self.scenario else {
            return true;
        };
        let chosen = |wanted: Scenario| names.split(',').any(|name| name == wanted.name());
        chosen(scenario) || (scenario == Scenario::Steady && chosen(Scenario::Surge))
    }

    fn span(&self, deployment: &Deployment) -> RunSpan {
        let small = deployment.routers.len() < 100;
        let (warm_up_millis, end_millis) = match (self.quick, small) {
            (true, _) => (120_000, 300_000),
            (false, true) => (300_000, 1_500_000),
            (false, false) => (60_000, 180_000),
        };
        RunSpan { warm_up_millis, end_millis, seed: self.seed }
    }

    fn ways(&self) -> &'static [Way] {
        if self.quick || self.compared { &WAYS[4..] } else { &WAYS }
    }
}

/// The two runs that the bounds compare.
struct ScenarioRuns {
    fleet: RunMeasures,
    omniscient: RunMeasures,
}

fn chosen_deployments(choice: &SuiteChoice) -> Vec<Deployment> {
    let all = [deployment::swiss(), deployment::glenmore(), deployment::full()];
    let wanted = |deployment: &Deployment| match &choice.deployment {
        Some(name) => name == deployment.name,
        None => !choice.quick || deployment.routers.len() < 100,
    };
    all.into_iter().filter(wanted).collect()
}

fn play_scenario(
    choice: &SuiteChoice,
    deployment: &Deployment,
    scenario: Scenario,
    print: &mut impl FnMut(&str),
) -> ScenarioRuns {
    let span = choice.span(deployment);
    let mut fleet = None;
    let mut omniscient = None;
    for way in choice.ways() {
        let measures = play_way(*way, deployment, scenario, span);
        print(&table_row(deployment, scenario, *way, &measures, span));
        match way {
            Way::Fleet => fleet = Some(measures),
            Way::Simple(SimpleRule::Omniscient) => omniscient = Some(measures),
            Way::Simple(_) => {}
        }
    }
    let fleet = fleet.expect("every choice of ways has the fleet");
    let omniscient = omniscient.expect("every choice of ways has the omniscient way");
    ScenarioRuns { fleet, omniscient }
}

fn play_way(way: Way, deployment: &Deployment, scenario: Scenario, span: RunSpan) -> RunMeasures {
    match way {
        Way::Simple(rule) => play(SimpleWay::new(rule, deployment), deployment, scenario, span),
        Way::Fleet => play(FleetWay::new(deployment), deployment, scenario, span),
    }
}

/// One scenario's runs, to be held against the bounds.
struct RunChecks<'a> {
    deployment: &'a Deployment,
    scenario: Scenario,
    runs: &'a ScenarioRuns,
    steady_wait: f64,
}

impl RunChecks<'_> {
    fn breaches(&self, choice: &SuiteChoice) -> Vec<BoundBreach> {
        let fleet = &self.runs.fleet;
        let span = choice.span(self.deployment);
        let seconds = (span.end_millis - span.warm_up_millis) as f64 / 1000.0;
        let reuse = fleet.reuse() / self.runs.omniscient.reuse();
        let (control, control_max) = fleet.control_bytes(seconds);
        let wait = fleet.quick_p95_millis() / self.steady_wait;
        let surge = self.scenario == Scenario::Surge;
        let checks = [
            ("reuse", reuse >= bounds::LEAST_REUSE_SHARE, format!("{reuse:.3}")),
            (
                "over-bound",
                within(fleet.over_bound, bounds::MOST_OVER_BOUND),
                fleet.over_bound.to_string(),
            ),
            (
                "skew",
                fleet.bound_share_median() <= bounds::MOST_BOUND_SHARE,
                format!("{:.3}", fleet.bound_share_median()),
            ),
            ("control", control <= bounds::MOST_CONTROL_BYTES, format!("{control:.0}")),
            ("control-max", control_max <= bounds::MOST_CONTROL_BYTES, format!("{control_max:.0}")),
            ("quick-wait", !surge || wait <= bounds::MOST_SURGE_WAIT_SHARE, format!("{wait:.2}")),
            ("starved", within(fleet.starved, bounds::MOST_STARVED), fleet.starved.to_string()),
            ("doubled", within(fleet.doubled, bounds::MOST_DOUBLED), fleet.doubled.to_string()),
        ];
        let missed = checks.into_iter().filter(|(_, kept, _)| !kept);
        missed.map(|(measure, _, detail)| self.breach(choice.quick, measure, detail)).collect()
    }

    fn breach(&self, quick: bool, measure: &'static str, detail: String) -> BoundBreach {
        BoundBreach {
            quick,
            deployment: self.deployment.name,
            scenario: self.scenario.name(),
            measure,
            detail,
        }
    }
}

impl Way {
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

fn within(count: u64, most: u64) -> bool {
    count <= most
}

fn table_head() -> String {
    "| deployment | scenario | way | reuse | over bound | skew median | skew max | busiest/bound \
     | control B/s mean | control B/s max | quick p95 ms | long p95 ms | refused | starved \
     | lost |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
        .to_owned()
}

fn table_row(
    deployment: &Deployment,
    scenario: Scenario,
    way: Way,
    measures: &RunMeasures,
    span: RunSpan,
) -> String {
    let seconds = (span.end_millis - span.warm_up_millis) as f64 / 1000.0;
    let (control_mean, control_max) = measures.control_bytes(seconds);
    format!(
        "| {} | {} | {} | {:.3} | {} | {:.2} | {:.2} | {:.2} | {:.0} | {:.0} | {:.1} | {:.1} \
         | {} | {} | {} |",
        deployment.name,
        scenario.name(),
        way.name(),
        measures.reuse(),
        measures.over_bound,
        measures.skew_median(),
        measures.skew_max(),
        measures.bound_share_median(),
        control_mean,
        control_max,
        measures.quick_p95_millis(),
        measures.long_p95_millis(),
        measures.refused,
        measures.starved,
        measures.crashed,
    )
}

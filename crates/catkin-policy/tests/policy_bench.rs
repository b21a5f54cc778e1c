//! Short runs of the policy bench on the two small deployments. They guard the bounds of the bench:
//! a test fails if a run exceeds a bound that `KNOWN-RED.txt` does not list.

#[path = "../benches/policy/suite.rs"]
mod suite;

use suite::{BoundBreach, SuiteOptions, run_suite};

fn run_scenario(deployment: &str, scenario: &str) -> Vec<String> {
    let options = SuiteOptions {
        quick: true,
        deployment: Some(deployment.to_owned()),
        scenario: Some(scenario.to_owned()),
        seed: 1,
        ..SuiteOptions::default()
    };
    let breaches = run_suite(&options, |line| println!("{line}"));
    let unknown = breaches.iter().filter(|breach| !breach.is_known());
    unknown.map(BoundBreach::name).collect()
}

#[test]
fn swiss_surge_stays_within_bounds() {
    assert_eq!(run_scenario("swiss", "surge"), Vec::<String>::new());
}

#[test]
fn glenmore_surge_stays_within_bounds() {
    assert_eq!(run_scenario("glenmore", "surge"), Vec::<String>::new());
}

#[test]
fn swiss_churn_stays_within_bounds() {
    assert_eq!(run_scenario("swiss", "churn-10"), Vec::<String>::new());
}

#[test]
fn glenmore_churn_stays_within_bounds() {
    assert_eq!(run_scenario("glenmore", "churn-10"), Vec::<String>::new());
}

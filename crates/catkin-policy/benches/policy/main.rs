//! Policy bench: simulates strategies for placing requests in scenarios with faults, prints a table
//! of measurements, and fails if a bound is exceeded that `KNOWN-RED.txt` does not list.
//!
//! `cargo bench --bench policy -- [--quick] [--compared] [--deployment NAME] [--scenario NAME,...]
//! [--seed N]`

#[path = "suite.rs"]
mod suite;

use std::process::ExitCode;

use suite::{BoundBreach, SuiteOptions, run_suite};

fn main() -> ExitCode {
    let options = read_options(std::env::args().skip(1));
    let breaches = run_suite(&options, |line| println!("{line}"));
    let (passed, failed): (Vec<_>, Vec<_>) = breaches.iter().partition(|breach| breach.is_known());
    print_breaches("known red, passed over", &passed);
    print_breaches("FAILED", &failed);
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_breaches(title: &str, breaches: &[&BoundBreach]) {
    for breach in breaches {
        println!("{title}: {} = {}", breach.name(), breach.detail);
    }
}

fn read_options(mut arguments: impl Iterator<Item = String>) -> SuiteOptions {
    let mut options = SuiteOptions { seed: 1, ..SuiteOptions::default() };
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "--compared" => options.compared = true,
            "--quick" => options.quick = true,
            "--deployment" => options.deployment = arguments.next(),
            "--scenario" => options.scenario = arguments.next(),
            "--seed" => {
                options.seed = arguments.next().and_then(|seed| seed.parse().ok()).unwrap_or(1)
            }
            _ => {}
        }
    }
    options
}

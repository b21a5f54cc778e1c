//! Policy bench: ways to place requests, measured through scenarios, with bounds that fail the run.
//!
//! `cargo bench --bench policy -- [--quick] [--deployment NAME] [--scenario NAME] [--seed N]`

#[path = "suite.rs"]
mod suite;

use std::process::ExitCode;

use suite::{BoundBreach, SuiteChoice, run_suite};

/// Bounds that are known to be missed, one a line of `KNOWN-RED.txt` that starts with this word.
const KNOWN_PREFIX: &str = "policy-bench:";
const KNOWN_RED: &str = include_str!("../../../../KNOWN-RED.txt");

fn main() -> ExitCode {
    let choice = read_choice(std::env::args().skip(1));
    let breaches = run_suite(&choice, |line| println!("{line}"));
    let known = known_names();
    let (passed, failed): (Vec<_>, Vec<_>) =
        breaches.iter().partition(|breach| known.contains(&breach.name().as_str()));
    print_breaches("known red, passed over", &passed);
    print_breaches("FAILED", &failed);
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn known_names() -> Vec<&'static str> {
    KNOWN_RED.lines().filter_map(|line| line.strip_prefix(KNOWN_PREFIX)).map(str::trim).collect()
}

fn print_breaches(title: &str, breaches: &[&BoundBreach]) {
    for breach in breaches {
        println!("{title}: {} = {}", breach.name(), breach.detail);
    }
}

fn read_choice(mut words: impl Iterator<Item = String>) -> SuiteChoice {
    let mut choice = SuiteChoice { seed: 1, ..SuiteChoice::default() };
    while let Some(word) = words.next() {
        match word.as_str() {
            "--quick" => choice.quick = true,
            "--deployment" => choice.deployment = words.next(),
            "--scenario" => choice.scenario = words.next(),
            "--seed" => choice.seed = words.next().and_then(|seed| seed.parse().ok()).unwrap_or(1),
            _ => {}
        }
    }
    choice
}

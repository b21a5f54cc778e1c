//! Policy bench: ways to place requests, measured through scenarios, with bounds that fail the run.
//!
//! `cargo bench --bench policy -- [--quick] [--compared] [--deployment NAME] [--scenario NAME,...] [--seed N]`

#[path = "suite.rs"]
mod suite;

use std::process::ExitCode;

use suite::{BoundBreach, SuiteChoice, run_suite};

fn main() -> ExitCode {
    let choice = read_choice(std::env::args().skip(1));
    let breaches = run_suite(&choice, |line| println!("{line}"));
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

fn read_choice(mut words: impl Iterator<Item = String>) -> SuiteChoice {
    let mut choice = SuiteChoice { seed: 1, ..SuiteChoice::default() };
    while let Some(word) = words.next() {
        match word.as_str() {
            "--compared" => choice.compared = true,
            "--quick" => choice.quick = true,
            "--deployment" => choice.deployment = words.next(),
            "--scenario" => choice.scenario = words.next(),
            "--seed" => choice.seed = words.next().and_then(|seed| seed.parse().ok()).unwrap_or(1),
            _ => {}
        }
    }
    choice
}

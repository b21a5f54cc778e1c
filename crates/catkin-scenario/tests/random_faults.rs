//! Random combinations of faults keep every measure at zero that must be zero in all scenarios.
//!
//! Guards against faults whose combination no scenario file covers. A failing case is shrunk by
//! proptest and written to a scenario file that `catkin-scenario` can replay.

use std::path::Path;

use catkin_scenario::{ScenarioReport, parse_script, run_script};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const CASES: u32 = 32;
const SETUP: &str = "domains a b\nrouters 3\nengines 3 slots 8\nservices 2\nteams 2\nrun 20s\n\
                     load chats 3/s team t1\nload records 3/s team t2\n";

fn any_fault() -> impl Strategy<Value = String> {
    let router = 1..=3_u32;
    let engine = 1..=3_u32;
    let service = 1..=2_u32;
    prop_oneof![
        router.clone().prop_map(|number| format!("crash router r{number}")),
        router.clone().prop_map(|number| format!("start router r{number}")),
        router.clone().prop_map(|number| format!("stop router r{number}")),
        (router.clone(), 1..9_u32)
            .prop_map(|(number, seconds)| format!("pause router r{number} for {seconds}s")),
        router.prop_map(|number| format!("split routers r{number}")),
        Just("heal".to_owned()),
        engine.clone().prop_map(|number| format!("crash engine e{number}")),
        engine.clone().prop_map(|number| format!("start engine e{number}")),
        engine.clone().prop_map(|number| format!("leave engine e{number}")),
        engine.prop_map(|number| format!("flap engine e{number} every 1s for 4s")),
        service.clone().prop_map(|number| format!("crash service s{number}")),
        service.prop_map(|number| format!("start service s{number}")),
        Just("platform down".to_owned()),
        Just("platform up".to_owned()),
        (0..60_u32).prop_map(|percent| format!("platform lose answers {percent}%")),
        (0..30_u32).prop_map(|percent| format!("network loss {percent}%")),
        (0..30_u32).prop_map(|percent| format!("network repeat {percent}%")),
        Just("poison team t1 times 10".to_owned()),
        (120..300_u32).prop_map(|bound| format!("apply bound {bound}%")),
        (0..100_u32).prop_map(|percent| format!("events gaps {percent}%")),
    ]
}

/// Writes a scenario with these faults and their times in tenths of a second.
fn write_scenario(seed: u64, faults: &[(u32, String)]) -> String {
    let steps: String =
        faults.iter().map(|(tenths, fault)| format!("at {}ms {fault}\n", tenths * 100)).collect();
    format!("seed {seed}\n{SETUP}{steps}")
}

fn run_text(text: &str) -> ScenarioReport {
    run_script(&parse_script("random", text).unwrap())
}

/// Runs a scenario; on failure writes it to a file for replay and returns it in the error.
fn check_scenario(text: &str) -> Result<(), TestCaseError> {
    let report = run_text(text);
    if report.passed() {
        return Ok(());
    }
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("random_faults.scenario");
    std::fs::write(&path, text).unwrap();
    let failed: Vec<String> = report.failed.iter().map(|failed| failed.describe()).collect();
    Err(TestCaseError::fail(format!(
        "{}\nscenario written to {}\n{text}",
        failed.join("; "),
        path.display()
    )))
}

#[test]
fn random_faults_keep_the_must_be_zero_measures_at_zero() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let faults = prop::collection::vec((0..200_u32, any_fault()), 1..8);

    let result = runner.run(&(any::<u32>(), faults), |(seed, faults)| {
        check_scenario(&write_scenario(seed.into(), &faults))
    });

    if let Err(error) = result {
        panic!("{error}");
    }
}

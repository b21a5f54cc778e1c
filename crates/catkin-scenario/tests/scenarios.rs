//! Runs every scenario file of the repository.
//!
//! A test fails if an expectation of its file fails, or if a measure that must be zero in all
//! scenarios is not.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use catkin_scenario::{parse_script, run_script};

/// Defines one test per scenario file, and `LISTED` with the names of all of them.
macro_rules! scenario_tests {
    ($($(#[$attribute:meta])* $name:ident),* $(,)?) => {
        const LISTED: &[&str] = &[$(stringify!($name)),*];

        $(
            $(#[$attribute])*
            #[test]
            fn $name() {
                let failed = run_file(stringify!($name));

                assert_eq!(failed, Vec::<String>::new());
            }
        )*
    };
}

scenario_tests! {
    apply_change,
    apply_conflict,
    apply_many_routers,
    conflict_during_split,
    crashing_request_and_router_crash,
    #[ignore = "KNOWN-RED: scenario domain_loss"]
    domain_loss,
    engine_crash,
    engine_flap,
    #[ignore = "KNOWN-RED: scenario engine_join"]
    engine_join,
    engine_leave,
    flap_and_late_reports,
    #[ignore = "KNOWN-RED: scenario late_cache_events"]
    late_cache_events,
    late_load_reports,
    lost_answers_and_router_crash,
    #[ignore = "KNOWN-RED: scenario low_load_of_many"]
    low_load_of_many,
    pause_and_crash,
    platform_down,
    platform_down_and_router_restart,
    platform_limits,
    platform_loses_answers,
    platform_slow,
    #[ignore = "KNOWN-RED: scenario poor_network"]
    poor_network,
    pool_sums_of_many,
    request_crashes_engines,
    rolling_restart,
    #[ignore = "KNOWN-RED: scenario router_crash"]
    router_crash,
    #[ignore = "KNOWN-RED: scenario router_pause"]
    router_pause,
    router_stop,
    service_crash,
    split_and_engine_crash,
    #[ignore = "KNOWN-RED: scenario split_views"]
    split_views,
    #[ignore = "KNOWN-RED: scenario steady"]
    steady,
    #[ignore = "KNOWN-RED: scenario surge_and_leave"]
    surge_and_leave,
    team_surge,
}

fn scenario_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

/// Runs a scenario file and returns descriptions of its failed expectations.
fn run_file(name: &str) -> Vec<String> {
    let path = scenario_folder().join(format!("{name}.scenario"));
    let text = std::fs::read_to_string(path).unwrap();
    let script = parse_script(name, &text).unwrap();
    run_script(&script).failed.iter().map(|failed| failed.describe()).collect()
}

#[test]
fn every_scenario_file_has_a_test() {
    let entries = std::fs::read_dir(scenario_folder()).unwrap();
    let files: BTreeSet<String> = entries
        .map(|entry| entry.unwrap().path().file_stem().unwrap().to_string_lossy().into_owned())
        .collect();

    let listed: BTreeSet<String> = LISTED.iter().map(|&name| name.to_owned()).collect();

    assert_eq!(files, listed);
}

#[test]
fn same_seed_gives_the_same_report() {
    let path = scenario_folder().join("router_crash.scenario");
    let text = std::fs::read_to_string(path).unwrap();
    let script = parse_script("router_crash", &text).unwrap();

    assert_eq!(run_script(&script), run_script(&script));
}

#[test]
fn failed_expectation_gives_its_position_and_value() {
    let text = "run 5s\nload chats 1/s\nexpect answered = 0\n";
    let script = parse_script("wrong", text).unwrap();

    let report = run_script(&script);

    assert_eq!(report.failed.len(), 1);
    assert!(report.failed[0].describe().starts_with("expected answered = 0, it is "));
    let span = report.failed[0].expectation.as_ref().unwrap().span;
    assert_eq!(&text[span.offset()..span.offset() + span.len()], "answered = 0");
}

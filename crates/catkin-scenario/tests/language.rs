//! Tests of the script language and its error reports.
//!
//! They guard against errors that point at the wrong position, or that do not name what is allowed
//! there, so that the author of a scenario file cannot find the mistake.

use catkin_scenario::{ScenarioMeasure, ScenarioStep, parse_script};
use proptest::prelude::*;

/// Parses `text`, which has an error, and returns the message, the line and the text marked by it.
fn parse_error(text: &str) -> (String, usize, String) {
    let error = parse_script("test", text).unwrap_err();
    let (start, length) = (error.span.offset(), error.span.len());
    (error.message.clone(), error.line, text[start..start + length].to_owned())
}

#[test]
fn unknown_statement_error_lists_the_known_words() {
    let error = parse_script("test", "routers 3\n  rooters 3\n").unwrap_err();

    assert_eq!(error.message, "expected a line of the scenario language, found `rooters`");
    assert_eq!(error.line, 2);
    assert!(error.help.as_deref().unwrap().contains("routers"));
}

#[test]
fn missing_unit_error_marks_the_number() {
    let (message, line, marked) = parse_error("seed 4\nat 3 crash engine e1");

    let expected =
        "expected when the step is done, a time such as `250ms`, `3s` or `2m`, found the number 3";
    assert_eq!((message.as_str(), line, marked.as_str()), (expected, 2, "3"));
}

#[test]
fn undeclared_node_error_marks_the_name() {
    let (message, line, marked) = parse_error("at 3s crash engine e4\nengines 3");

    let expected = "no such engine; number set up: 3";
    assert_eq!((message.as_str(), line, marked.as_str()), (expected, 1, "e4"));
}

#[test]
fn missing_word_error_marks_the_end_of_the_line() {
    let (message, _, marked) = parse_error("at 3s pause router r1");

    assert_eq!(message, "expected `for`, found the end of the line");
    assert_eq!(marked, "");
}

#[test]
fn surplus_word_is_rejected() {
    let (message, _, marked) = parse_error("at 3s heal routers");

    assert_eq!(message, "expected the end of the line, found `routers`");
    assert_eq!(marked, "routers");
}

#[test]
fn unknown_measure_error_lists_the_known_measures() {
    let error = parse_script("test", "expect doubled = 0").unwrap_err();

    assert_eq!(error.message, "expected a measure, found `doubled`");
    assert!(error.help.as_deref().unwrap().contains("doubled_runs"));
}

#[test]
fn step_after_the_end_of_the_run_is_rejected() {
    let (message, ..) = parse_error("run 10s\nat 11s heal");

    assert_eq!(message, "the step is after the end of the run");
}

#[test]
fn quantities_out_of_range_are_rejected() {
    let messages = [
        "routers 0",
        "bound 90%",
        "at 1s network loss 101%",
        "load chats 0/s",
        "at 1s network delay 3s to 1s",
        "load chats 1/s from 5s to 5s",
        "run 99999999999999999999s",
    ]
    .map(|text| parse_error(text).0);

    assert_eq!(
        messages,
        [
            "the number of routers must be from 1 to 64",
            "the bound must be above 100%",
            "the loss must be at most 100%",
            "how much must not be zero",
            "the longest delay is below the shortest",
            "the load ends before it starts",
            "expected the length of the run, a time such as `250ms`, `3s` or `2m`, found `9`",
        ]
    );
}

#[test]
fn steps_are_sorted_by_time() {
    let text = "at 5s heal # later\n\nat 2s platform down\nexpect doubled_runs = 0\n";

    let script = parse_script("test", text).unwrap();

    let steps: Vec<&ScenarioStep> = script.steps.iter().map(|step| &step.step).collect();
    assert_eq!(steps, [&ScenarioStep::PlatformUp(false), &ScenarioStep::Heal]);
    assert_eq!(script.expectations[0].measure, ScenarioMeasure::DoubledRuns);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_parses_or_gives_an_error_within_the_text(text in "[a-z0-9 =%/.#\\n\u{e9}]{0,80}") {
        if let Err(error) = parse_script("test", &text) {
            prop_assert!(error.span.offset() + error.span.len() <= text.len());
            prop_assert!(error.line <= text.split('\n').count());
        }
    }
}

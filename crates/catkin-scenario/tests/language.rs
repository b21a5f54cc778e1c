//! Wrong lines of a scenario are reported at their place.

use catkin_scenario::{ScenarioMeasure, ScenarioStep, parse_script};
use proptest::prelude::*;

/// The message of the error in `text`, its line and the text that it points at.
fn error_of(text: &str) -> (String, usize, String) {
    let error = parse_script("test", text).unwrap_err();
    let (start, length) = (error.span.offset(), error.span.len());
    (error.message.clone(), error.line, text[start..start + length].to_owned())
}

#[test]
fn unknown_line_is_reported_with_the_known_words() {
    let error = parse_script("test", "routers 3\n  rooters 3\n").unwrap_err();

    assert_eq!(error.message, "expected a line of the scenario language, found `rooters`");
    assert_eq!(error.line, 2);
    assert!(error.help.as_deref().unwrap().contains("routers"));
}

#[test]
fn wrong_unit_is_reported_at_its_place() {
    let (message, line, place) = error_of("seed 4\nat 3 crash engine e1");

    let expected =
        "expected when the step is done, a time such as `250ms`, `3s` or `2m`, found the number 3";
    assert_eq!((message.as_str(), line, place.as_str()), (expected, 2, "3"));
}

#[test]
fn name_that_is_not_set_up_is_reported_at_its_place() {
    let (message, line, place) = error_of("at 3s crash engine e4\nengines 3");

    let expected = "there is no such engine: 3 are set up";
    assert_eq!((message.as_str(), line, place.as_str()), (expected, 1, "e4"));
}

#[test]
fn missing_word_is_reported_at_the_end_of_the_line() {
    let (message, _, place) = error_of("at 3s pause router r1");

    assert_eq!(message, "expected `for`, found the end of the line");
    assert_eq!(place, "");
}

#[test]
fn rest_of_a_line_is_reported() {
    let (message, _, place) = error_of("at 3s heal routers");

    assert_eq!(message, "expected the end of the line, found `routers`");
    assert_eq!(place, "routers");
}

#[test]
fn unknown_measure_is_reported_with_the_known_ones() {
    let error = parse_script("test", "expect doubled = 0").unwrap_err();

    assert_eq!(error.message, "expected a measure, found `doubled`");
    assert!(error.help.as_deref().unwrap().contains("doubled_runs"));
}

#[test]
fn step_after_the_end_of_the_run_is_reported() {
    let (message, ..) = error_of("run 10s\nat 11s heal");

    assert_eq!(message, "the step is after the end of the run");
}

#[test]
fn impossible_quantities_are_reported() {
    let messages = [
        "routers 0",
        "bound 90%",
        "at 1s network loss 101%",
        "load chats 0/s",
        "at 1s network delay 3s to 1s",
        "load chats 1/s from 5s to 5s",
        "run 99999999999999999999s",
    ]
    .map(|text| error_of(text).0);

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
fn steps_are_done_in_the_order_of_their_times() {
    let text = "at 5s heal # later\n\nat 2s platform down\nexpect doubled_runs = 0\n";

    let script = parse_script("test", text).unwrap();

    let steps: Vec<&ScenarioStep> = script.steps.iter().map(|step| &step.step).collect();
    assert_eq!(steps, [&ScenarioStep::PlatformUp(false), &ScenarioStep::Heal]);
    assert_eq!(script.expectations[0].measure, ScenarioMeasure::DoubledRuns);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_read_or_reported_within_it(text in "[a-z0-9 =%/.#\\n\u{e9}]{0,80}") {
        if let Err(error) = parse_script("test", &text) {
            prop_assert!(error.span.offset() + error.span.len() <= text.len());
            prop_assert!(error.line <= text.split('\n').count());
        }
    }
}

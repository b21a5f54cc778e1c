//! Tests of the settings and of the limit on log lines.

use catkin_entry::{LineBudget, SettingsError, parse_settings};

fn settings_text(fields: &str) -> String {
    format!(
        r#"// A comment.
        {{"vm": "vm-1", "domain": "a", "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
        "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4", "store": "127.0.0.1:5", {fields}
        "memory_megabytes": 260, "descriptors": 4100}}"#
    )
}

#[test]
fn settings_accept_fractions() {
    let fields = r#""retry_extra": 36.89655172413793, "load_factor": 2.5, "grace_seconds": 0.5,"#;

    let settings = parse_settings(&settings_text(fields), "s").unwrap();

    assert_eq!((settings.load_factor, settings.grace_seconds), (2.5, 0.5));
}

#[test]
fn optional_settings_have_defaults() {
    let settings = parse_settings(&settings_text(""), "s").unwrap();

    assert!(!settings.first_start);
    assert!(settings.load_factor > 1.0);
}

#[test]
fn the_error_of_an_unknown_key_names_it() {
    let error = parse_settings(&settings_text(r#""graze_seconds": 1,"#), "s").unwrap_err();

    assert!(matches!(error, SettingsError::Malformed { .. }));
    assert!(error.to_string().contains("graze_seconds"), "{error}");
}

#[test]
fn the_error_of_a_value_out_of_range_names_key_value_and_range() {
    let error = parse_settings(&settings_text(r#""load_factor": 0.5,"#), "s").unwrap_err();

    assert_eq!(error.to_string(), "setting \"load_factor\" is 0.5; allowed: 1 to 100");
}

#[test]
fn log_lines_over_the_budget_are_dropped_and_counted() {
    let mut budget = LineBudget::new(3);

    let results: Vec<_> = (0..5).map(|_| budget.take(1, false)).collect();
    let urgent = budget.take(1, true);
    let next_second = budget.take(2, false);

    assert_eq!(results, [Some(0), Some(0), Some(0), None, None]);
    assert_eq!(urgent, Some(2));
    assert_eq!(next_second, Some(0));
}

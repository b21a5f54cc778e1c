//! Declarations: form, references and bounds, each fault at its line.

use catkin_settings::{
    DeclarationFile, SettingsReport, parse_declaration_files, parse_declarations,
};
use miette::{Diagnostic, Severity};
use proptest::prelude::*;

const COMMON: &str = r#"{
  // Names of what runs.
  "deployment": "test",
  "classes": {
    "quick": {"work": "quick", "deadline_millis": 2000, "priority": 0, "expected_tokens": 50},
    "long": {"work": "long", "deadline_millis": 600000, "priority": 5, "expected_tokens": 900}
  },
  "default_class": "quick",
  "models": {"estimator": {}},
  "services": {"quote-record": {"idempotent": false}},
  "placement": {
    "bound_percent": 125, "prefill_micros_per_token": 200, "reuse_weight_percent": 100,
    "skew_weight_percent": 100, "long_share_percent": 80
  },
  "limits": {
    "retry_percent": 10, "crash_strikes": 2, "quarantine_millis": 60000,
    "hold_down_millis": 10000, "loads_at_once": 2
  },
"#;

const SERVERS: &str = r#"  "servers": {
    "engine-1": {
      "kind": "engine", "address": "127.0.0.1:9001", "domain": "a", "region": "r",
      "models": ["estimator"], "slots": 8
    },
    "record-1": {
      "kind": "service", "address": "127.0.0.1:9002", "domain": "a", "region": "r",
      "service": "quote-record", "slots": 8
    }
  },
"#;

const TEAMS: &str = r#"  "teams": {
    "aarau": {
      "token_digest": "0000000000000000000000000000000000000000000000000000000000000001",
      "max_open": 8
    }
  }
}
"#;

fn valid_text() -> String {
    format!("{COMMON}{SERVERS}{TEAMS}")
}

/// The valid text with `old`, which must stand in it, replaced.
fn text_with(old: &str, new: &str) -> String {
    let text = valid_text();
    assert!(text.contains(old), "{old} is not in the text");
    text.replacen(old, new, 1)
}

fn refuse(text: &str) -> SettingsReport {
    parse_declarations(text, "fleet.json").expect_err("the declarations have a fault")
}

/// Line of the first occurrence of `part`, from 1.
fn line_of(text: &str, part: &str) -> usize {
    text[..text.find(part).expect("the part stands in the text")].lines().count().max(1)
}

fn assert_fault(old: &str, new: &str, message: &str) {
    let text = text_with(old, new);

    let report = refuse(&text);

    let found = report.diagnostics.iter().find(|diagnostic| diagnostic.message.contains(message));
    let found = found.unwrap_or_else(|| panic!("no `{message}` in {:?}", report.diagnostics));
    assert_eq!(found.file, "fleet.json");
    assert_eq!(found.severity, Severity::Error);
}

#[test]
fn valid_declarations_are_read() {
    let set = parse_declarations(&valid_text(), "fleet.json").expect("valid");

    assert_eq!(set.declarations.deployment, "test");
    assert_eq!(set.declarations.servers["engine-1"].weight, 1);
    assert!(set.warnings.is_empty());
}

#[test]
fn unknown_key_is_refused_at_its_line() {
    let text = text_with("\"max_open\": 8", "\"max_open\": 8,\n \"colour\": 1");

    let report = refuse(&text);

    assert!(report.diagnostics[0].message.contains("unknown field `colour`"));
    assert_eq!(report.diagnostics[0].line, line_of(&text, "\"colour\""));
}

#[test]
fn comments_keep_lines_and_columns() {
    let text = text_with("\"models\": [\"estimator\"]", "/* é\n\n */ \"models\": [\"none\"]");

    let report = refuse(&text);

    let missing =
        report.diagnostics.iter().find(|diagnostic| diagnostic.message.contains("`none`"));
    assert_eq!(missing.expect("reported").line, line_of(&text, "\"none\""));
}

#[test]
fn every_semantic_fault_is_reported_at_its_line() {
    let text = text_with("\"default_class\": \"quick\"", "\"default_class\": \"slow\"")
        .replacen("\"max_open\": 8", "\"max_open\": 0", 1)
        .replacen("\"bound_percent\": 125", "\"bound_percent\": 90", 1);

    let report = refuse(&text);

    let lines: Vec<usize> = report.diagnostics.iter().map(|diagnostic| diagnostic.line).collect();
    let places = ["\"slow\"", "\"max_open\": 0", "\"bound_percent\": 90"];
    assert_eq!(lines, places.map(|part| line_of(&text, part)));
}

#[test]
fn references_are_checked() {
    assert_fault("[\"estimator\"]", "[\"other\"]", "model `other` is not declared");
    assert_fault("[\"estimator\"]", "[\"other\"]", "no server serves this model");
    assert_fault("\"service\": \"quote-record\"", "\"service\": \"x\"", "`x` is not declared");
    assert_fault("\"max_open\": 8", "\"max_open\": 8, \"classes\": [\"x\"]", "class `x`");
    assert_fault("\"models\": [\"estimator\"], ", "", "in no pool");
    assert_fault("\"service\": \"quote-record\", ", "", "in no pool");
    assert_fault("{\"estimator\": {}}", "{\"estimator\": {}, \"idle\": {}}", "models.idle");
    assert_fault("\"quote-record\": {\"id", "\"estimator\": {\"id", "a model has this name");
}

#[test]
fn values_are_checked() {
    assert_fault("127.0.0.1:9002", "127.0.0.1:9001", "server `engine-1` has this address too");
    assert_fault("\"slots\": 8", "\"slots\": 0", "servers.engine-1.slots: 0 is not between");
    assert_fault("\"slots\": 8", "\"slots\": 8, \"weight\": 0", "weight: 0 is not between");
    assert_fault("\"deadline_millis\": 2000", "\"deadline_millis\": 9", "9 is not between");
    assert_fault("0000000000000001\"", "000000000000000G\"", "64 lower-case hexadecimal");
    assert_fault("\"estimator\": {}", "\"estimator\": {\"adapters\": [\"x\", \"x\"]}", "twice");
    assert_fault(
        "\"domain\": \"a\", \"region\": \"r\"",
        "\"domain\": \"a\", \"region\": \"s\"",
        "`s`",
    );
}

#[test]
fn repeated_name_is_refused() {
    let text = text_with("\"record-1\"", "\"engine-1\"");

    let report = refuse(&text);

    assert!(report.diagnostics[0].message.contains("given twice"));
    assert_eq!(report.diagnostics.len(), 1);
}

#[test]
fn teams_that_may_open_more_than_all_slots_are_warned_of() {
    let text = text_with("\"max_open\": 8", "\"max_open\": 17");

    let set = parse_declarations(&text, "fleet.json").expect("a warning is no error");

    assert_eq!(set.warnings.len(), 1);
    assert_eq!(set.warnings[0].severity, Severity::Warning);
    assert_eq!(set.warnings[0].severity(), Some(Severity::Warning));
}

#[test]
fn files_are_put_together_and_faults_name_their_file() {
    let common = format!("{}}}", COMMON.trim_end().trim_end_matches(','));
    let servers = format!("{{{}}}", SERVERS.trim_end().trim_end_matches(','));
    let teams = format!("{{{TEAMS}").replacen("\"max_open\": 8", "\"max_open\": 0", 1);
    let files = [("common.json", common), ("servers.json", servers), ("teams/a.json", teams)];
    let files = files.map(|(name, text)| DeclarationFile { name: name.to_owned(), text });

    let report = parse_declaration_files(&files).expect_err("max_open is 0");

    assert_eq!(report.diagnostics.len(), 1);
    assert_eq!(report.diagnostics[0].file, "teams/a.json");
}

#[test]
fn name_declared_in_two_files_is_refused() {
    let teams = format!("{{{TEAMS}");
    let files = [("a.json", valid_text()), ("b.json", teams)];
    let files = files.map(|(name, text)| DeclarationFile { name: name.to_owned(), text });

    let report = parse_declaration_files(&files).expect_err("a team is declared twice");

    assert_eq!(report.diagnostics[0].file, "b.json");
    assert!(report.diagnostics[0].message.contains("another file"));
}

#[test]
fn missing_tables_are_all_reported() {
    let report = refuse("{}");

    let messages: Vec<&str> =
        report.diagnostics.iter().map(|diagnostic| diagnostic.message.as_str()).collect();
    let keys = ["deployment", "default_class", "placement", "limits"];
    assert_eq!(messages, keys.map(|key| format!("{key}: not declared")));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC*") {
        let _ = parse_declarations(&text, "fleet.json");
        let _ = catkin_settings::parse_router_settings(&text, "router.json");
    }

    #[test]
    fn damaged_declarations_never_panic(
        start in 0..2_000_usize,
        length in 0..40_usize,
        patch in "[\\[\\]{}\",:/*\n é0-9a]{0,8}",
    ) {
        let mut characters: Vec<char> = valid_text().chars().collect();
        let start = start.min(characters.len());
        let end = (start + length).min(characters.len());
        characters.splice(start..end, patch.chars());
        let text: String = characters.into_iter().collect();

        let _ = parse_declarations(&text, "fleet.json");
    }
}

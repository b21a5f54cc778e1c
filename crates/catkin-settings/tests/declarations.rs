//! Guards against invalid declarations that are accepted, and against errors at the wrong file or
//! line.

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

/// Returns the valid text with the first `old` replaced. Fails if it does not contain `old`.
fn replace_text(old: &str, new: &str) -> String {
    let text = valid_text();
    assert!(text.contains(old), "{old} is not in the text");
    text.replacen(old, new, 1)
}

fn parse_invalid(text: &str) -> SettingsReport {
    parse_declarations(text, "fleet.json").expect_err("the declarations are invalid")
}

/// Returns the line of the first occurrence of `part`, counted from 1.
fn find_line(text: &str, part: &str) -> usize {
    text[..text.find(part).expect("the text contains the part")].lines().count().max(1)
}

fn assert_error(old: &str, new: &str, message: &str) {
    let text = replace_text(old, new);

    let report = parse_invalid(&text);

    let found = report.diagnostics.iter().find(|diagnostic| diagnostic.message.contains(message));
    let found = found.unwrap_or_else(|| panic!("no `{message}` in {:?}", report.diagnostics));
    assert_eq!(found.file, "fleet.json");
    assert_eq!(found.severity, Severity::Error);
}

#[test]
fn valid_declarations_are_accepted() {
    let set = parse_declarations(&valid_text(), "fleet.json").expect("valid");

    assert_eq!(set.declarations.deployment, "test");
    assert_eq!(set.declarations.servers["engine-1"].weight, 1);
    assert!(set.warnings.is_empty());
}

#[test]
fn unknown_key_is_an_error_at_its_line() {
    let text = replace_text("\"max_open\": 8", "\"max_open\": 8,\n \"colour\": 1");

    let report = parse_invalid(&text);

    assert!(report.diagnostics[0].message.contains("unknown field `colour`"));
    assert_eq!(report.diagnostics[0].line, find_line(&text, "\"colour\""));
}

#[test]
fn errors_after_comments_have_the_right_line() {
    let text = replace_text("\"models\": [\"estimator\"]", "/* é\n\n */ \"models\": [\"none\"]");

    let report = parse_invalid(&text);

    let missing =
        report.diagnostics.iter().find(|diagnostic| diagnostic.message.contains("`none`"));
    assert_eq!(missing.expect("reported").line, find_line(&text, "\"none\""));
}

#[test]
fn every_semantic_error_is_reported_at_its_line() {
    let text = replace_text("\"default_class\": \"quick\"", "\"default_class\": \"slow\"")
        .replacen("\"max_open\": 8", "\"max_open\": 0", 1)
        .replacen("\"bound_percent\": 125", "\"bound_percent\": 90", 1);

    let report = parse_invalid(&text);

    let lines: Vec<usize> = report.diagnostics.iter().map(|diagnostic| diagnostic.line).collect();
    let places = ["\"slow\"", "\"max_open\": 0", "\"bound_percent\": 90"];
    assert_eq!(lines, places.map(|part| find_line(&text, part)));
}

#[test]
fn undeclared_references_are_errors() {
    assert_error("[\"estimator\"]", "[\"other\"]", "model `other` is not declared");
    assert_error("[\"estimator\"]", "[\"other\"]", "no server serves this model");
    assert_error("\"service\": \"quote-record\"", "\"service\": \"x\"", "`x` is not declared");
    assert_error("\"max_open\": 8", "\"max_open\": 8, \"classes\": [\"x\"]", "class `x`");
    assert_error("\"models\": [\"estimator\"], ", "", "in no pool");
    assert_error("\"service\": \"quote-record\", ", "", "in no pool");
    assert_error("{\"estimator\": {}}", "{\"estimator\": {}, \"idle\": {}}", "models.idle");
    assert_error("\"quote-record\": {\"id", "\"estimator\": {\"id", "a model has this name");
}

#[test]
fn values_out_of_range_or_duplicate_are_errors() {
    assert_error("127.0.0.1:9002", "127.0.0.1:9001", "server `engine-1` has this address too");
    assert_error("\"slots\": 8", "\"slots\": 0", "servers.engine-1.slots: 0 is not between");
    assert_error("\"slots\": 8", "\"slots\": 8, \"weight\": 0", "weight: 0 is not between");
    assert_error("\"deadline_millis\": 2000", "\"deadline_millis\": 9", "9 is not between");
    assert_error("0000000000000001\"", "000000000000000G\"", "64 lower-case hexadecimal");
    assert_error("\"estimator\": {}", "\"estimator\": {\"adapters\": [\"x\", \"x\"]}", "twice");
    assert_error(
        "\"domain\": \"a\", \"region\": \"r\"",
        "\"domain\": \"a\", \"region\": \"s\"",
        "`s`",
    );
}

#[test]
fn repeated_name_is_an_error() {
    let text = replace_text("\"record-1\"", "\"engine-1\"");

    let report = parse_invalid(&text);

    assert!(report.diagnostics[0].message.contains("given twice"));
    assert_eq!(report.diagnostics.len(), 1);
}

#[test]
fn team_limits_above_all_slots_give_a_warning() {
    let text = replace_text("\"max_open\": 8", "\"max_open\": 17");

    let set =
        parse_declarations(&text, "fleet.json").expect("warnings do not make declarations invalid");

    assert_eq!(set.warnings.len(), 1);
    assert_eq!(set.warnings[0].severity, Severity::Warning);
    assert_eq!(set.warnings[0].severity(), Some(Severity::Warning));
}

#[test]
fn files_are_merged_and_errors_name_their_file() {
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
fn name_declared_in_two_files_is_an_error() {
    let teams = format!("{{{TEAMS}");
    let files = [("a.json", valid_text()), ("b.json", teams)];
    let files = files.map(|(name, text)| DeclarationFile { name: name.to_owned(), text });

    let report = parse_declaration_files(&files).expect_err("a team is declared twice");

    assert_eq!(report.diagnostics[0].file, "b.json");
    assert!(report.diagnostics[0].message.contains("another file"));
}

#[test]
fn missing_tables_are_all_reported() {
    let report = parse_invalid("{}");

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

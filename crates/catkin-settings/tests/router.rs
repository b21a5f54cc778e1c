//! Settings of one router.

use catkin_settings::parse_router_settings;

fn settings_text() -> String {
    let key = "0".repeat(64);
    format!(
        r#"{{
  "vm": "vm-1", // name of the VM
  "domain": "a",
  "region": "r",
  "caller_address": "127.0.0.1:8080",
  "peer_address": "127.0.0.1:8081",
  "operator_address": "127.0.0.1:8082",
  "platform_address": "127.0.0.1:8083",
  "peer_key": "{key}",
  "operator_token_digest": "{key}"
}}"#
    )
}

#[test]
fn valid_settings_are_read_with_defaults() {
    let settings = parse_router_settings(&settings_text(), "router.json").expect("valid");

    assert_eq!(settings.vm, "vm-1");
    assert_eq!(settings.log.level, "info");
}

#[test]
fn every_fault_is_reported_at_its_line() {
    let text = settings_text()
        .replace("127.0.0.1:8082", "127.0.0.1:8080")
        .replace("\"domain\": \"a\"", "\"domain\": \"\", \"max_connections\": 0");

    let report = parse_router_settings(&text, "router.json").expect_err("three faults");

    let lines: Vec<usize> = report.diagnostics.iter().map(|diagnostic| diagnostic.line).collect();
    assert_eq!(lines, [3, 7, 3]);
}

#[test]
fn malformed_key_is_refused() {
    let text = settings_text().replacen(&"0".repeat(64), "abc", 1);

    let report = parse_router_settings(&text, "router.json").expect_err("the key is short");

    assert_eq!(report.diagnostics[0].line, 9);
}

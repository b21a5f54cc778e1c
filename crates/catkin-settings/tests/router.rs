//! Guards against invalid router settings that are accepted, and against errors at the wrong line.

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
fn missing_settings_get_their_defaults() {
    let settings = parse_router_settings(&settings_text(), "router.json").expect("valid");

    assert_eq!(settings.vm, "vm-1");
    assert_eq!(settings.log.level, "info");
}

#[test]
fn every_error_is_reported_at_its_line() {
    let text = settings_text()
        .replace("127.0.0.1:8082", "127.0.0.1:8080")
        .replace("\"domain\": \"a\"", "\"domain\": \"\", \"max_connections\": 0");

    let report =
        parse_router_settings(&text, "router.json").expect_err("the settings have three errors");

    let lines: Vec<usize> = report.diagnostics.iter().map(|diagnostic| diagnostic.line).collect();
    assert_eq!(lines, [3, 7, 3]);
}

#[test]
fn malformed_key_is_an_error() {
    let text = settings_text().replacen(&"0".repeat(64), "abc", 1);

    let report = parse_router_settings(&text, "router.json").expect_err("the key is short");

    assert_eq!(report.diagnostics[0].line, 9);
}

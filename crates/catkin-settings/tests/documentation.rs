//! docs/CONFIGURATION.md names every key, and its example is valid.

use std::fs;
use std::path::Path;

use catkin_settings::{
    parse_declaration_files, parse_declarations, parse_router_settings, read_declaration_files,
};
use serde_json::Value;

fn repository_file(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The text between a heading and the next one.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let start = page.find(&format!("\n{heading}\n")).unwrap_or_else(|| panic!("no {heading}"));
    let text = &page[start + heading.len() + 2..];
    &text[..text.find("\n#").unwrap_or(text.len())]
}

fn assert_keys(page: &str, heading: &str, document: &Value) {
    let text = section(page, heading);
    let mut documented: Vec<&str> =
        text.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next()).collect();
    documented.sort_unstable();
    let mut keys: Vec<&str> =
        document.as_object().expect("an object").keys().map(String::as_str).collect();
    keys.sort_unstable();
    assert_eq!(documented, keys, "{heading}");
}

#[test]
fn every_key_of_router_settings_is_documented() {
    let page = repository_file("docs/CONFIGURATION.md");
    let text = repository_file("examples/swiss/router.json");
    let settings = parse_router_settings(&text, "router.json").expect("the example is valid");

    let document = serde_json::to_value(settings).expect("settings are JSON");

    assert_keys(&page, "## Router settings", &document);
    assert_keys(&page, "### `log`", &document["log"]);
}

#[test]
fn every_key_of_declarations_is_documented() {
    let page = repository_file("docs/CONFIGURATION.md");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/swiss/declarations");
    let files = read_declaration_files(&folder).expect("the example is readable");
    let set = parse_declaration_files(&files).expect("the example is valid");

    let document = serde_json::to_value(set.declarations).expect("declarations are JSON");

    assert_keys(&page, "## Declarations", &document);
    for table in ["classes", "models", "services", "servers", "teams"] {
        let entry = document[table].as_object().and_then(|entries| entries.values().next());
        assert_keys(&page, &format!("### `{table}`"), entry.expect("the example has entries"));
    }
    for table in ["placement", "limits"] {
        assert_keys(&page, &format!("### `{table}`"), &document[table]);
    }
}

#[test]
fn example_of_the_page_is_valid() {
    let page = repository_file("docs/CONFIGURATION.md");
    let start = page.find("```json\n").expect("the page has an example") + "```json\n".len();
    let length = page[start..].find("```").expect("the example ends");

    let set = parse_declarations(&page[start..start + length], "example.json");

    assert!(set.is_ok(), "{:?}", set.err());
}

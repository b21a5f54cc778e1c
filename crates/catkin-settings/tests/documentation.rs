//! Guards against documentation that differs from the code: keys without a description, links to
//! missing files, invalid examples, and names in the glossary that the code no longer has.

use std::collections::BTreeSet;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

use json_comments::StripComments;

use catkin_settings::{
    parse_declaration_files, parse_declarations, parse_router_settings, read_declaration_files,
};
use serde_json::Value;

fn repository_file(path: &str) -> String {
    read(&repository_folder().join(path))
}

fn repository_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the files below `folder` with one of the extensions, ordered by path.
fn list_files(folder: &Path, extensions: &[&str]) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let entries = fs::read_dir(folder).expect("the folder is readable");
    for entry in entries.map(|entry| entry.expect("the entry is readable").path()) {
        if entry.is_dir() {
            found.extend(list_files(&entry, extensions));
        } else if entry.extension().is_some_and(|found| extensions.iter().any(|e| found == *e)) {
            found.push(entry);
        }
    }
    found.sort();
    found
}

/// Returns the documentation pages at the root and below `docs`.
fn list_pages() -> Vec<PathBuf> {
    let root = repository_folder();
    let mut pages = list_files(&root.join("docs"), &["md"]);
    pages.extend(["README.md", "CONTRIBUTING.md"].map(|name| root.join(name)));
    pages
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the files to which the inline links of a page point.
fn find_link_targets(page: &str) -> Vec<&str> {
    let targets = page.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.starts_with('#') && !target.contains("://"));
    files.filter_map(|target| target.split('#').next()).collect()
}

/// Returns the contents of the fenced JSON blocks of a page.
fn find_json_blocks(page: &str) -> Vec<&str> {
    page.split("```json\n").skip(1).filter_map(|rest| rest.split("```").next()).collect()
}

#[test]
fn links_between_pages_point_to_existing_files() {
    for page in list_pages() {
        let folder = page.parent().expect("a page has a parent folder");
        for target in find_link_targets(&read(&page)) {
            assert!(folder.join(target).exists(), "{}: {target}", page.display());
        }
    }
}

#[test]
fn json_examples_parse() {
    for page in list_pages() {
        for block in find_json_blocks(&read(&page)) {
            let mut json = String::new();
            let stripped = StripComments::new(block.as_bytes()).read_to_string(&mut json);
            let parsed = stripped.map(|_| serde_json::from_str::<Value>(&json));
            assert!(matches!(parsed, Ok(Ok(_))), "{}: {parsed:?}", page.display());
        }
    }
}

#[test]
fn names_in_the_glossary_exist_in_the_code() {
    let mut words = BTreeSet::new();
    for source in list_files(&repository_folder().join("crates"), &["rs", "proto", "toml"]) {
        let is_word = |character: char| character.is_alphanumeric() || "_-".contains(character);
        words.extend(read(&source).split(|c| !is_word(c)).map(str::to_owned));
    }
    let glossary = repository_file("docs/GLOSSARY.md");
    let rows = glossary.lines().filter(|line| line.starts_with("| "));
    for column in rows.filter_map(|row| row.split(" | ").nth(1)) {
        for name in column.split('`').skip(1).step_by(2) {
            let last = name.rsplit("::").next().expect("a name has a last segment");
            assert!(words.contains(last), "{name} is not in the code");
        }
    }
}

/// Returns the text between a heading and the next one.
fn find_section<'a>(page: &'a str, heading: &str) -> &'a str {
    let start = page.find(&format!("\n{heading}\n")).unwrap_or_else(|| panic!("no {heading}"));
    let text = &page[start + heading.len() + 2..];
    &text[..text.find("\n#").unwrap_or(text.len())]
}

fn assert_keys(page: &str, heading: &str, document: &Value) {
    let text = find_section(page, heading);
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
    let folder = repository_folder().join("examples/swiss/declarations");
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
fn example_in_the_configuration_page_is_valid() {
    let page = repository_file("docs/CONFIGURATION.md");
    let example = find_json_blocks(&page)[0];

    let set = parse_declarations(example, "example.json");

    assert!(set.is_ok(), "{:?}", set.err());
}

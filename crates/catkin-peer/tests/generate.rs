//! The committed messages are those that the protocol file generates.

#[allow(dead_code)]
#[path = "../examples/generate.rs"]
mod generate;

#[test]
fn committed_messages_match_the_protocol_file() {
    let committed = std::fs::read_to_string(generate::messages_path()).unwrap();

    let generated = generate::generate_messages().unwrap();

    assert_eq!(committed, generated);
}

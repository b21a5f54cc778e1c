//! The committed `src/messages.rs` matches `proto/peer.proto`. It differs if the protocol was
//! changed without generating the messages again.

#[allow(dead_code)]
#[path = "../examples/generate.rs"]
mod generate;

#[test]
fn committed_messages_match_the_protocol_file() {
    let committed = std::fs::read_to_string(generate::messages_path()).unwrap();

    let generated = generate::generate_messages().unwrap();

    assert_eq!(committed, generated);
}

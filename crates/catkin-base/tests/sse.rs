//! Guards against events that are lost, torn or counted twice when the stream arrives in chunks of
//! any size.

use bytes::Bytes;
use catkin_base::{EventCounter, EventTooLong, SseScanner};
use proptest::prelude::*;

const LIMIT_BYTES: usize = 1 << 16;

fn push_all(scanner: &mut SseScanner, chunks: &[&'static str]) -> Vec<String> {
    let mut outputs = Vec::new();
    for chunk in chunks {
        let output = scanner.push(Bytes::from_static(chunk.as_bytes())).unwrap();
        outputs.extend(output.map(|output| String::from_utf8(output.to_vec()).unwrap()));
    }
    outputs
}

#[test]
fn only_complete_events_are_passed_on() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    let outputs = push_all(&mut scanner, &["data: 1\n\nda", "ta: 2\n", "\ndata: 3"]);

    assert_eq!(outputs, ["data: 1\n\n", "data: 2\n\n"]);
    assert_eq!(scanner.events(), 2);
    assert!(!scanner.is_done());
}

#[test]
fn comments_and_done_line_are_not_counted() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    let outputs = push_all(&mut scanner, &[": ping\n\ndata: 1\n\ndata: [DONE]\n\nleft over"]);

    assert_eq!(outputs, [": ping\n\ndata: 1\n\ndata: [DONE]\n\n"]);
    assert_eq!(scanner.events(), 1);
    assert!(scanner.is_done());
}

#[test]
fn line_that_only_contains_done_does_not_end_the_stream() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    push_all(&mut scanner, &["data: \"[DONE]\"\n\n", "data: [DONE] \n\n", "data: [DONE]x\n\n"]);

    assert_eq!(scanner.events(), 3);
    assert!(!scanner.is_done());
}

#[test]
fn carriage_returns_end_lines() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    let outputs = push_all(&mut scanner, &["event: a\r\ndata: 1\r\n\r", "\ndata: 2\r\r"]);

    assert_eq!(outputs.concat(), "event: a\r\ndata: 1\r\n\r\ndata: 2\r\r");
    assert_eq!(scanner.events(), 2);
}

#[test]
fn incomplete_event_above_the_limit_is_an_error() {
    let mut scanner = SseScanner::new(8);

    let result = scanner.push(Bytes::from_static(b"data: 123"));

    assert_eq!(result, Err(EventTooLong { limit_bytes: 8 }));
}

fn stream_text() -> impl Strategy<Value = String> {
    let line = prop_oneof!["data: ?[a-z]{0,3}", ": [a-z]{0,3}", "event: a", Just(String::new())];
    let end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    proptest::collection::vec((line, end), 0..20)
        .prop_map(|lines| lines.into_iter().map(|(line, end)| line + end).collect())
}

proptest! {
    #[test]
    fn chunk_sizes_change_neither_count_nor_bytes(
        text in stream_text(),
        chunk_sizes in proptest::collection::vec(1_usize..7, 1..20),
    ) {
        let mut counter = EventCounter::default();
        counter.observe(text.as_bytes());
        let mut scanner = SseScanner::new(LIMIT_BYTES);
        let mut output = Vec::new();
        let mut rest = Bytes::from(text.clone().into_bytes());
        for chunk_size in chunk_sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let chunk = rest.split_to((*chunk_size).min(rest.len()));
            output.extend(scanner.push(chunk).unwrap().unwrap_or_default());
        }
        prop_assert_eq!(scanner.events(), counter.events());
        prop_assert!(text.as_bytes().starts_with(&output));
        prop_assert!(output.is_empty() || output.ends_with(b"\n") || output.ends_with(b"\r"));
    }
}

//! Server-sent events in pieces of any size.

use bytes::Bytes;
use catkin_base::{EventCounter, EventTooLong, SseScanner};
use proptest::prelude::*;

const LIMIT_BYTES: usize = 1 << 16;

fn push_all(scanner: &mut SseScanner, pieces: &[&'static str]) -> Vec<String> {
    let mut parts = Vec::new();
    for piece in pieces {
        let part = scanner.push(Bytes::from_static(piece.as_bytes())).unwrap();
        parts.extend(part.map(|part| String::from_utf8(part.to_vec()).unwrap()));
    }
    parts
}

#[test]
fn only_whole_events_are_passed_on() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    let parts = push_all(&mut scanner, &["data: 1\n\nda", "ta: 2\n", "\ndata: 3"]);

    assert_eq!(parts, ["data: 1\n\n", "data: 2\n\n"]);
    assert_eq!(scanner.events(), 2);
    assert!(!scanner.is_done());
}

#[test]
fn comments_and_done_are_not_counted() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    let parts = push_all(&mut scanner, &[": ping\n\ndata: 1\n\ndata: [DONE]\n\nleft over"]);

    assert_eq!(parts, [": ping\n\ndata: 1\n\ndata: [DONE]\n\n"]);
    assert_eq!(scanner.events(), 1);
    assert!(scanner.is_done());
}

#[test]
fn quoted_done_does_not_end_the_stream() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    push_all(&mut scanner, &["data: \"[DONE]\"\n\n", "data: [DONE] \n\n", "data: [DONE]x\n\n"]);

    assert_eq!(scanner.events(), 3);
    assert!(!scanner.is_done());
}

#[test]
fn carriage_returns_end_lines_too() {
    let mut scanner = SseScanner::new(LIMIT_BYTES);

    let parts = push_all(&mut scanner, &["event: a\r\ndata: 1\r\n\r", "\ndata: 2\r\r"]);

    assert_eq!(parts.concat(), "event: a\r\ndata: 1\r\n\r\ndata: 2\r\r");
    assert_eq!(scanner.events(), 2);
}

#[test]
fn unfinished_event_is_bounded() {
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
    fn cuts_change_neither_count_nor_bytes(
        text in stream_text(),
        cuts in proptest::collection::vec(1_usize..7, 1..20),
    ) {
        let mut whole = EventCounter::default();
        whole.observe(text.as_bytes());
        let mut scanner = SseScanner::new(LIMIT_BYTES);
        let mut passed = Vec::new();
        let mut rest = Bytes::from(text.clone().into_bytes());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let piece = rest.split_to((*cut).min(rest.len()));
            passed.extend(scanner.push(piece).unwrap().unwrap_or_default());
        }
        prop_assert_eq!(scanner.events(), whole.events());
        prop_assert!(text.as_bytes().starts_with(&passed));
        prop_assert!(passed.is_empty() || passed.ends_with(b"\n") || passed.ends_with(b"\r"));
    }
}

//! Heads and their framing.

use bytes::BytesMut;
use catkin_http::{
    BodyFraming, FramingError, HeadError, determine_request_framing, determine_response_framing,
    take_request_head, take_response_head,
};
use proptest::prelude::*;

const LIMIT_BYTES: usize = 4096;

fn parse(text: &str) -> Result<Option<catkin_http::RequestHead>, HeadError> {
    take_request_head(&mut BytesMut::from(text), LIMIT_BYTES)
}

fn framing(fields: &str) -> Result<BodyFraming, FramingError> {
    let head = parse(&format!("POST / HTTP/1.1\r\n{fields}\r\n")).unwrap().unwrap();
    determine_request_framing(&head)
}

#[test]
fn a_pipelined_request_stays_in_the_buffer() {
    let mut buffer = BytesMut::from("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    let first = take_request_head(&mut buffer, LIMIT_BYTES).unwrap().unwrap();
    let second = take_request_head(&mut buffer, LIMIT_BYTES).unwrap().unwrap();
    assert_eq!((&first.target[..], &second.target[..]), (&b"/a"[..], &b"/b"[..]));
}

#[test]
fn bare_line_ends_are_refused() {
    assert_eq!(parse("GET / HTTP/1.1\nHost: a\n\n"), Err(HeadError::BareLineEnd));
    assert_eq!(parse("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n"), Err(HeadError::BareLineEnd));
}

#[test]
fn a_head_over_the_limit_is_refused_before_it_is_whole() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(LIMIT_BYTES));
    assert_eq!(parse(&text), Err(HeadError::TooLong { limit_bytes: LIMIT_BYTES }));
}

#[test]
fn folded_lines_are_refused() {
    assert_eq!(parse("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"), Err(HeadError::Malformed));
}

#[test]
fn a_name_with_a_blank_before_the_colon_is_refused() {
    let parsed = parse("GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n");
    assert_eq!(parsed, Err(HeadError::Malformed));
}

#[test]
fn conflicting_lengths_are_refused() {
    assert_eq!(
        framing("Content-Length: 2\r\nContent-Length: 3\r\n"),
        Err(FramingError::InvalidLength)
    );
    assert_eq!(framing("Content-Length: 2, 2\r\n"), Err(FramingError::InvalidLength));
    assert_eq!(framing("Content-Length: +2\r\n"), Err(FramingError::InvalidLength));
    assert_eq!(
        framing("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"),
        Err(FramingError::LengthAndEncoding)
    );
    assert_eq!(
        framing("Transfer-Encoding: chunked, gzip\r\n"),
        Err(FramingError::UnsupportedEncoding)
    );
    assert_eq!(framing("Transfer-Encoding: xchunked\r\n"), Err(FramingError::UnsupportedEncoding));
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nrest");
    let head = take_response_head(&mut buffer, LIMIT_BYTES).unwrap().unwrap();
    assert_eq!(determine_response_framing(&head, false), Ok(BodyFraming::UntilClose));
    assert_eq!(determine_response_framing(&head, true), Ok(BodyFraming::Empty));
}

#[test]
fn bytes_that_are_no_response_are_refused_at_once() {
    let mut buffer = BytesMut::from("garbage");
    assert_eq!(take_response_head(&mut buffer, LIMIT_BYTES), Err(HeadError::Malformed));
}

proptest! {
    #[test]
    fn any_bytes_give_a_head_an_error_or_a_wait(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let before = bytes.len();
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some(head)) = take_request_head(&mut buffer, LIMIT_BYTES) {
            prop_assert!(buffer.len() < before);
            let _ = determine_request_framing(&head);
        }
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some(head)) = take_response_head(&mut buffer, LIMIT_BYTES) {
            let _ = determine_response_framing(&head, false);
        }
    }

    #[test]
    fn a_head_cut_anywhere_is_the_same_head(cut in 0usize..62) {
        let text = b"POST /path?q=1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\n";
        let mut buffer = BytesMut::from(&text[..cut]);
        prop_assert_eq!(take_request_head(&mut buffer, LIMIT_BYTES), Ok(None));
        buffer.extend_from_slice(&text[cut..]);
        let head = take_request_head(&mut buffer, LIMIT_BYTES).unwrap().unwrap();
        prop_assert_eq!(&head.target[..], b"/path?q=1");
    }
}

//! Parsing of heads and body parse_framing.
//!
//! Guards against request smuggling: a message that two parsers could read differently (bare line
//! ends, folded lines, conflicting lengths) must be rejected, and arbitrary bytes must not panic.

use bytes::BytesMut;
use catkin_http::{
    BodyFraming, FramingError, HeadError, ResponseHead, determine_request_framing,
    determine_response_framing, take_request_head, take_response_head,
};
use proptest::prelude::*;

const HEAD_LIMIT_BYTES: usize = 4096;

fn parse_request(text: &str) -> Result<Option<catkin_http::RequestHead>, HeadError> {
    take_request_head(&mut BytesMut::from(text), HEAD_LIMIT_BYTES)
}

fn parse_framing(fields: &str) -> Result<BodyFraming, FramingError> {
    let head = parse_request(&format!("POST / HTTP/1.1\r\n{fields}\r\n")).unwrap().unwrap();
    determine_request_framing(&head)
}

#[test]
fn pipelined_request_stays_in_the_buffer() {
    let mut buffer = BytesMut::from("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    let first = take_request_head(&mut buffer, HEAD_LIMIT_BYTES).unwrap().unwrap();
    let second = take_request_head(&mut buffer, HEAD_LIMIT_BYTES).unwrap().unwrap();
    assert_eq!((&first.target[..], &second.target[..]), (&b"/a"[..], &b"/b"[..]));
}

#[test]
fn bare_line_ends_are_rejected() {
    assert_eq!(parse_request("GET / HTTP/1.1\nHost: a\n\n"), Err(HeadError::BareLineEnd));
    assert_eq!(parse_request("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n"), Err(HeadError::BareLineEnd));
}

#[test]
fn head_over_the_limit_is_rejected_before_it_is_complete() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(HEAD_LIMIT_BYTES));
    assert_eq!(parse_request(&text), Err(HeadError::TooLong { limit_bytes: HEAD_LIMIT_BYTES }));
}

#[test]
fn folded_lines_are_rejected() {
    assert_eq!(parse_request("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"), Err(HeadError::Malformed));
}

#[test]
fn space_between_field_name_and_colon_is_rejected() {
    let parsed = parse_request("GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n");
    assert_eq!(parsed, Err(HeadError::Malformed));
}

#[test]
fn conflicting_or_invalid_framing_is_rejected() {
    assert_eq!(
        parse_framing("Content-Length: 2\r\nContent-Length: 3\r\n"),
        Err(FramingError::InvalidLength)
    );
    assert_eq!(parse_framing("Content-Length: 2, 2\r\n"), Err(FramingError::InvalidLength));
    assert_eq!(parse_framing("Content-Length: +2\r\n"), Err(FramingError::InvalidLength));
    assert_eq!(
        parse_framing("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"),
        Err(FramingError::LengthAndEncoding)
    );
    assert_eq!(
        parse_framing("Transfer-Encoding: chunked, gzip\r\n"),
        Err(FramingError::UnsupportedEncoding)
    );
    assert_eq!(
        parse_framing("Transfer-Encoding: xchunked\r\n"),
        Err(FramingError::UnsupportedEncoding)
    );
}

#[test]
fn response_without_a_length_ends_at_connection_close() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nrest");
    let head = take_response_head(&mut buffer, HEAD_LIMIT_BYTES).unwrap().unwrap();
    assert_eq!(determine_response_framing(&head, false), Ok(BodyFraming::UntilClose));
    assert_eq!(determine_response_framing(&head, true), Ok(BodyFraming::Empty));
}

#[test]
fn bytes_that_cannot_start_a_response_are_rejected_immediately() {
    let mut buffer = BytesMut::from("garbage");
    assert_eq!(take_response_head(&mut buffer, HEAD_LIMIT_BYTES), Err(HeadError::Malformed));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let before = bytes.len();
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some(head)) = take_request_head(&mut buffer, HEAD_LIMIT_BYTES) {
            prop_assert!(buffer.len() < before);
            let _ = determine_request_framing(&head);
        }
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some(head)) = take_response_head(&mut buffer, HEAD_LIMIT_BYTES) {
            let _ = determine_response_framing(&head, false);
        }
    }

    #[test]
    fn head_split_at_any_byte_parses_the_same(split in 0usize..62) {
        let text = b"POST /path?q=1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\n";
        let mut buffer = BytesMut::from(&text[..split]);
        prop_assert_eq!(take_request_head(&mut buffer, HEAD_LIMIT_BYTES), Ok(None));
        buffer.extend_from_slice(&text[split..]);
        let head = take_request_head(&mut buffer, HEAD_LIMIT_BYTES).unwrap().unwrap();
        prop_assert_eq!(&head.target[..], b"/path?q=1");
    }
}

/// Guards against the body of another answer: a server stopped inside a head and went on with that answer.
#[test]
fn a_response_head_that_contains_a_status_line_is_rejected() {
    for text in [
        "HTTP/1.1 200 OK\r\nX-Part: beHTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OHTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Part: HTTP/1.0 404\r\n\r\n",
    ] {
        let mut buffer = BytesMut::from(text);

        let taken = take_response_head(&mut buffer, HEAD_LIMIT_BYTES);

        assert_eq!(taken, Err(HeadError::Joined), "{text}");
    }
}

#[test]
fn a_response_head_may_name_versions() {
    let fields = "Via: HTTP/1.1 proxy, HTTP/1.0 200host\r\nUpgrade: HTTP/2.0\r\n";
    let mut buffer = BytesMut::from(format!("HTTP/1.1 200 OK\r\n{fields}\r\n").as_str());

    let taken = take_response_head(&mut buffer, HEAD_LIMIT_BYTES);

    assert_eq!(taken.unwrap().unwrap().status, 200);
}

/// Takes a response head that arrives in two parts, the second of which begins at `split`.
fn take_in_parts(text: &[u8], split: usize) -> Result<Option<ResponseHead>, HeadError> {
    let mut buffer = BytesMut::from(&text[..split]);
    match take_response_head(&mut buffer, HEAD_LIMIT_BYTES) {
        Ok(None) => buffer.extend_from_slice(&text[split..]),
        taken => return taken,
    }
    take_response_head(&mut buffer, HEAD_LIMIT_BYTES)
}

fn assert_rejected(text: &[u8]) {
    for split in 0..=text.len() {
        let taken = take_in_parts(text, split);

        assert!(taken.is_err(), "{:?} {split} {taken:?}", text.escape_ascii().to_string());
    }
}

/// Guards against a status that is no status and passes for an answer: clients know none of these.
#[test]
fn a_response_head_with_an_invalid_status_is_rejected() {
    let invalid = [
        "000",
        "001",
        "099",
        "600",
        "601",
        "700",
        "999",
        "1000",
        "20",
        "2",
        "",
        "+20",
        "-20",
        "2x0",
        "20O",
        " 200",
        "2 0",
        "0x2",
        "2.0",
        "\u{0662}\u{0660}\u{0660}",
        "20\0",
        "20\t",
    ];
    for status in invalid {
        for reason in ["", " ", " OK"] {
            assert_rejected(format!("HTTP/1.1 {status}{reason}\r\nA: b\r\n\r\n").as_bytes());
        }
    }
    for status in [100, 101, 200, 299, 404, 599] {
        let text = format!("HTTP/1.1 {status} -\r\nA: b\r\n\r\n");

        let taken = take_in_parts(text.as_bytes(), 0);

        assert_eq!(taken.unwrap().unwrap().status, status);
    }
}

proptest! {
    /// Guards against a field whose name holds a blank or a control byte, and that is passed on or hides the field
    /// that says how the body ends.
    #[test]
    fn a_response_head_with_an_invalid_field_name_is_rejected(
        before in "[A-Za-z-]{0,12}|Content-Length|Transfer-Encoding",
        odd in prop::sample::select(odd_name_bytes()),
        after in "[A-Za-z-]{0,6}",
        is_first in any::<bool>(),
    ) {
        let mut line = before.into_bytes();
        line.push(odd);
        line.extend_from_slice(format!("{after}: 1\r\n").as_bytes());
        let other = b"X-Other: 1\r\n";
        let fields = if is_first { [&line[..], other].concat() } else { [other, &line[..]].concat() };
        assert_rejected(&[b"HTTP/1.1 200 OK\r\n", &fields[..], b"\r\n"].concat());
    }
}

/// Bytes that RFC 9110, section 5.6.2, doesn't allow in the name of a field, but for the colon that ends it.
fn odd_name_bytes() -> Vec<u8> {
    let is_name = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~:".contains(&byte);
    (0..=u8::MAX).filter(|byte| !is_name(*byte)).collect()
}

/// Guards against a field without a name.
#[test]
fn a_response_head_with_an_empty_field_name_is_rejected() {
    for line in [": 1", " : 1", "\t: 1", ":", "no colon"] {
        assert_rejected(format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n").as_bytes());
        assert_rejected(format!("HTTP/1.1 200 OK\r\nA: b\r\n{line}\r\n\r\n").as_bytes());
    }
}

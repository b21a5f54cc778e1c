//! Guards against answers that end early, wherever they end and however they are framed, and pass for
//! complete ones.

mod support;

use std::net::SocketAddr;

use catkin_backend::{BackendError, BackendErrorKind, BackendLink, BackendStream, HttpLink};
use support::{NEVER, ServerStep, attempt_spec, start_server, write};

const STATUS: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\n";
const EVENTS: &str = "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n";
const DOCUMENT: &str = r#"{"text":"all of it"}"#;
/// Places inside a head. The connection of each is closed in order.
const HEAD_PLACES: [&str; 8] = [
    "",
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-type: application/json\r\n",
    "HTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-length: 1",
    "HTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-length: 0\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\n",
];
/// Fields of an answer whose end is that of its connection. The second and the third name an encoding
/// other than chunks, which does not delimit a body.
const UNDELIMITED: [&str; 3] =
    ["", "transfer-encoding: gzip\r\n", "transfer-encoding: identity\r\n"];

fn frame_chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

fn length_answer(kind: &str, body: &str) -> String {
    let length = body.len();
    format!("{STATUS}content-type: {kind}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn chunked_answer(kind: &str, body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let chunks = format!("{}{}0\r\n\r\n", frame_chunk(first), frame_chunk(second));
    format!("{STATUS}content-type: {kind}\r\ntransfer-encoding: chunked\r\n\r\n{chunks}")
}

fn undelimited_answer(kind: &str, fields: &str, body: &str) -> String {
    format!("{STATUS}content-type: {kind}\r\n{fields}\r\n{body}")
}

async fn start_writer(text: &str) -> SocketAddr {
    start_server(vec![write(text)]).await.address
}

/// Answers with a status or the name of a field that is none.
const ODD_HEADS: [&str; 6] = [
    "HTTP/1.1 000 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 600 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 999 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\nx odd: 1\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nx\u{1}odd: 1\r\nx-attempt-id: 00000000000000ab\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-length : 2\r\n\r\n{} and more",
];

/// Reads an answer to its end.
async fn read_answer(text: &str) -> Result<Vec<u8>, BackendError> {
    let address = start_writer(text).await;
    let mut stream = HttpLink.send(&attempt_spec(address)).await?;
    let mut body = Vec::new();
    while let Some(part) = stream.next_part().await? {
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// Guards against an end inside a head, or behind an interim one, that is read as the end of the answer.
#[tokio::test]
async fn an_answer_that_ends_in_its_head_is_broken() {
    for place in HEAD_PLACES {
        let read = read_answer(place).await;

        assert_eq!(read.unwrap_err().kind, BackendErrorKind::Broken, "{place:?}");
    }
}

/// Guards against an answer with an invalid status or field name that passes for one, also as a looked-up answer.
#[tokio::test]
async fn an_answer_with_an_odd_head_is_broken() {
    for text in ODD_HEADS {
        let read = read_answer(text).await;
        let found = HttpLink.look_up(start_writer(text).await, "/lookup", "k", NEVER).await;

        assert_eq!(read.unwrap_err().kind, BackendErrorKind::Broken, "{text:?}");
        assert_eq!(found.unwrap_err().kind, BackendErrorKind::Broken, "{text:?}");
    }
}

/// Guards against a document that ends anywhere before its last byte and counts as complete.
#[tokio::test]
async fn a_document_that_ends_early_is_broken() {
    let kind = "application/json";
    for answer in [length_answer(kind, DOCUMENT), chunked_answer(kind, DOCUMENT)] {
        assert_eq!(read_answer(&answer).await.unwrap(), DOCUMENT.as_bytes());
        for end in 0..answer.len() {
            let read = read_answer(&answer[..end]).await;

            assert_eq!(read.unwrap_err().kind, BackendErrorKind::Broken, "{:?}", &answer[..end]);
        }
    }
}

/// Guards against an answer whose encoding is not chunks and that is taken for one with a detectable end:
/// callers got a 200 with an empty or short body as complete.
#[tokio::test]
async fn a_document_that_ends_with_its_connection_is_broken() {
    for fields in UNDELIMITED {
        for body in ["", &DOCUMENT[..DOCUMENT.len() / 2], DOCUMENT] {
            let read = read_answer(&undelimited_answer("application/json", fields, body)).await;

            assert_eq!(read.unwrap_err().kind, BackendErrorKind::Broken, "{fields:?} {body:?}");
        }
    }
}

/// Guards against a stream that ends without an event, inside or between two, and counts as complete.
#[tokio::test]
async fn a_stream_that_ends_early_is_broken() {
    let kind = "text/event-stream";
    let undelimited = UNDELIMITED.map(|fields| undelimited_answer(kind, fields, EVENTS));
    let delimited = [length_answer(kind, EVENTS), chunked_answer(kind, EVENTS)];
    for answer in delimited.iter().chain(&undelimited) {
        assert_eq!(read_answer(answer).await.unwrap(), EVENTS.as_bytes());
        let done = answer.rfind("[DONE]\n\n").unwrap() + "[DONE]\n\n".len();
        for end in 0..done {
            let read = read_answer(&answer[..end]).await;

            assert_eq!(read.unwrap_err().kind, BackendErrorKind::Broken, "{:?}", &answer[..end]);
        }
    }
}

/// Guards against a stream with a length or in chunks that says that it is over without its last event.
#[tokio::test]
async fn a_delimited_stream_without_its_last_event_is_broken() {
    let kind = "text/event-stream";
    for body in ["", "data: 1\n", "data: 1\n\n", "data: 1\n\ndata: 2"] {
        for answer in [length_answer(kind, body), chunked_answer(kind, body)] {
            let read = read_answer(&answer).await;

            assert_eq!(read.unwrap_err().kind, BackendErrorKind::Broken, "{answer:?}");
        }
    }
}

/// Guards against a part of a recorded answer that is taken for all of it: the router records it under the
/// key and gives it to callers as a complete 200.
#[tokio::test]
async fn a_looked_up_answer_that_ends_early_is_broken() {
    let kind = "application/json";
    for fields in UNDELIMITED {
        for body in ["", &DOCUMENT[..DOCUMENT.len() / 2], DOCUMENT] {
            let address = start_writer(&undelimited_answer(kind, fields, body)).await;

            let found = HttpLink.look_up(address, "/lookup", "k", NEVER).await;

            assert_eq!(found.unwrap_err().kind, BackendErrorKind::Broken, "{fields:?} {body:?}");
        }
    }
    for answer in [length_answer(kind, DOCUMENT), chunked_answer(kind, DOCUMENT)] {
        for end in 0..answer.len() {
            let address = start_writer(&answer[..end]).await;

            let found = HttpLink.look_up(address, "/lookup", "k", NEVER).await;

            assert_eq!(found.unwrap_err().kind, BackendErrorKind::Broken, "{:?}", &answer[..end]);
        }
    }
}

/// Guards against a look-up that ends inside its head and is taken for a key without a record.
#[tokio::test]
async fn a_look_up_that_ends_in_its_head_is_not_an_unknown_key() {
    for place in
        ["HTTP/1.1 404", "HTTP/1.1 404 Not Found\r\n", "HTTP/1.1 404 Not Found\r\na: b\r\n\r"]
    {
        let server = start_server(vec![ServerStep::Write(place.into())]).await;

        let found = HttpLink.look_up(server.address, "/lookup", "k", NEVER).await;

        assert_eq!(found.unwrap_err().kind, BackendErrorKind::Broken, "{place:?}");
    }
}

/// Guards against a probe or an order that ends early and is taken for an answer.
#[tokio::test]
async fn a_control_answer_that_ends_early_is_an_error() {
    let probe =
        r#"{"incarnation":9,"open":2,"leaving":true,"models":["m"],"event_sequence":4,"fence":3}"#;
    let order = r#"{"fence":8,"accepted":false}"#;
    for fields in UNDELIMITED {
        for end in 0..probe.len() {
            let answer = undelimited_answer("application/json", fields, &probe[..end]);
            let address = start_writer(&answer).await;

            assert!(HttpLink.probe(address, 0, NEVER).await.is_err(), "{answer:?}");
        }
        for end in 0..order.len() {
            let answer = undelimited_answer("application/json", fields, &order[..end]);
            let address = start_writer(&answer).await;

            assert!(HttpLink.order(address, 7, 2, "roles", NEVER).await.is_err(), "{answer:?}");
        }
    }
}

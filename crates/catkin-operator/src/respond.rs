//! Answers one request of an operator.

use std::io::{Cursor, Read};

use catkin_base::digest_hex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Method, Request, Response};

use crate::documents::RefusalAnswer;
use crate::head::encode_document;
use crate::service::{OperatorError, OperatorService};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;

/// Longest path of a request, in bytes.
const MAX_PATH_BYTES: usize = 256;

const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// An answer before it is written.
struct OperatorAnswer {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

/// Reads, authenticates and answers a request.
pub(crate) fn answer_request<S: OperatorService>(
    mut request: Request,
    service: &S,
    token_digest: &str,
) {
    let answer = route_request(&mut request, service, token_digest);
    let content_type = Header::from_bytes("Content-Type", answer.content_type)
        .expect("the content types are valid header values");
    let body_length = answer.body.len();
    let response = Response::new(
        answer.status.into(),
        vec![content_type],
        Cursor::new(answer.body),
        Some(body_length),
        None,
    );
    if let Err(error) = request.respond(response) {
        log::debug!("operator: answer not delivered: {error}");
    }
}

fn route_request<S: OperatorService>(
    request: &mut Request,
    service: &S,
    token_digest: &str,
) -> OperatorAnswer {
    let path = request.url().to_owned();
    if path.len() > MAX_PATH_BYTES {
        return refusal(414, "bad-request", "the path is too long");
    }
    match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => return health_answer(service),
        (Method::Get, "/metrics") => return text_answer(200, service.metrics()),
        _ => {}
    }
    if !is_authorized(request, token_digest) {
        return refusal(401, "unauthorized", "the token is missing or unknown");
    }
    match (request.method(), path.as_str()) {
        (Method::Get, "/status") => json_answer(200, &service.status()),
        (Method::Get, "/declarations") => result_answer(service.declarations()),
        (Method::Get, "/history") => result_answer(service.history()),
        (Method::Post, "/drain") => result_answer(service.drain()),
        (Method::Post, "/apply") => body_answer(request, |body| service.apply(body)),
        (Method::Post, "/rollback") => body_answer(request, |body| service.rollback(body)),
        _ => refusal(404, "not-found", "there is no such endpoint"),
    }
}

/// Whether the request carries the operators' token.
fn is_authorized(request: &Request, token_digest: &str) -> bool {
    let header = request.headers().iter().find(|header| header.field.equiv("Authorization"));
    let token = header.and_then(|header| header.value.as_str().strip_prefix("Bearer "));
    token.is_some_and(|token| is_same_digest(&digest_hex(token.as_bytes()), token_digest))
}

/// Compares in a time that does not depend on the content.
fn is_same_digest(left: &str, right: &str) -> bool {
    let difference = left.bytes().zip(right.bytes()).fold(0, |sum, (l, r)| sum | (l ^ r));
    left.len() == right.len() && difference == 0
}

fn health_answer<S: OperatorService>(service: &S) -> OperatorAnswer {
    if service.is_ready() {
        return text_answer(200, "ready\n".to_owned());
    }
    text_answer(503, "not ready\n".to_owned())
}

/// Reads the body, hands it to `handle` and answers with its result.
fn body_answer<T: DeserializeOwned, A: Serialize>(
    request: &mut Request,
    handle: impl FnOnce(T) -> Result<A, OperatorError>,
) -> OperatorAnswer {
    if request.body_length().is_some_and(|length| length as u64 > MAX_BODY_BYTES) {
        return refusal(413, "too-large", "the body is too large");
    }
    let mut body = Vec::new();
    let mut limited = request.as_reader().take(MAX_BODY_BYTES + 1);
    if limited.read_to_end(&mut body).is_err() {
        return refusal(400, "bad-request", "the body cannot be read");
    }
    if body.len() as u64 > MAX_BODY_BYTES {
        return refusal(413, "too-large", "the body is too large");
    }
    match serde_json::from_slice(&body) {
        Ok(document) => result_answer(handle(document)),
        Err(error) => refusal(400, "bad-request", &format!("the body is malformed: {error}")),
    }
}

fn result_answer<T: Serialize>(result: Result<T, OperatorError>) -> OperatorAnswer {
    match result {
        Ok(document) => json_answer(200, &document),
        Err(error) => json_answer(error.http_status(), &RefusalAnswer::from(error)),
    }
}

fn refusal(status: u16, reason: &str, detail: &str) -> OperatorAnswer {
    let refusal = RefusalAnswer {
        reason: reason.to_owned(),
        detail: detail.to_owned(),
        revision: None,
        paths: Vec::new(),
    };
    json_answer(status, &refusal)
}

fn json_answer<T: Serialize>(status: u16, document: &T) -> OperatorAnswer {
    OperatorAnswer { status, content_type: JSON_TYPE, body: encode_document(document) }
}

fn text_answer(status: u16, text: String) -> OperatorAnswer {
    OperatorAnswer { status, content_type: TEXT_TYPE, body: text.into_bytes() }
}

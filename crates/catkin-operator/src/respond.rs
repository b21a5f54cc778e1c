//! Authenticates and answers one HTTP request of an operator.

use std::io::{Cursor, Read};

use catkin_base::digest_hex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Method, Request, Response};

use crate::documents::RefusalAnswer;
use crate::head::encode_document;
use crate::service::{OperatorError, OperatorService};

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;

/// Maximum length of a request's path, in bytes.
const MAX_PATH_BYTES: usize = 256;

const JSON_TYPE: &str = "application/json";
const TEXT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// An answer that is not written yet.
struct OperatorAnswer {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

/// Authenticates a request, passes it to `service` and writes the answer.
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
        log::debug!("operator: writing an answer failed; the client did not get it: {error}");
    }
}

fn route_request<S: OperatorService>(
    request: &mut Request,
    service: &S,
    token_digest: &str,
) -> OperatorAnswer {
    let path = request.url().to_owned();
    if path.len() > MAX_PATH_BYTES {
        return build_refusal(414, "bad-request", "the path is too long");
    }
    match (request.method(), path.as_str()) {
        (Method::Get, "/healthz") => return answer_health(service),
        (Method::Get, "/metrics") => return build_text_answer(200, service.metrics()),
        _ => {}
    }
    if !is_authorized(request, token_digest) {
        return build_refusal(401, "unauthorized", "the token is missing or unknown");
    }
    match (request.method(), path.as_str()) {
        (Method::Get, "/status") => build_json_answer(200, &service.status()),
        (Method::Get, "/declarations") => answer_result(service.declarations()),
        (Method::Get, "/history") => answer_result(service.history()),
        (Method::Post, "/drain") => answer_result(service.drain()),
        (Method::Post, "/apply") => answer_body(request, |body| service.apply(body)),
        (Method::Post, "/rollback") => answer_body(request, |body| service.rollback(body)),
        _ => build_refusal(404, "not-found", "there is no such endpoint"),
    }
}

/// Returns whether the request carries the operators' token.
fn is_authorized(request: &Request, token_digest: &str) -> bool {
    let header = request.headers().iter().find(|header| header.field.equiv("Authorization"));
    let token = header.and_then(|header| header.value.as_str().strip_prefix("Bearer "));
    token.is_some_and(|token| digests_match(&digest_hex(token.as_bytes()), token_digest))
}

/// Compares two digests in a time that depends only on their lengths, so that timing does not
/// reveal the expected digest.
fn digests_match(left: &str, right: &str) -> bool {
    let difference = left.bytes().zip(right.bytes()).fold(0, |sum, (l, r)| sum | (l ^ r));
    left.len() == right.len() && difference == 0
}

fn answer_health<S: OperatorService>(service: &S) -> OperatorAnswer {
    if service.is_ready() {
        return build_text_answer(200, "ready\n".to_owned());
    }
    build_text_answer(503, "not ready\n".to_owned())
}

/// Decodes the request's body, passes it to `handle` and returns its result as an answer.
fn answer_body<T: DeserializeOwned, A: Serialize>(
    request: &mut Request,
    handle: impl FnOnce(T) -> Result<A, OperatorError>,
) -> OperatorAnswer {
    if request.body_length().is_some_and(|length| length as u64 > MAX_BODY_BYTES) {
        return build_refusal(413, "too-large", "the body is too large");
    }
    let mut body = Vec::new();
    let mut limited = request.as_reader().take(MAX_BODY_BYTES + 1);
    if limited.read_to_end(&mut body).is_err() {
        return build_refusal(400, "bad-request", "the body cannot be read");
    }
    if body.len() as u64 > MAX_BODY_BYTES {
        return build_refusal(413, "too-large", "the body is too large");
    }
    match serde_json::from_slice(&body) {
        Ok(document) => answer_result(handle(document)),
        Err(error) => build_refusal(400, "bad-request", &format!("the body is malformed: {error}")),
    }
}

fn answer_result<T: Serialize>(result: Result<T, OperatorError>) -> OperatorAnswer {
    match result {
        Ok(document) => build_json_answer(200, &document),
        Err(error) => build_json_answer(error.http_status(), &RefusalAnswer::from(error)),
    }
}

fn build_refusal(status: u16, reason: &str, detail: &str) -> OperatorAnswer {
    let refusal = RefusalAnswer {
        reason: reason.to_owned(),
        detail: detail.to_owned(),
        revision: None,
        paths: Vec::new(),
    };
    build_json_answer(status, &refusal)
}

fn build_json_answer<T: Serialize>(status: u16, document: &T) -> OperatorAnswer {
    OperatorAnswer { status, content_type: JSON_TYPE, body: encode_document(document) }
}

fn build_text_answer(status: u16, text: String) -> OperatorAnswer {
    OperatorAnswer { status, content_type: TEXT_TYPE, body: text.into_bytes() }
}

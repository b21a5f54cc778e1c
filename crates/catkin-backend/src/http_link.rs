//! Implementation of the backend link over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::RunVerdict;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderMap};
use hyper::http::request::Builder;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::control::{
    ControlAnswer, ORDERS_PATH, PROBE_PATH, escape_query, fetch_answer, format_order,
    parse_order_answer, parse_probe,
};
use crate::exchange::HttpExchange;
use crate::headers::{
    ATTEMPT_HEADER, CHAT_ID_HEADER, KEY_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER,
    RESUME_AFTER_HEADER, RESUME_ATTEMPT_HEADER,
};
use crate::stream::{HttpStream, header_text};
use crate::{AttemptSpec, BackendError, BackendErrorKind, BackendLink, ServerProbe};

/// Backend link over HTTP/1.1, with a new connection for each request.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpLink;

impl BackendLink for HttpLink {
    type Stream = HttpStream;

    async fn send(&self, spec: &AttemptSpec) -> Result<HttpStream, BackendError> {
        let request = build_request(spec)?;
        let deadline = Instant::now() + spec.head_timeout;
        let connect_timeout = spec.connect_timeout.min(spec.head_timeout);
        let mut exchange = HttpExchange::connect(spec.address, connect_timeout).await?;
        let response = exchange.send(request, deadline).await?;
        check_head(spec, &exchange, &response)?;
        HttpStream::open(exchange, response, spec.idle_timeout)
    }

    async fn probe(
        &self,
        address: SocketAddr,
        after_event: u64,
        timeout: Duration,
    ) -> Result<ServerProbe, BackendError> {
        let target = format!("{PROBE_PATH}?after={after_event}");
        let answer = fetch_answer(address, Method::GET, &target, Bytes::new(), timeout).await?;
        require_status(answer.status, StatusCode::OK)?;
        parse_probe(&answer.body).ok_or_else(build_malformed_error)
    }

    async fn look_up(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Bytes>, BackendError> {
        let target = format!("{path}?key={}", escape_query(key));
        let answer = fetch_answer(address, Method::GET, &target, Bytes::new(), timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        require_status(answer.status, StatusCode::OK)?;
        require_delimited(&answer)?;
        Ok(Some(answer.body))
    }

    async fn order(
        &self,
        address: SocketAddr,
        fence: u64,
        generation: u64,
        desired: &str,
        timeout: Duration,
    ) -> Result<u64, BackendError> {
        let body = format_order(fence, generation, desired);
        let answer = fetch_answer(address, Method::POST, ORDERS_PATH, body, timeout).await?;
        require_status(answer.status, StatusCode::OK)?;
        parse_order_answer(&answer.body).ok_or_else(build_malformed_error)
    }
}

fn build_request(spec: &AttemptSpec) -> Result<Request<Full<Bytes>>, BackendError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(&spec.path)
        .header(HOST, spec.address.to_string())
        .header(CONNECTION, "close")
        .header(CONTENT_TYPE, "application/json")
        .header(ATTEMPT_HEADER, spec.attempt.to_string())
        .header(PRIORITY_HEADER, spec.priority);
    if let Some(chat) = spec.chat {
        builder = builder.header(CHAT_ID_HEADER, chat.to_string());
    }
    if let Some(key) = &spec.idempotency_key {
        builder = builder.header(KEY_HEADER, key);
    }
    add_resume_headers(builder, spec).body(Full::new(spec.body.clone())).map_err(|error| {
        log::warn!("backend: request is malformed; not sent: {error}");
        BackendError { kind: BackendErrorKind::Broken, ran: RunVerdict::NotRun }
    })
}

fn add_resume_headers(builder: Builder, spec: &AttemptSpec) -> Builder {
    match spec.resume_point {
        Some(point) => builder
            .header(RESUME_ATTEMPT_HEADER, point.attempt.to_string())
            .header(RESUME_AFTER_HEADER, point.events),
        None => builder,
    }
}

fn check_head(
    spec: &AttemptSpec,
    exchange: &HttpExchange,
    response: &Response<Incoming>,
) -> Result<(), BackendError> {
    let headers = response.headers();
    if header_text(headers, ATTEMPT_HEADER) != Some(spec.attempt.to_string().as_str()) {
        log::warn!(
            "backend: answer of {} does not carry the identifier of attempt {}; discarding it",
            spec.address,
            spec.attempt
        );
        return Err(exchange.fail(BackendErrorKind::Stranger));
    }
    if declares_not_run(response.status(), headers) {
        return Err(BackendError { kind: BackendErrorKind::Declined, ran: RunVerdict::NotRun });
    }
    let status = response.status();
    if status.is_server_error() || status.is_informational() {
        return Err(exchange.fail(BackendErrorKind::Failed));
    }
    Ok(())
}

fn declares_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && header_text(headers, NOT_RUN_HEADER) == Some("true")
}

fn require_status(status: StatusCode, expected: StatusCode) -> Result<(), BackendError> {
    if status == expected { Ok(()) } else { Err(build_malformed_error()) }
}

/// Fails for an answer whose body may be a part of what the server recorded.
fn require_delimited(answer: &ControlAnswer) -> Result<(), BackendError> {
    if answer.delimited {
        return Ok(());
    }
    log::warn!("backend: look-up without a length rejected, because its end cannot be detected");
    Err(BackendError { kind: BackendErrorKind::Broken, ran: RunVerdict::MayHaveRun })
}

fn build_malformed_error() -> BackendError {
    BackendError { kind: BackendErrorKind::Failed, ran: RunVerdict::MayHaveRun }
}

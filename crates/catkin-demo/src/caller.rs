//! Sends one call to a router and checks the answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{EventCounter, RunVerdict, TeamId, value_type};
use catkin_caller::{
    CHAT_HEADER, CLASS_HEADER, DEADLINE_HEADER, HINT_HEADER, KEY_HEADER, PROBLEM_TYPE,
    ProblemDocument,
};
use catkin_router::build_service_key;
use catkin_standin::{build_answer_text, build_service_answer};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::deployment::{DeploymentShape, LONG_CLASS, MODEL, QUICK_CLASS};
use crate::trace::{PlannedCall, PlannedWork, build_chat_contents};

/// Header that an engine requires of a caller that connects to it directly.
const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Deadline that a caller sets for a long answer, in milliseconds.
const LONG_DEADLINE_MILLIS: u64 = 60_000;

value_type! {
    /// Outcome of one attempt of a call.
    pub(crate) enum CallOutcome {
        /// The complete answer to this call.
        Complete,
        /// A complete answer that is not the expected one; it belongs to another call.
        Mismatched,
        /// The router refused the call.
        Refused {
            ran: RunVerdict,
            reason: String,
            retry_after_seconds: Option<u32>,
        },
        /// The connection broke before the end of the answer.
        Truncated { ran: RunVerdict },
        /// The router could not be reached.
        Unreachable,
    }

    /// One attempt of a call.
    pub(crate) struct CallAttempt {
        pub(crate) outcome: CallOutcome,
        /// Time to the first byte of the answer's body.
        pub(crate) first_byte: Option<Duration>,
        /// Hint that the caller sends with the chat's next turn.
        pub(crate) hint: Option<String>,
    }
}

impl CallAttempt {
    fn unreachable() -> Self {
        Self { outcome: CallOutcome::Unreachable, first_byte: None, hint: None }
    }
}

/// Sends a call to a router and reads its answer.
pub(crate) async fn send_call(
    router: SocketAddr,
    shape: &DeploymentShape,
    call: &PlannedCall,
    hint: Option<&str>,
) -> CallAttempt {
    let start = Instant::now();
    let request = build_request(shape, call, hint);
    let Ok(stream) = TcpStream::connect(router).await else { return CallAttempt::unreachable() };
    // A failure only delays the packets of this caller.
    let _ = stream.set_nodelay(true);
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let Ok((mut sender, connection)) = handshake else { return CallAttempt::unreachable() };
    let task = tokio::spawn(connection);
    let attempt = match sender.send_request(request).await {
        Ok(response) => read_answer(call, response, start).await,
        Err(_) => CallAttempt { outcome: build_broken_outcome(), first_byte: None, hint: None },
    };
    drop(sender);
    task.abort();
    // An aborted task always ends with a cancellation error.
    let _ = task.await;
    attempt
}

/// Builds the outcome of a call whose connection broke before an answer arrived.
fn build_broken_outcome() -> CallOutcome {
    CallOutcome::Truncated { ran: RunVerdict::MayHaveRun }
}

fn build_request(
    shape: &DeploymentShape,
    call: &PlannedCall,
    hint: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut builder = Request::post(build_path(shape, call))
        .header(AUTHORIZATION, format!("Bearer {}", DeploymentShape::token(call.team)))
        .header(CONTENT_TYPE, "application/json")
        .header(ATTEMPT_HEADER, "0000000000000001");
    match &call.work {
        PlannedWork::Turn { chat, long, .. } => {
            let class = if *long { LONG_CLASS } else { QUICK_CLASS };
            builder = builder.header(CHAT_HEADER, chat).header(CLASS_HEADER, class);
            if *long {
                builder = builder.header(DEADLINE_HEADER, LONG_DEADLINE_MILLIS);
            }
            if let Some(hint) = hint {
                builder = builder.header(HINT_HEADER, hint);
            }
        }
        PlannedWork::Record { key } => builder = builder.header(KEY_HEADER, key),
    }
    let body = build_body(call);
    builder.body(Full::new(Bytes::from(body))).expect("the parts of the request are valid")
}

fn build_path(shape: &DeploymentShape, call: &PlannedCall) -> String {
    match &call.work {
        PlannedWork::Turn { .. } => "/v1/chat/completions".to_owned(),
        PlannedWork::Record { .. } => format!("/services/{}/record", shape.service),
    }
}

fn build_body(call: &PlannedCall) -> String {
    match &call.work {
        PlannedWork::Turn { chat, turn, poison, .. } => {
            let contents = build_chat_contents(chat, *turn, *poison);
            let messages: Vec<Value> = contents
                .iter()
                .map(|content| json!({ "role": "user", "content": content }))
                .collect();
            let tokens = call.work.tokens();
            json!({ "model": MODEL, "messages": messages, "stream": true, "max_tokens": tokens })
                .to_string()
        }
        PlannedWork::Record { key } => json!({ "record": key }).to_string(),
    }
}

async fn read_answer(
    call: &PlannedCall,
    response: Response<Incoming>,
    start: Instant,
) -> CallAttempt {
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let hint = header(HINT_HEADER).map(str::to_owned);
    let is_problem = header(CONTENT_TYPE.as_str()) == Some(PROBLEM_TYPE);
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut first_byte = None;
    let mut broken = false;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                first_byte.get_or_insert_with(|| start.elapsed());
                bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            }
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    let outcome =
        if is_problem { read_problem(&bytes) } else { check_answer(call, &bytes, broken) };
    CallAttempt { outcome, first_byte, hint }
}

fn read_problem(bytes: &[u8]) -> CallOutcome {
    match serde_json::from_slice::<ProblemDocument>(bytes) {
        Ok(problem) => CallOutcome::Refused {
            ran: problem.ran,
            reason: problem.reason,
            retry_after_seconds: problem.retry_after,
        },
        Err(_) => build_broken_outcome(),
    }
}

/// Derives the idempotency key that the plain service sees from the caller's key.
pub(crate) fn derive_key(call: &PlannedCall, key: &str) -> String {
    build_service_key(TeamId::from_name(call.team), key)
}

fn check_answer(call: &PlannedCall, bytes: &[u8], broken: bool) -> CallOutcome {
    let (complete, expected, found) = match &call.work {
        PlannedWork::Turn { chat, turn, poison, .. } => {
            let contents = build_chat_contents(chat, *turn, *poison);
            let content = contents.last().map_or("", String::as_str);
            let mut counter = EventCounter::default();
            counter.observe(bytes);
            (counter.is_done(), build_answer_text(content, call.work.tokens()), join_events(bytes))
        }
        PlannedWork::Record { key } => {
            let expected =
                build_service_answer(&derive_key(call, key), build_body(call).as_bytes());
            let expected = String::from_utf8_lossy(&expected).into_owned();
            (!broken, expected, String::from_utf8_lossy(bytes).into_owned())
        }
    };
    if !complete {
        return CallOutcome::Truncated { ran: RunVerdict::MayHaveRun };
    }
    if expected == found { CallOutcome::Complete } else { CallOutcome::Mismatched }
}

/// Joins the tokens of a stream of server-sent events.
fn join_events(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    chunks
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}

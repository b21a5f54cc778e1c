//! Probes, look-ups and orders: requests with a short JSON answer that is read completely.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use catkin_base::ChatId;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout_at};

use crate::exchange::HttpExchange;
use crate::stream::has_detectable_end;
use crate::{BackendError, BackendErrorKind, CacheEvent, ServerProbe};

/// Path of probe requests.
pub const PROBE_PATH: &str = "/probe";
/// Path of order requests.
pub const ORDERS_PATH: &str = "/orders";

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Returns whether a path of a backend server is reserved for routers. Calls of callers must not be
/// sent to such a path.
///
/// Percent-encoded letters and digits in `path` must be decoded first.
pub fn is_control_path(path: &str) -> bool {
    [PROBE_PATH, ORDERS_PATH].iter().any(|reserved| {
        let rest = path.get(reserved.len()..).unwrap_or_default();
        path.get(..reserved.len()).is_some_and(|start| start.eq_ignore_ascii_case(reserved))
            && (rest.is_empty() || rest.starts_with(['/', ';', '?']))
    })
}

/// Status and complete body of an answer.
#[derive(Debug)]
pub(crate) struct ControlAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
    /// Whether the answer had a length or chunks. The body of another one may be a part.
    pub(crate) delimited: bool,
}

/// Sends a request and reads the complete answer. `timeout` is the maximum time from the start of
/// the connect to the end of the answer.
pub(crate) async fn fetch_answer(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<ControlAnswer, BackendError> {
    let deadline = Instant::now() + timeout;
    let mut exchange = HttpExchange::connect(address, timeout).await?;
    let request = Request::builder()
        .method(method)
        .uri(target)
        .header(HOST, address.to_string())
        .header(CONNECTION, "close")
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| exchange.fail(BackendErrorKind::Broken))?;
    let response = exchange.send(request, deadline).await?;
    let status = response.status();
    let delimited = has_detectable_end(&response);
    let reading = read_body(&mut exchange, response.into_body());
    match timeout_at(deadline, reading).await {
        Ok(Some(body)) => Ok(ControlAnswer { status, body, delimited }),
        Ok(None) => Err(exchange.fail(BackendErrorKind::Broken)),
        Err(_) => Err(exchange.fail(BackendErrorKind::TimedOut)),
    }
}

async fn read_body(exchange: &mut HttpExchange, mut body: Incoming) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    while let Some(frame) = exchange.drive(body.frame()).await {
        let Ok(bytes) = frame.ok()?.into_data() else {
            continue;
        };
        if collected.len() + bytes.len() > MAX_ANSWER_BYTES {
            return None;
        }
        collected.extend_from_slice(&bytes);
    }
    Some(collected.freeze())
}

#[derive(Deserialize)]
struct ProbeDocument {
    incarnation: u64,
    open: u32,
    leaving: bool,
    models: Vec<String>,
    event_sequence: u64,
    #[serde(default)]
    events: Vec<EventDocument>,
    fence: u64,
}

#[derive(Deserialize)]
struct EventDocument {
    sequence: u64,
    chat: String,
    cached: bool,
}

/// Parses the answer to a probe. Returns `None` if it is malformed.
pub(crate) fn parse_probe(body: &[u8]) -> Option<ServerProbe> {
    let document: ProbeDocument = serde_json::from_slice(body).ok()?;
    let events = document.events.iter().map(parse_event).collect::<Option<Vec<_>>>()?;
    Some(ServerProbe {
        incarnation: document.incarnation,
        open: document.open,
        leaving: document.leaving,
        models: document.models,
        event_sequence: document.event_sequence,
        events,
        fence: document.fence,
    })
}

fn parse_event(document: &EventDocument) -> Option<CacheEvent> {
    let digits = document.chat.as_bytes();
    if digits.len() != 16 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let chat = ChatId(u64::from_str_radix(&document.chat, 16).ok()?);
    Some(CacheEvent { sequence: document.sequence, chat, cached: document.cached })
}

#[derive(Serialize)]
struct OrderDocument<'a> {
    fence: u64,
    generation: u64,
    desired: &'a str,
}

#[derive(Deserialize)]
struct OrderAnswer {
    fence: u64,
}

/// Returns the body of an order request.
pub(crate) fn format_order(fence: u64, generation: u64, desired: &str) -> Bytes {
    let document = OrderDocument { fence, generation, desired };
    serde_json::to_vec(&document).unwrap_or_default().into()
}

/// Parses the answer to an order, which holds the highest fencing token that the server has seen.
/// Returns `None` if it is malformed.
pub(crate) fn parse_order_answer(body: &[u8]) -> Option<u64> {
    let answer: OrderAnswer = serde_json::from_slice(body).ok()?;
    Some(answer.fence)
}

/// Percent-encodes a text as the value of a query parameter.
pub(crate) fn escape_query(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}

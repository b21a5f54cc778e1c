//! Callers: each sends requests one after the other, reuses its connection and checks each answer.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{sleep, timeout};

use catkin_entry::PromptPart;

use crate::ledger::{CallKind, CallOutcome, CallRecord};
use crate::message::{HttpMessage, MessageReader};
use crate::run::SoakContext;
use crate::wire::StandinWire;

/// Number of events in a stream.
pub(crate) const EVENTS: u32 = 6;
/// Value of the Host header.
pub(crate) const HOST: &str = "soak.example";
/// Key that callers send.
pub(crate) const KEY: &str = "soak-key";
/// Timeout that callers send in the deadline header, in milliseconds.
const TIMEOUT_MILLIS: u64 = 4_000;
/// Time for which callers wait beyond the deadline, so that late answers can be measured.
const EXTRA_WAIT: Duration = Duration::from_millis(4_000);
/// Maximum pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 250;
/// Delay after a connection that could not be opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Number of different prompts; few, so that prompts repeat.
const PROMPTS: u64 = 12;

/// An event of the answer to request `id`.
pub(crate) fn encode_event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// A connection to a router.
struct CallerConnection {
    router: usize,
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

/// Sends requests until callers are to stop.
pub(crate) async fn run_caller<W: StandinWire>(
    context: Rc<SoakContext>,
    routers: Rc<Vec<SocketAddr>>,
    index: usize,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
    let mut connection: Option<CallerConnection> = None;
    let mut number = 0;
    while !context.callers_stopped.is_cancelled() {
        let open = match connection.take() {
            Some(open) => open,
            None => match connect(&routers, &mut random).await {
                Ok(open) => open,
                Err(_) => {
                    sleep(RECONNECT_DELAY).await;
                    continue;
                }
            },
        };
        number += 1;
        let id = format!("c{index}n{number}");
        connection = send_request::<W>(&context, open, id, &mut random).await;
        let pause = random.random_range(0..=MAX_PAUSE_MILLIS);
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn connect(routers: &[SocketAddr], random: &mut StdRng) -> io::Result<CallerConnection> {
    let router = random.random_range(0..routers.len());
    let stream = TcpStream::connect(routers[router]).await?;
    let (read, writer) = stream.into_split();
    Ok(CallerConnection { router, reader: MessageReader::new(read), writer })
}

/// Sends one request and records its outcome. Returns the connection if it can be used again.
async fn send_request<W: StandinWire>(
    context: &SoakContext,
    mut connection: CallerConnection,
    id: String,
    random: &mut StdRng,
) -> Option<CallerConnection> {
    let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
    let text = encode_request::<W>(&id, kind, random.random_range(0..PROMPTS));
    let sent = context.now();
    let wait = Duration::from_millis(TIMEOUT_MILLIS) + EXTRA_WAIT;
    let answer = match connection.writer.write_all(text.as_bytes()).await {
        Ok(()) => timeout(wait, connection.reader.read()).await,
        Err(error) => Ok(Err(error)),
    };
    let reusable = matches!(&answer, Ok(Ok(message)) if !closes_connection(message));
    let stated_by = |name| match &answer {
        Ok(Ok(message)) => read_stating_server::<W>(message, name),
        _ => None,
    };
    let leaving_server = stated_by(W::HEADERS.leaving);
    let limited_server = stated_by(W::HEADERS.limit);
    let outcome = match answer {
        Ok(Ok(message)) => classify_answer::<W>(&message, &id, kind),
        Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
            CallOutcome::Answered { status: 0, sealed_by: None, valid: false }
        }
        Ok(Err(_)) if connection.reader.has_partial_message() => CallOutcome::Truncated,
        Ok(Err(_)) => CallOutcome::Closed,
        Err(_) => CallOutcome::TimedOut,
    };
    context.ledger.borrow_mut().calls.push(CallRecord {
        id,
        kind,
        router: connection.router,
        sent,
        ended: context.now(),
        timeout: TIMEOUT_MILLIS,
        outcome,
        leaving_server,
        limited_server,
    });
    reusable.then_some(connection)
}

fn encode_request<W: StandinWire>(id: &str, kind: CallKind, prompt: u64) -> String {
    let names = &W::HEADERS;
    let method = if kind == CallKind::Idempotent { "GET" } else { "POST" };
    let body = if kind == CallKind::Idempotent { String::new() } else { format!("body of {id}") };
    let mut text = format!(
        "{method} /{}/x HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {KEY}\r\n\
         {}: {TIMEOUT_MILLIS}\r\n",
        kind.as_str(),
        names.request_id,
        names.key,
        names.deadline,
    );
    if kind.service() == CallKind::Stream.service() {
        let own = PromptPart { id: u64::MAX / 2 + prompt, tokens: 50 };
        let parts = W::encode_prompt_parts(&[PromptPart { id: prompt + 1, tokens: 900 }, own]);
        text += &format!("{}: m\r\n{}: {parts}\r\n", names.model, names.prompt_parts);
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text + "\r\n" + &body
}

/// Name of the server whose answer has a header field.
fn read_stating_server<W: StandinWire>(message: &HttpMessage, name: &str) -> Option<String> {
    message.field(name)?;
    message.field(W::HEADERS.seal).map(str::to_owned)
}

fn closes_connection(message: &HttpMessage) -> bool {
    message.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

fn classify_answer<W: StandinWire>(message: &HttpMessage, id: &str, kind: CallKind) -> CallOutcome {
    let names = &W::HEADERS;
    let status = message.status().unwrap_or(0);
    let sealed_by = message.field(names.seal).map(str::to_owned);
    let named = message.field(names.request_id).is_none_or(|named| named == id);
    let body = String::from_utf8_lossy(&message.body);
    let complete = match (&sealed_by, status) {
        (Some(_), 500) => body == "failed",
        (Some(server), 200) if kind.service() == CallKind::Single.service() => {
            body == format!("{id} {server}")
        }
        (Some(_), 200) => {
            let events: Vec<String> = (1..=EVENTS).map(|number| encode_event(id, number)).collect();
            body == events.concat()
        }
        (None, status) => (400..600).contains(&status),
        (Some(_), _) => false,
    };
    CallOutcome::Answered { status, sealed_by, valid: named && complete }
}

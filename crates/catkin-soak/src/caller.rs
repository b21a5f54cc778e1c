//! Callers: each sends requests one after the other, reuses its connection and checks each answer.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinSet;
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
/// The same for long streams. It is below the timeout of their route.
const LONG_TIMEOUT_MILLIS: u64 = 10_000;
/// End of the path of a stream whose events are long apart, so that a fault breaks it off midway.
pub(crate) const LONG_PATH_END: &str = "/long";
/// Time for which callers wait beyond the deadline, so that late answers can be measured.
const EXTRA_WAIT: Duration = Duration::from_millis(4_000);
/// Maximum pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 250;
/// Delay after a connection that could not be opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Number of times that a caller tries to resume a stream, and the delay before each.
const MAX_RESUMES: u32 = 3;
const RESUME_DELAY: Duration = Duration::from_millis(200);
/// Share of the streams that callers resume only after this wait: longer than it takes routers to be in
/// touch again after they ended.
const LONG_WAIT_SHARE: (u32, u32) = (3, 4);
const LONG_RESUME_WAIT: Duration = Duration::from_millis(8_000);
/// Number of different prompts; few, so that prompts repeat.
const PROMPTS: u64 = 12;

/// An event of the answer to request `id`, from a server whose software has this version.
pub(crate) fn encode_event(id: &str, number: u32, software: u32) -> String {
    format!("id: {number}\ndata: {id} {number} {software}\n\n")
}

/// The events at the begin of an answer.
#[derive(Default)]
struct ReceivedEvents {
    /// Number of the last complete event.
    last: u32,
    /// Versions of the software of the servers that sent them.
    software: BTreeSet<u32>,
    /// Whether nothing but complete events was received.
    is_clean: bool,
}

impl ReceivedEvents {
    /// Parses the answer to request `id`, whose caller has the events up to `last`.
    fn parse(body: &[u8], id: &str, last: u32) -> Self {
        let body = String::from_utf8_lossy(body);
        let mut events = Self { last, ..Self::default() };
        let mut rest = &body[..];
        while let Some((event, after)) = rest.split_once("\n\n") {
            let software = event.rsplit(' ').next().and_then(|text| text.parse().ok());
            let Some(software) = software else { return events };
            if encode_event(id, events.last + 1, software).trim_end() != event {
                return events;
            }
            events.last += 1;
            events.software.insert(software);
            rest = after;
        }
        events.is_clean = rest.is_empty();
        events
    }
}

/// A request that a caller sends.
struct CallerRequest {
    id: String,
    kind: CallKind,
    prompt: u64,
    /// Whether it asks for a long stream.
    is_long: bool,
    /// The request that brought the first event of the stream, if this one resumes it.
    resumes: Option<String>,
    /// Number of the last event that the caller has.
    last_event: u32,
}

impl CallerRequest {
    const fn timeout_millis(&self) -> u64 {
        if self.is_long { LONG_TIMEOUT_MILLIS } else { TIMEOUT_MILLIS }
    }
}

/// A stream whose connection broke after an event, or that was refused when it was resumed.
struct BrokenStream {
    router: usize,
    /// Number of the last event that the caller has.
    last_event: u32,
}

/// A request that has ended.
struct EndedRequest {
    /// The connection, if it can be used again.
    connection: Option<CallerConnection>,
    /// The stream, if it can be resumed.
    broken: Option<BrokenStream>,
}

/// A connection to a router.
struct CallerConnection {
    router: usize,
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

/// Sends requests until callers are to stop: of all kinds, or only long streams that can be resumed.
pub(crate) async fn run_caller<W: StandinWire>(
    context: Rc<SoakContext>,
    routers: Rc<Vec<SocketAddr>>,
    index: usize,
    is_long: bool,
    seed: u64,
) {
    let seed = seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9);
    let mut random = StdRng::seed_from_u64(seed);
    let mut connection: Option<CallerConnection> = None;
    let mut number = 0u64;
    let mut resuming = JoinSet::new();
    while !context.callers_stopped.is_cancelled() {
        let open = match connection.take() {
            Some(open) => open,
            None => match connect(&routers, None, &mut random).await {
                Ok(open) => open,
                Err(_) => {
                    sleep(RECONNECT_DELAY).await;
                    continue;
                }
            },
        };
        number += 1;
        let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
        let kind = if is_long { CallKind::Resumable } else { kind };
        let prompt = random.random_range(0..PROMPTS);
        let id = format!("c{index}n{number}");
        let request = CallerRequest { id, kind, prompt, is_long, resumes: None, last_event: 0 };
        let ended = send_request::<W>(&context, open, &request).await;
        connection = ended.connection;
        if let Some(broken) = ended.broken {
            let (context, routers) = (Rc::clone(&context), Rc::clone(&routers));
            // Resumed streams have random numbers of their own, so that other requests stay what they
            // were.
            let random = StdRng::seed_from_u64(seed ^ number.rotate_left(32));
            resuming.spawn_local(async move {
                resume_stream::<W>(&context, &routers, request, broken, random).await;
            });
        }
        let pause = random.random_range(0..=MAX_PAUSE_MILLIS);
        sleep(Duration::from_millis(pause)).await;
    }
    while resuming.join_next().await.is_some() {}
}

/// Resumes a stream that broke off, each time at another router, until it is complete or was tried a
/// few times.
async fn resume_stream<W: StandinWire>(
    context: &SoakContext,
    routers: &[SocketAddr],
    begun: CallerRequest,
    mut broken: BrokenStream,
    mut random: StdRng,
) {
    let waits_long = random.random_ratio(LONG_WAIT_SHARE.0, LONG_WAIT_SHARE.1);
    let mut wait = if waits_long { LONG_RESUME_WAIT } else { RESUME_DELAY };
    let mut tries = 0;
    while tries < MAX_RESUMES {
        tokio::select! {
            () = context.callers_stopped.cancelled() => return,
            () = sleep(wait) => wait = RESUME_DELAY,
        }
        let Ok(open) = connect(routers, Some(broken.router), &mut random).await else { continue };
        tries += 1;
        let request = CallerRequest {
            id: format!("{}r{tries}", begun.id),
            resumes: Some(begun.id.clone()),
            last_event: broken.last_event,
            ..begun
        };
        match send_request::<W>(context, open, &request).await.broken {
            Some(again) => broken = again,
            None => return,
        }
    }
}

/// Connects to a random router, other than `without` if there are others.
async fn connect(
    routers: &[SocketAddr],
    without: Option<usize>,
    random: &mut StdRng,
) -> io::Result<CallerConnection> {
    let router = match without {
        Some(without) if routers.len() > 1 => {
            (without + random.random_range(1..routers.len())) % routers.len()
        }
        _ => random.random_range(0..routers.len()),
    };
    let stream = TcpStream::connect(routers[router]).await?;
    let (read, writer) = stream.into_split();
    Ok(CallerConnection { router, reader: MessageReader::new(read), writer })
}

/// Sends one request and records its outcome.
async fn send_request<W: StandinWire>(
    context: &SoakContext,
    mut connection: CallerConnection,
    request: &CallerRequest,
) -> EndedRequest {
    let router = connection.router;
    let text = encode_request::<W>(request);
    let sent = context.now();
    let timeout_millis = request.timeout_millis();
    let wait = Duration::from_millis(timeout_millis) + EXTRA_WAIT;
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
    let is_partial = connection.reader.has_partial_message();
    let mut connection = Some(connection).filter(|_| reusable || is_partial);
    let received = match &answer {
        Ok(Ok(message)) => Some(message.clone()),
        _ => match connection.take() {
            Some(connection) => connection.reader.read_partial().await,
            None => None,
        },
    };
    let received = received.filter(|message| message.status() == Some(200));
    let is_stream = matches!(request.kind, CallKind::Stream | CallKind::Resumable);
    let events = received.filter(|_| is_stream).map_or_else(ReceivedEvents::default, |message| {
        ReceivedEvents::parse(&message.body, &request.id, request.last_event)
    });
    let outcome = match answer {
        Ok(Ok(message)) => classify_answer::<W>(&message, request, &events),
        Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
            CallOutcome::Answered { status: 0, sealed_by: None, valid: false }
        }
        Ok(Err(_)) if is_partial => CallOutcome::Truncated,
        Ok(Err(_)) => CallOutcome::Closed,
        Err(_) => CallOutcome::TimedOut,
    };
    let last_event = request.last_event.max(events.last);
    let is_broken = match outcome {
        CallOutcome::Truncated => request.kind == CallKind::Resumable && last_event > 0,
        CallOutcome::Answered { status: 200, .. } | CallOutcome::TimedOut => false,
        _ => request.resumes.is_some(),
    };
    context.ledger.borrow_mut().calls.push(CallRecord {
        id: request.id.clone(),
        kind: request.kind,
        router,
        sent,
        ended: context.now(),
        timeout: timeout_millis,
        outcome,
        leaving_server,
        limited_server,
        is_long: request.is_long,
        resumes: request.resumes.clone(),
        software: events.software,
    });
    let connection = connection.filter(|_| reusable);
    EndedRequest { connection, broken: is_broken.then_some(BrokenStream { router, last_event }) }
}

fn encode_request<W: StandinWire>(request: &CallerRequest) -> String {
    let names = &W::HEADERS;
    let CallerRequest { id, kind, prompt, .. } = request;
    let (kind, prompt) = (*kind, *prompt);
    let method = if kind == CallKind::Idempotent { "GET" } else { "POST" };
    let body = if kind == CallKind::Idempotent { String::new() } else { format!("body of {id}") };
    let mut text = format!(
        "{method} /{}{} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {KEY}\r\n{}: {}\r\n",
        kind.as_str(),
        if request.is_long { LONG_PATH_END } else { "/x" },
        names.request_id,
        names.key,
        names.deadline,
        request.timeout_millis(),
    );
    if kind.service() == CallKind::Stream.service() {
        let own = PromptPart { id: u64::MAX / 2 + prompt, tokens: 50 };
        let parts = W::encode_prompt_parts(&[PromptPart { id: prompt + 1, tokens: 900 }, own]);
        text += &format!("{}: m\r\n{}: {parts}\r\n", names.model, names.prompt_parts);
    }
    if let Some(first) = &request.resumes {
        text += &format!("{}: {first}\r\n", names.resumes);
        text += &format!("{}: {}\r\n", names.last_event, request.last_event);
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

fn classify_answer<W: StandinWire>(
    message: &HttpMessage,
    request: &CallerRequest,
    events: &ReceivedEvents,
) -> CallOutcome {
    let names = &W::HEADERS;
    let CallerRequest { id, kind, .. } = request;
    let status = message.status().unwrap_or(0);
    let sealed_by = message.field(names.seal).map(str::to_owned);
    let named = message.field(names.request_id).is_none_or(|named| named == *id);
    let body = String::from_utf8_lossy(&message.body);
    let complete = match (&sealed_by, status) {
        (Some(_), 500) => body == "failed",
        (Some(server), 200) if kind.service() == CallKind::Single.service() => {
            body == format!("{id} {server}")
        }
        (Some(_), 200) => events.is_clean && events.last == EVENTS,
        (None, status) => (400..600).contains(&status),
        (Some(_), _) => false,
    };
    CallOutcome::Answered { status, sealed_by, valid: named && complete }
}

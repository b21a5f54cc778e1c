//! Callers: they keep connections until these end, and judge each answer.

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

use crate::ledger::{CallEnd, CallKind, CallRecord};
use crate::message::{HttpMessage, MessageReader};
use crate::run::SoakBoard;
use crate::wire::StandinWire;

/// Events of a stream.
pub(crate) const EVENTS: u32 = 6;
/// Host that callers ask for.
pub(crate) const HOST: &str = "soak.example";
/// Key that callers send.
pub(crate) const KEY: &str = "soak-key";
/// How long callers say that they wait, in milliseconds.
const PATIENCE_MILLIS: u64 = 4_000;
/// How much longer they wait in fact, to see how late an answer comes.
const EXTRA_WAIT: Duration = Duration::from_millis(4_000);
/// Longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 250;
/// Pause after a connection that was not taken.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Different prompts; few, so that they come again.
const PROMPTS: u64 = 12;

/// An event of the answer to `id`.
pub(crate) fn event_text(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// A connection to a router.
struct CallerConnection {
    router: usize,
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

/// Sends requests until the board is closed.
pub(crate) async fn run_caller<W: StandinWire>(
    board: Rc<SoakBoard>,
    routers: Rc<Vec<SocketAddr>>,
    index: usize,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
    let mut connection: Option<CallerConnection> = None;
    let mut number = 0;
    while !board.closed.is_cancelled() {
        let open = match connection.take() {
            Some(open) => open,
            None => match connect(&routers, &mut random).await {
                Ok(open) => open,
                Err(_) => {
                    sleep(CONNECT_PAUSE).await;
                    continue;
                }
            },
        };
        number += 1;
        let id = format!("c{index}n{number}");
        connection = ask::<W>(&board, open, id, &mut random).await;
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

/// Sends one request and waits for its end. Returns the connection if it can be used again.
async fn ask<W: StandinWire>(
    board: &SoakBoard,
    mut connection: CallerConnection,
    id: String,
    random: &mut StdRng,
) -> Option<CallerConnection> {
    let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
    let text = request_text::<W>(&id, kind, random.random_range(0..PROMPTS));
    let sent = board.now();
    let wait = Duration::from_millis(PATIENCE_MILLIS) + EXTRA_WAIT;
    let answer = match connection.writer.write_all(text.as_bytes()).await {
        Ok(()) => timeout(wait, connection.reader.read()).await,
        Err(error) => Ok(Err(error)),
    };
    let reusable = matches!(&answer, Ok(Ok(message)) if !is_last(message));
    let end = match answer {
        Ok(Ok(message)) => judge::<W>(&message, &id, kind),
        Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
            CallEnd::Answered { status: 0, sealed_by: None, genuine: false }
        }
        Ok(Err(_)) if connection.reader.has_begun() => CallEnd::Cut,
        Ok(Err(_)) => CallEnd::Closed,
        Err(_) => CallEnd::Silent,
    };
    board.ledger.borrow_mut().calls.push(CallRecord {
        id,
        kind,
        router: connection.router,
        sent,
        ended: board.now(),
        patience: PATIENCE_MILLIS,
        end,
    });
    reusable.then_some(connection)
}

fn request_text<W: StandinWire>(id: &str, kind: CallKind, prompt: u64) -> String {
    let names = &W::HEADERS;
    let method = if kind == CallKind::Idempotent { "GET" } else { "POST" };
    let body = if kind == CallKind::Idempotent { String::new() } else { format!("body of {id}") };
    let mut text = format!(
        "{method} /{}/x HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {KEY}\r\n\
         {}: {PATIENCE_MILLIS}\r\n",
        kind.as_word(),
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

fn is_last(message: &HttpMessage) -> bool {
    message.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

fn judge<W: StandinWire>(message: &HttpMessage, id: &str, kind: CallKind) -> CallEnd {
    let names = &W::HEADERS;
    let status = message.status().unwrap_or(0);
    let sealed_by = message.field(names.seal).map(str::to_owned);
    let named = message.field(names.request_id).is_none_or(|named| named == id);
    let body = String::from_utf8_lossy(&message.body);
    let whole = match (&sealed_by, status) {
        (Some(_), 500) => body == "failed",
        (Some(server), 200) if kind.service() == CallKind::Single.service() => {
            body == format!("{id} {server}")
        }
        (Some(_), 200) => {
            let events: Vec<String> = (1..=EVENTS).map(|number| event_text(id, number)).collect();
            body == events.concat()
        }
        (None, status) => (400..600).contains(&status),
        (Some(_), _) => false,
    };
    CallEnd::Answered { status, sealed_by, genuine: named && whole }
}

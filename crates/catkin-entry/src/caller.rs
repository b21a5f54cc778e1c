//! One caller's connection: reads requests, answers them in turn, notices when the caller leaves.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use catkin_http::{
    BodyDecoder, BodyFraming, BodyStep, HeadError, RequestHead, request_framing, take_request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::call::{CheckError, EntryCall, write_field};
use crate::channel::set_options;
use crate::record::CallerBounds;
use crate::refuse::{Refusal, RefusalCause, status_text};
use crate::serve::serve_call;
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Bounds before any declarations are known.
const FIRST_BOUNDS: CallerBounds = CallerBounds {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Room made for each read, in bytes.
const READ_BYTES: usize = 4 << 10;
/// Bytes of later requests that are read ahead while one is answered.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// How long a request waits for the first declarations.
const START_WAIT: Duration = Duration::from_millis(400);
/// Time that a caller is taken to have left while no declarations tell more.
const FIRST_RETRY_LEFT: Duration = Duration::from_secs(3);
/// How long a new connection has for its first request while idle ones are closed.
const NEW_CALLER_TIME: Duration = Duration::from_millis(500);
/// How long a closed connection is drained, so that the caller still reads its answer.
const LINGER: Duration = Duration::from_millis(1_000);
/// Longest wait for a caller that takes nothing of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The side of a connection that answers go to.
pub(crate) struct CallerWriter {
    writer: OwnedWriteHalf,
    /// Whether the connection ends after the answer under way.
    pub(crate) closing: bool,
    /// Whether the caller speaks HTTP/1.1.
    pub(crate) chunks: bool,
    /// Whether any byte of the answer under way was written.
    pub(crate) begun: bool,
}

impl CallerWriter {
    /// Writes bytes of an answer. Fails if the caller is gone or takes nothing for too long.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.begun = true;
        timeout(WRITE_TIMEOUT, self.writer.write_all(bytes)).await?
    }
}

/// What became of the wait for a request.
enum HeadRead {
    Request(Box<RequestHead>),
    Closed,
    /// The router stops and no request is under way.
    Closing,
    Refused(RefusalCause),
}

/// How one request ended for its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The answer is whole and another request may follow.
    Answered,
    /// The answer is whole and the connection ends.
    AnsweredLast,
    /// The answer was cut: the connection must end so that it does not look whole.
    Cut,
}

struct CallerConnection {
    reader: OwnedReadHalf,
    buffer: BytesMut,
    /// Whether a request was answered on it.
    served: bool,
}

/// Serves one connection to its end.
pub(crate) async fn serve_connection<W: EntryWire>(state: Rc<EntryState<W>>, stream: TcpStream) {
    set_options(&stream);
    let (reader, writer) = stream.into_split();
    let mut connection = CallerConnection { reader, buffer: BytesMut::new(), served: false };
    let mut writer = CallerWriter { writer, closing: false, chunks: true, begun: false };
    loop {
        let end = match connection.read_head(&state).await {
            HeadRead::Closed => return,
            HeadRead::Closing => break,
            HeadRead::Refused(cause) => {
                connection.refuse(&mut writer, cause).await;
                break;
            }
            HeadRead::Request(head) => connection.serve(&state, *head, &mut writer).await,
        };
        match end {
            Some(CallEnd::Answered) => {}
            Some(CallEnd::AnsweredLast) => break,
            Some(CallEnd::Cut) | None => return,
        }
    }
    connection.linger(&mut writer).await;
}

impl CallerConnection {
    async fn read_head<W: EntryWire>(&mut self, state: &EntryState<W>) -> HeadRead {
        let bounds = bounds_of(state);
        let mut first_byte = (!self.buffer.is_empty()).then(Instant::now);
        let idle_since = Instant::now();
        let quiet_until = if self.served { idle_since } else { idle_since + NEW_CALLER_TIME };
        loop {
            match take_request(&mut self.buffer, bounds.head_bytes) {
                Ok(Some(head)) => return HeadRead::Request(Box::new(head)),
                Ok(None) => {}
                Err(HeadError::TooLong { .. }) => {
                    return HeadRead::Refused(RefusalCause::HeadTooLong);
                }
                Err(HeadError::BareLineEnd | HeadError::Malformed) => {
                    return HeadRead::Refused(RefusalCause::BadRequest);
                }
            }
            let until = match first_byte {
                Some(first) => first + bounds.header_timeout,
                None => idle_since + bounds.idle_timeout,
            };
            let read = tokio::select! {
                biased;
                read = self.read_until(until) => read,
                () = wait_for_closing(state, quiet_until), if first_byte.is_none() => {
                    return HeadRead::Closing;
                }
            };
            match read {
                Some(true) => {
                    first_byte.get_or_insert_with(Instant::now);
                }
                Some(false) => return HeadRead::Closed,
                None if first_byte.is_some() => return HeadRead::Refused(RefusalCause::TooSlow),
                None => return HeadRead::Closed,
            }
        }
    }

    /// Reads some bytes: false at the end of the connection, `None` if nothing came in time.
    async fn read_until(&mut self, until: Instant) -> Option<bool> {
        self.buffer.reserve(READ_BYTES);
        let read = timeout_at(until, self.reader.read_buf(&mut self.buffer)).await.ok()?;
        Some(matches!(read, Ok(count) if count > 0))
    }

    /// Serves one request; `None` if the caller left.
    async fn serve<W: EntryWire>(
        &mut self,
        state: &Rc<EntryState<W>>,
        head: RequestHead,
        writer: &mut CallerWriter,
    ) -> Option<CallEnd> {
        let arrived = Instant::now();
        writer.closing = !head.keeps_open() || state.is_stopping();
        writer.chunks = head.minor >= 1;
        writer.begun = false;
        let body = match self.read_request_body(state, &head, writer).await {
            Ok(body) => body,
            Err(Some(cause)) => {
                self.refuse(writer, cause).await;
                return Some(CallEnd::AnsweredLast);
            }
            Err(None) => return None,
        };
        wait_for_declarations(state, arrived).await;
        let call = match check_call(state, head, body, arrived) {
            Ok(call) => call,
            Err(refusal) => {
                let pause = refusal.retry_after(FIRST_RETRY_LEFT, &mut rand::rng());
                let written = write_refusal(writer, refusal, pause).await;
                return written.ok().map(|()| end_of(writer));
            }
        };
        self.served = true;
        let Self { reader, buffer, .. } = self;
        tokio::select! {
            biased;
            () = wait_for_leave(reader, buffer) => {
                log::info!("call: The caller left. request={}", call.id_text());
                metrics::counter!("catkin_entry_callers_left_total").increment(1);
                None
            }
            end = serve_call(state, &call, writer) => end.ok(),
        }
    }

    /// Reads a request's body; the error is a refusal, or `None` if the caller left.
    async fn read_request_body<W: EntryWire>(
        &mut self,
        state: &EntryState<W>,
        head: &RequestHead,
        writer: &mut CallerWriter,
    ) -> Result<Bytes, Option<RefusalCause>> {
        let bounds = bounds_of(state);
        let framing = request_framing(head).map_err(|_| Some(RefusalCause::BadRequest))?;
        if matches!(framing, BodyFraming::Length(length) if length > bounds.body_bytes as u64) {
            return Err(Some(RefusalCause::BodyTooLong));
        }
        let mut decoder = BodyDecoder::new(framing);
        if !decoder.is_ended() && head.fields.lists_token("expect", "100-continue") {
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| None)?;
        }
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.buffer).map_err(|_| Some(RefusalCause::BadRequest))? {
                BodyStep::End => return Ok(body.freeze()),
                BodyStep::Data(bytes) if body.len() + bytes.len() > bounds.body_bytes => {
                    return Err(Some(RefusalCause::BodyTooLong));
                }
                BodyStep::Data(bytes) => body.extend_from_slice(&bytes),
                BodyStep::NeedMore => {
                    match self.read_until(Instant::now() + bounds.header_timeout).await {
                        Some(true) => {}
                        Some(false) => return Err(None),
                        None => return Err(Some(RefusalCause::TooSlow)),
                    }
                }
            }
        }
    }

    async fn refuse(&mut self, writer: &mut CallerWriter, cause: RefusalCause) {
        writer.closing = true;
        let refusal = Refusal::not_run(cause);
        log::info!("call: Refused unread. cause={}", refusal.as_word());
        if let Err(error) = write_refusal(writer, refusal, None).await {
            log::debug!("call: A refusal was not delivered. error={error}");
        }
    }

    /// Ends the connection: closing it with unread bytes would reset it under the answer.
    async fn linger(&mut self, writer: &mut CallerWriter) {
        if writer.writer.shutdown().await.is_err() {
            return;
        }
        let until = Instant::now() + LINGER;
        while self.read_until(until).await == Some(true) {
            self.buffer.clear();
        }
    }
}

/// Waits until the router closes idle connections; not before `quiet_until`.
async fn wait_for_closing<W>(state: &EntryState<W>, quiet_until: Instant) {
    state.close_idle_callers.cancelled().await;
    sleep_until(quiet_until).await;
}

fn end_of(writer: &CallerWriter) -> CallEnd {
    if writer.closing { CallEnd::AnsweredLast } else { CallEnd::Answered }
}

fn bounds_of<W>(state: &EntryState<W>) -> CallerBounds {
    state.table.borrow().as_ref().map_or(FIRST_BOUNDS, |table| table.declarations().bounds)
}

/// A router that has just started knows the declarations in a moment.
async fn wait_for_declarations<W>(state: &EntryState<W>, arrived: Instant) {
    let until = arrived + START_WAIT;
    while state.table.borrow().is_none() {
        let news = state.capacity_change.notified();
        if timeout_at(until, news).await.is_err() {
            return;
        }
    }
}

fn check_call<W: EntryWire>(
    state: &EntryState<W>,
    head: RequestHead,
    body: Bytes,
    arrived: Instant,
) -> Result<EntryCall, Refusal> {
    let id = head.fields.text(W::HEADERS.request_id).unwrap_or("-").to_owned();
    let Some(table) = state.table() else {
        log::info!("call: Refused. request={id} cause=no-declarations");
        return Err(Refusal::not_run(RefusalCause::NoDeclarations));
    };
    EntryCall::check::<W>(&table, head, body, arrived).map_err(|error| {
        let cause = match error {
            CheckError::BadField(_) => RefusalCause::BadRequest,
            CheckError::NoRoute => RefusalCause::NoRoute,
            CheckError::NoKey => RefusalCause::NoKey,
            CheckError::NoService => RefusalCause::NoServer,
        };
        let version = table.version();
        log::info!("call: Refused. request={id} error={error:?} declarations={version}");
        Refusal::not_run(cause)
    })
}

/// Waits until the caller ends or breaks its connection; reads ahead meanwhile.
async fn wait_for_leave(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) {
    loop {
        if buffer.len() >= READ_AHEAD_BYTES {
            // A caller that sends on and on is noticed when its answer can't be written.
            std::future::pending::<()>().await;
        }
        buffer.reserve(READ_BYTES);
        match reader.read_buf(buffer).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
}

/// Writes an answer of the router's own.
pub(crate) async fn write_refusal(
    writer: &mut CallerWriter,
    refusal: Refusal,
    retry_after: Option<Duration>,
) -> io::Result<()> {
    let status = refusal.status();
    metrics::counter!("catkin_entry_refusals_total", "cause" => refusal.as_word()).increment(1);
    let body =
        format!("{{\"error\":\"{}\",\"ran\":\"{}\"}}", refusal.as_word(), refusal.ran.as_word());
    let mut text = format!("HTTP/1.1 {status} {}\r\n", status_text(status)).into_bytes();
    write_field(&mut text, b"Content-Type", b"application/json");
    write_field(&mut text, b"Content-Length", body.len().to_string().as_bytes());
    if let Some(pause) = retry_after {
        write_field(&mut text, b"Retry-After", format!("{:.3}", pause.as_secs_f64()).as_bytes());
    }
    if writer.closing {
        write_field(&mut text, b"Connection", b"close");
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(body.as_bytes());
    writer.write(&text).await
}

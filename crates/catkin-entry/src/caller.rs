//! A caller's connection: reads requests, answers them in order, and detects that the caller
//! disconnects.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use catkin_http::{
    BodyDecoder, BodyFraming, BodyStep, HeadError, RequestHead, determine_request_framing,
    take_request_head,
};
use catkin_peer::messages::ForwardedCall;
use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::buffer_budget::BufferShare;
use crate::call::{CheckError, EntryCall, FORWARDED_FIELD, read_time_limit, write_field};
use crate::call_relay::{REFUSED_FIELD, verify_forwarded};
use crate::caller_place::CallerPlace;
use crate::connection::set_options;
use crate::record::CallerBounds;
use crate::refusal::{Refusal, RefusalCause, reason_phrase};
use crate::serve::serve_call;
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Bounds until the first declarations are known.
const DEFAULT_BOUNDS: CallerBounds = CallerBounds {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 4 << 10;
/// Maximum size of pipelined requests that are read while one is answered, in bytes.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// How long a request waits for the first declarations after the start of the router.
const DECLARATIONS_WAIT: Duration = Duration::from_millis(400);
/// Time until the deadline that is assumed for `Retry-After` if a request fails its checks.
const ASSUMED_TIME_LEFT: Duration = Duration::from_secs(3);
/// How long a new connection may wait for its first request while idle ones are closed.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// Number of copies of a request's body: the one received and the one that is sent.
const BODY_COPIES: usize = 2;
/// How long a closed connection is drained, so that no reset destroys the answer.
const LINGER_TIME: Duration = Duration::from_millis(1_000);
/// Timeout for a write to a caller that reads nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which unacknowledged data or a closed window breaks the connection of a caller, in milliseconds.
/// It exceeds [`WRITE_TIMEOUT`], so that a caller that reads slowly is not taken for one that is gone.
const CALLER_USER_TIMEOUT_MILLIS: u32 = 12_000;

/// The write half of a connection, with the state of the current answer.
pub(crate) struct CallerWriter {
    writer: OwnedWriteHalf,
    /// Whether the connection ends after the current answer.
    pub(crate) closing: bool,
    /// Whether the caller speaks HTTP/1.1, so that answers may be chunked.
    pub(crate) chunks: bool,
    /// Whether any byte of the current answer was written.
    pub(crate) started: bool,
    /// Whether refusals state that they come from this router, since another one passed the request
    /// on.
    marks_refusals: bool,
}

impl CallerWriter {
    /// Writes bytes of an answer. Fails if the caller is gone or reads nothing for [`WRITE_TIMEOUT`].
    pub(crate) async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = timeout(WRITE_TIMEOUT, self.writer.write(bytes)).await??;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.started = true;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Begins an answer whose end is that of the connection. Until [`Self::end_unframed`], the connection ends
    /// with a reset, also if this process is killed.
    pub(crate) fn begin_unframed(&mut self) {
        self.closing = true;
        self.set_linger(Some(Duration::ZERO));
    }

    /// Ends such an answer, which is complete.
    pub(crate) fn end_unframed(&self) {
        self.set_linger(None);
    }

    fn set_linger(&self, linger: Option<Duration>) {
        if let Err(error) = set_socket_linger(self.writer.as_ref(), linger) {
            log::warn!(
                "caller: setting how the connection ends failed; a part of an answer may look whole. \
                 error={error}"
            );
        }
    }

    /// Makes sure that the caller does not take the end of the connection for that of the answer. A
    /// chunked answer lacks its last chunk; any other one ends with a reset.
    fn abort(self) {
        if self.chunks {
            return;
        }
        self.set_linger(Some(Duration::ZERO));
        // Dropping the half would end the connection in order.
        self.writer.forget();
    }
}

/// Result of waiting for the head of a request.
enum HeadRead {
    /// A complete head.
    Request(Box<RequestHead>),
    /// The caller closed the connection, it was idle for too long, or its place is needed.
    Closed,
    /// The router closes idle connections and no request has begun.
    Closing,
    /// The head is refused.
    Refused(RefusalCause),
}

/// What the end of one request means for its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The answer is complete and another request may follow.
    Answered,
    /// The answer is complete and the connection ends.
    AnsweredLast,
    /// The answer is incomplete; the connection must end without marking the end of the body.
    Truncated,
}

/// The read half of a connection, with bytes that were read ahead.
struct CallerConnection {
    reader: OwnedReadHalf,
    buffer: BytesMut,
    /// Whether the connection had a valid request.
    served: bool,
    place: CallerPlace,
}

/// Serves one connection until it ends.
pub(crate) async fn serve_connection<W: EntryWire>(
    state: Rc<EntryState<W>>,
    stream: TcpStream,
    place: CallerPlace,
) {
    set_options(&stream, CALLER_USER_TIMEOUT_MILLIS);
    let (reader, writer) = stream.into_split();
    let mut connection = CallerConnection { reader, buffer: BytesMut::new(), served: false, place };
    let mut writer = CallerWriter {
        writer,
        closing: false,
        chunks: true,
        started: false,
        marks_refusals: false,
    };
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
            Some(CallEnd::Truncated) => return writer.abort(),
            // The caller may have closed its side only, and read the part that it has.
            None if writer.started => return writer.abort(),
            None => return,
        }
    }
    connection.linger(&mut writer).await;
}

impl CallerConnection {
    /// Waits for the head of the next request.
    async fn read_head<W: EntryWire>(&mut self, state: &EntryState<W>) -> HeadRead {
        let bounds = read_bounds(state);
        let mut first_byte = (!self.buffer.is_empty()).then(Instant::now);
        let end = match first_byte {
            Some(_) => CancellationToken::new(),
            None => self.place.begin_wait(state.now()),
        };
        let idle_since = Instant::now();
        let grace_until = if self.served { idle_since } else { idle_since + FIRST_REQUEST_GRACE };
        loop {
            match take_request_head(&mut self.buffer, bounds.head_bytes) {
                Ok(Some(head)) => return HeadRead::Request(Box::new(head)),
                Ok(None) => {}
                Err(HeadError::TooLong { .. }) => {
                    return HeadRead::Refused(RefusalCause::HeadTooLong);
                }
                Err(HeadError::BareLineEnd | HeadError::Malformed | HeadError::Joined) => {
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
                () = wait_for_closing(state, grace_until), if first_byte.is_none() => {
                    return HeadRead::Closing;
                }
                () = wait_for_end(&end), if first_byte.is_none() => return HeadRead::Closed,
            };
            match read {
                Some(true) => {
                    first_byte.get_or_insert_with(Instant::now);
                    self.place.begin_request();
                }
                Some(false) => return HeadRead::Closed,
                None if first_byte.is_some() => return HeadRead::Refused(RefusalCause::TooSlow),
                None => return HeadRead::Closed,
            }
        }
    }

    /// Reads some bytes. Returns false at the end of the connection and `None` at the timeout.
    async fn read_until(&mut self, until: Instant) -> Option<bool> {
        self.buffer.reserve(READ_BYTES);
        let read = timeout_at(until, self.reader.read_buf(&mut self.buffer)).await.ok()?;
        Some(matches!(read, Ok(count) if count > 0))
    }

    /// Serves one request; `None` if the caller disconnected.
    async fn serve<W: EntryWire>(
        &mut self,
        state: &Rc<EntryState<W>>,
        head: RequestHead,
        writer: &mut CallerWriter,
    ) -> Option<CallEnd> {
        let arrived = Instant::now();
        writer.closing = !head.is_keep_alive() || state.is_stopping() || self.place.ends_answered();
        writer.chunks = head.minor_version >= 1;
        writer.started = false;
        // The body is kept until the request has ended.
        let mut share = BufferShare::new(&state.body_budget);
        let body = match self.read_request_body(state, &head, arrived, writer, &mut share).await {
            Ok(body) => body,
            Err(Some(cause)) => {
                self.refuse(writer, cause).await;
                return Some(CallEnd::AnsweredLast);
            }
            Err(None) => return None,
        };
        // An interim answer is no part of the answer.
        writer.started = false;
        wait_for_declarations(state, arrived).await;
        writer.marks_refusals = head.fields.contains(FORWARDED_FIELD);
        let forwarded = verify_forwarded(state, &head, &body);
        let call = match check_call(state, head, body, arrived, forwarded.as_ref()) {
            Ok(call) => call,
            Err(refusal) => {
                let pause = refusal.retry_after(ASSUMED_TIME_LEFT, &mut rand::rng());
                let written = write_refusal(writer, refusal, pause).await;
                return written.ok().map(|()| choose_end(writer));
            }
        };
        self.served = true;
        let Self { reader, buffer, .. } = self;
        tokio::select! {
            biased;
            () = wait_for_disconnect(reader, buffer) => {
                log::info!(
                    "call: the caller disconnected; cancelling the request. request={}",
                    call.id_text()
                );
                metrics::counter!("catkin_entry_callers_left_total").increment(1);
                None
            }
            end = serve_call(state, &call, writer) => end.ok(),
        }
    }

    /// Reads the body of a request, whose memory is counted in `share`. The error is a refusal, or `None` if the
    /// caller disconnected.
    async fn read_request_body<W: EntryWire>(
        &mut self,
        state: &EntryState<W>,
        head: &RequestHead,
        arrived: Instant,
        writer: &mut CallerWriter,
        share: &mut BufferShare,
    ) -> Result<Bytes, Option<RefusalCause>> {
        let bounds = read_bounds(state);
        let limit = read_time_limit::<W>(state.route_table().as_deref(), head);
        let deadline = arrived + limit.unwrap_or(bounds.idle_timeout);
        let framing =
            determine_request_framing(head).map_err(|_| Some(RefusalCause::BadRequest))?;
        if matches!(framing, BodyFraming::Length(length) if length > bounds.body_bytes as u64) {
            return Err(Some(RefusalCause::BodyTooLong));
        }
        let mut body = BytesMut::new();
        if let BodyFraming::Length(length) = framing {
            resize_share(share, length as usize)?;
            body.reserve(length as usize);
        }
        let mut decoder = BodyDecoder::new(framing);
        if !decoder.is_complete() && head.fields.contains_token("expect", "100-continue") {
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| None)?;
        }
        loop {
            match decoder.decode(&mut self.buffer).map_err(|_| Some(RefusalCause::BadRequest))? {
                BodyStep::End => return Ok(body.freeze()),
                BodyStep::Data(bytes) if body.len() + bytes.len() > bounds.body_bytes => {
                    return Err(Some(RefusalCause::BodyTooLong));
                }
                BodyStep::Data(bytes) => {
                    body.extend_from_slice(&bytes);
                    resize_share(share, body.capacity())?;
                }
                BodyStep::NeedMore => {
                    let until = deadline.min(Instant::now() + bounds.header_timeout);
                    match self.read_until(until).await {
                        Some(true) => {}
                        Some(false) => return Err(None),
                        None => return Err(Some(RefusalCause::TooSlow)),
                    }
                }
            }
        }
    }

    /// Refuses a request that was not read completely.
    async fn refuse(&mut self, writer: &mut CallerWriter, cause: RefusalCause) {
        writer.closing = true;
        let refusal = Refusal::not_run(cause);
        log::info!(
            "call: refused before the request was complete; closing the connection. cause={}",
            refusal.as_word()
        );
        let pause = refusal.retry_after(ASSUMED_TIME_LEFT, &mut rand::rng());
        if let Err(error) = write_refusal(writer, refusal, pause).await {
            log::debug!("call: writing the refusal failed; closing the connection. error={error}");
        }
    }

    /// Ends the connection after discarding what the caller still sends: closing a socket with
    /// unread bytes resets the connection and can destroy the answer.
    async fn linger(&mut self, writer: &mut CallerWriter) {
        if writer.writer.shutdown().await.is_err() {
            return;
        }
        let until = Instant::now() + LINGER_TIME;
        while self.read_until(until).await == Some(true) {
            self.buffer.clear();
        }
    }
}

/// Counts the memory of a request's body of `bytes`; the error is the refusal of a request that gets no more.
fn resize_share(share: &mut BufferShare, bytes: usize) -> Result<(), Option<RefusalCause>> {
    let has_memory = share.try_resize(BODY_COPIES * bytes);
    if has_memory { Ok(()) } else { Err(Some(RefusalCause::NoMemory)) }
}

/// Waits until the router closes idle connections, but not before `grace_until`.
async fn wait_for_closing<W>(state: &EntryState<W>, grace_until: Instant) {
    state.close_idle_callers.cancelled().await;
    sleep_until(grace_until).await;
}

/// Waits until the place of the connection is needed.
async fn wait_for_end(end: &CancellationToken) {
    end.cancelled().await;
    // The runtime looks for bytes that have arrived before it continues here, so that they are read instead.
    yield_now().await;
}

fn choose_end(writer: &CallerWriter) -> CallEnd {
    if writer.closing { CallEnd::AnsweredLast } else { CallEnd::Answered }
}

fn read_bounds<W>(state: &EntryState<W>) -> CallerBounds {
    state.route_table.borrow().as_ref().map_or(DEFAULT_BOUNDS, |table| table.declarations().bounds)
}

/// Waits for the first declarations, which arrive shortly after the start of the router.
async fn wait_for_declarations<W>(state: &EntryState<W>, arrived: Instant) {
    let until = arrived + DECLARATIONS_WAIT;
    while state.route_table.borrow().is_none() {
        let changed = state.selection_input_change.notified();
        if timeout_at(until, changed).await.is_err() {
            return;
        }
    }
}

/// Checks a request against the current declarations.
fn check_call<W: EntryWire>(
    state: &EntryState<W>,
    head: RequestHead,
    body: Bytes,
    arrived: Instant,
    forwarded: Option<&ForwardedCall>,
) -> Result<EntryCall, Refusal> {
    let id = head.fields.text(W::HEADERS.request_id).unwrap_or("-").to_owned();
    let Some(table) = state.route_table() else {
        log::info!(
            "call: refused; the router has no declarations yet. request={id} cause=no-declarations"
        );
        return Err(Refusal::not_run(RefusalCause::NoDeclarations));
    };
    EntryCall::check::<W>(&table, head, body, arrived, forwarded).map_err(|error| {
        let cause = match error {
            CheckError::BadField(_) => RefusalCause::BadRequest,
            CheckError::NoRoute => RefusalCause::NoRoute,
            CheckError::NoKey => RefusalCause::NoKey,
            CheckError::NoService => RefusalCause::NoServer,
            CheckError::OutdatedTable => RefusalCause::NoDeclarations,
        };
        let version = table.version();
        log::info!(
            "call: refused by the checks. request={id} error={error:?} declarations={version}"
        );
        Refusal::not_run(cause)
    })
}

/// Waits until the caller closes or breaks the connection; stores pipelined bytes meanwhile.
async fn wait_for_disconnect(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) {
    loop {
        if buffer.len() >= READ_AHEAD_BYTES {
            // With a full buffer, a disconnect is detected only by the failing write of the answer.
            std::future::pending::<()>().await;
        }
        buffer.reserve(READ_BYTES);
        match reader.read_buf(buffer).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
}

/// Writes a refusal as the answer.
pub(crate) async fn write_refusal(
    writer: &mut CallerWriter,
    refusal: Refusal,
    retry_after: Option<Duration>,
) -> io::Result<()> {
    let status = refusal.status();
    metrics::counter!("catkin_entry_refusals_total", "cause" => refusal.as_word()).increment(1);
    let body =
        format!("{{\"error\":\"{}\",\"ran\":\"{}\"}}", refusal.as_word(), refusal.ran.as_word());
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
    write_field(&mut text, b"Content-Type", b"application/json");
    write_field(&mut text, b"Content-Length", body.len().to_string().as_bytes());
    if writer.marks_refusals {
        write_field(&mut text, REFUSED_FIELD.as_bytes(), refusal.as_word().as_bytes());
    }
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

//! A persistent HTTP/1.1 client connection to a backend server or to the store.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use catkin_base::{RunVerdict, copy_type};
use catkin_http::{
    BodyDecoder, BodyStep, ResponseHead, determine_response_framing, take_response_head,
};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv, sockopt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of interim heads and late answers that are skipped before an answer.
const MAX_SKIPPED_HEADS: usize = 8;
/// Maximum total size of the bodies of skipped late answers, in bytes.
const MAX_SKIPPED_BYTES: usize = 256 << 10;
/// Maximum time for which the body of a late answer is skipped.
const SKIP_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of refused requests that a connection remembers.
const MAX_REFUSED_IDS: usize = 16;
/// Buffer space reserved for each read, in bytes.
const READ_BYTES: usize = 4 << 10;
/// `TCP_USER_TIMEOUT`: time without acknowledgement of sent data that breaks the connection, in
/// milliseconds. It also replaces the number of keep-alive probes. A sound server may be unreachable for a
/// second or so, so three probes must be lost before it is over.
const USER_TIMEOUT_MILLIS: u32 = 3_500;
/// Idle time before the first TCP keep-alive probe, and time between probes, in seconds.
const KEEP_ALIVE_IDLE_SECONDS: u64 = 1;
const KEEP_ALIVE_PROBE_SECONDS: u64 = 1;
/// Number of probes; counts only where there is no `TCP_USER_TIMEOUT`.
const KEEP_ALIVE_PROBES: u32 = 3;

copy_type! {
    /// Why an exchange failed.
    pub enum ExchangeFailure {
        /// The connection could not be opened.
        Unreachable,
        /// The connection broke or the answer was incomplete.
        Broken,
        /// The answer violates the protocol.
        Garbled,
        /// The answer missed its deadline.
        TimedOut,
    }
}

copy_type! {
    /// A failed exchange, and whether the request may have run.
    pub struct ExchangeError {
        /// Why the exchange failed.
        pub failure: ExchangeFailure,
        /// Whether the request may have run.
        pub ran: RunVerdict,
    }
}

impl ExchangeError {
    /// The connection could not be opened, so the request did not run.
    pub const UNREACHABLE: Self =
        Self { failure: ExchangeFailure::Unreachable, ran: RunVerdict::NotRun };

    /// Creates the error for a failure after the request was sent.
    pub const fn after_send(failure: ExchangeFailure) -> Self {
        Self { failure, ran: RunVerdict::MayHaveRun }
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Decoder of the body of the current answer.
    decoder: Option<BodyDecoder>,
    /// Whether another request may follow, as far as the current answer was read.
    reusable: bool,
    /// Whether writing the current request failed. A reset is reported once: to that write, and then the connection
    /// seems to end in order.
    write_failed: bool,
    /// Number of requests sent.
    exchanges: u32,
    /// When the connection was last idle, and for how long the server kept it open from then on.
    released: Option<(Instant, Duration)>,
    /// Interim heads and heads of late answers that were skipped before the current answer.
    skipped_heads: Vec<ResponseHead>,
    /// Identifiers of the last requests that the server refused here.
    refused_ids: VecDeque<Bytes>,
}

/// Identifies the answer to a request among late answers to earlier ones.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedAnswer<'a> {
    /// Name of the header field that echoes the request's identifier.
    pub id_field: &'static str,
    /// Identifier of the request.
    pub id: &'a [u8],
}

impl HttpConnection {
    /// Connects to `address`.
    pub async fn connect(address: SocketAddr, deadline: Instant) -> io::Result<Self> {
        Self::connect_from(None, address, deadline).await
    }

    /// Connects to `address` from the local address `source`, or one that the operating system chooses.
    pub async fn connect_from(
        source: Option<IpAddr>,
        address: SocketAddr,
        deadline: Instant,
    ) -> io::Result<Self> {
        let connecting = open_stream(source, address);
        let stream = timeout_at(deadline, connecting).await.map_err(|_| timed_out())??;
        set_options(&stream, USER_TIMEOUT_MILLIS);
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            decoder: None,
            reusable: true,
            write_failed: false,
            exchanges: 0,
            released: None,
            skipped_heads: Vec::new(),
            refused_ids: VecDeque::new(),
        })
    }

    /// Whether the idle connection has received neither bytes nor its end.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        matches!(recv(&self.stream, &mut byte, flags), Err(Errno::WOULDBLOCK))
    }

    /// Whether another request can be sent: the answer was read completely and nothing follows it.
    pub fn is_reusable(&self) -> bool {
        let complete = self.decoder.as_ref().is_none_or(BodyDecoder::is_complete);
        self.reusable && complete && self.buffer.is_empty()
    }

    /// Whether the current answer states neither a length nor chunks, so that it ends with its connection.
    pub fn is_unframed(&self) -> bool {
        self.decoder.as_ref().is_some_and(BodyDecoder::ends_with_connection)
    }

    /// Number of requests sent so far.
    pub fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// Records that the connection is idle from now on, and that the server keeps it open for `kept`.
    pub(crate) fn mark_idle(&mut self, kept: Duration) {
        self.released = Some((Instant::now(), kept));
    }

    /// Time since the connection was last idle, and for how long the server kept it open from then on;
    /// `None` if it never was.
    pub(crate) fn idle_time(&self) -> Option<(Duration, Duration)> {
        self.released.map(|(released, kept)| (released.elapsed(), kept))
    }

    /// Records that the server refused the request with this identifier.
    pub(crate) fn mark_refused(&mut self, id: &Bytes) {
        self.refused_ids.truncate(MAX_REFUSED_IDS - 1);
        self.refused_ids.push_front(id.clone());
    }

    /// Whether the server refused a request with this identifier here. A copy of that refusal would pass for
    /// the answer to the same request.
    pub(crate) fn has_refused(&self, id: &[u8]) -> bool {
        self.refused_ids.iter().any(|refused| refused == id)
    }

    /// Interim heads and heads of late answers that the last exchange skipped. They come from the same
    /// server as the answer.
    pub fn skipped_heads(&self) -> &[ResponseHead] {
        &self.skipped_heads
    }

    /// Sends a request and reads the head of its answer, until `deadline`. Late answers to earlier
    /// requests, which have another identifier than the `expected` one, are skipped. An answer without any
    /// fails the exchange unless it is the first one on the connection. `to_head_request` says that the
    /// answer has no body.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        expected: Option<ExpectedAnswer<'_>>,
        to_head_request: bool,
        deadline: Instant,
    ) -> Result<ResponseHead, ExchangeError> {
        self.exchanges += 1;
        self.decoder = None;
        self.skipped_heads.clear();
        let mut write = RequestWrite { request, written: 0, failed: false };
        let running = self.run_exchange(&mut write, expected, to_head_request);
        let exchanged = timeout_at(deadline, running).await;
        self.write_failed = write.failed;
        match exchanged {
            Ok(Ok(head)) => {
                self.reusable = write.is_done() && head.is_keep_alive();
                Ok(head)
            }
            Ok(Err(failure)) => Err(write.fail(failure)),
            Err(_) => Err(write.fail(ExchangeFailure::TimedOut)),
        }
    }

    /// Writes the request and reads until the head of its answer is complete.
    async fn run_exchange(
        &mut self,
        write: &mut RequestWrite<'_>,
        expected: Option<ExpectedAnswer<'_>>,
        to_head_request: bool,
    ) -> Result<ResponseHead, ExchangeFailure> {
        let mut skipped_bytes = 0;
        loop {
            while let Some(head) = self.take_head()? {
                if self.skipped_heads.len() >= MAX_SKIPPED_HEADS {
                    return Err(ExchangeFailure::Garbled);
                }
                if (100..200).contains(&head.status) {
                    self.skipped_heads.push(head);
                    continue;
                }
                let framing = determine_response_framing(&head, to_head_request);
                let framing = framing.map_err(|_| ExchangeFailure::Garbled)?;
                let mut decoder = BodyDecoder::new(framing);
                let is_first = self.exchanges == 1;
                match expected.map_or(AnswerMatch::Own, |id| match_answer(&head, id, is_first)) {
                    AnswerMatch::Own => {
                        self.decoder = Some(decoder);
                        return Ok(head);
                    }
                    AnswerMatch::Unknown => return Err(ExchangeFailure::Garbled),
                    AnswerMatch::Late => {}
                }
                log::info!(
                    "server: skipped a late answer to an earlier request. status={}",
                    head.status
                );
                self.skipped_heads.push(head);
                let skipping = self.skip_body(&mut decoder, &mut skipped_bytes);
                timeout(SKIP_TIMEOUT, skipping).await.map_err(|_| ExchangeFailure::Garbled)??;
            }
            self.transfer_bytes(write).await?;
        }
    }

    fn take_head(&mut self) -> Result<Option<ResponseHead>, ExchangeFailure> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        take_response_head(&mut self.buffer, MAX_HEAD_BYTES).map_err(|_| ExchangeFailure::Garbled)
    }

    /// Writes or reads some bytes, whichever is possible first.
    async fn transfer_bytes(
        &mut self,
        write: &mut RequestWrite<'_>,
    ) -> Result<(), ExchangeFailure> {
        let (mut reader, mut writer) = self.stream.split();
        self.buffer.reserve(READ_BYTES);
        tokio::select! {
            biased;
            sent = writer.write(write.rest()), if !write.is_done() && !write.failed => {
                // After a failed write, reading goes on: the server may have answered before it
                // had the whole request.
                match sent {
                    Ok(count) if count > 0 => write.written += count,
                    _ => write.failed = true,
                }
                Ok(())
            }
            read = reader.read_buf(&mut self.buffer) => match read {
                Ok(count) if count > 0 => Ok(()),
                _ => Err(ExchangeFailure::Broken),
            },
        }
    }

    /// Reads and discards the body of a late answer; fails if more than [`MAX_SKIPPED_BYTES`] are
    /// discarded in total.
    async fn skip_body(
        &mut self,
        decoder: &mut BodyDecoder,
        skipped_bytes: &mut usize,
    ) -> Result<(), ExchangeFailure> {
        if decoder.ends_with_connection() {
            return Err(ExchangeFailure::Broken);
        }
        while let Some(bytes) = next_bytes(&mut self.stream, &mut self.buffer, decoder).await? {
            *skipped_bytes += bytes.len();
            if *skipped_bytes > MAX_SKIPPED_BYTES {
                return Err(ExchangeFailure::Garbled);
            }
        }
        Ok(())
    }

    /// Reads the next bytes of the answer's body; `None` after its end.
    pub async fn next_bytes(&mut self) -> Result<Option<Bytes>, ExchangeFailure> {
        let Some(decoder) = &mut self.decoder else { return Ok(None) };
        let read = next_bytes(&mut self.stream, &mut self.buffer, decoder).await;
        if self.write_failed && decoder.ends_with_connection() && read == Ok(None) {
            log::info!(
                "server: answer with neither a length nor chunks ended after the request could not be written; it \
                 counts as broken off."
            );
            return Err(ExchangeFailure::Broken);
        }
        if read.is_err() || decoder.ends_with_connection() {
            self.reusable = false;
        }
        read
    }

    /// Reads the rest of the answer's body; fails if it exceeds `limit_bytes` or the deadline.
    pub async fn read_body(
        &mut self,
        limit_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, ExchangeFailure> {
        self.read_body_until(limit_bytes, || deadline).await
    }

    /// Reads the rest of the answer's body; fails if it exceeds `limit_bytes` or if nothing arrives
    /// for `stall_timeout`.
    pub async fn read_flowing_body(
        &mut self,
        limit_bytes: usize,
        stall_timeout: Duration,
    ) -> Result<Bytes, ExchangeFailure> {
        self.read_body_until(limit_bytes, || Instant::now() + stall_timeout).await
    }

    /// Reads the rest of the answer's body. `next_deadline` returns the deadline of each read.
    async fn read_body_until(
        &mut self,
        limit_bytes: usize,
        next_deadline: impl Fn() -> Instant,
    ) -> Result<Bytes, ExchangeFailure> {
        let mut body = BytesMut::new();
        loop {
            let read = timeout_at(next_deadline(), self.next_bytes()).await;
            let Some(bytes) = read.map_err(|_| ExchangeFailure::TimedOut)?? else {
                return Ok(body.freeze());
            };
            if body.len() + bytes.len() > limit_bytes {
                return Err(ExchangeFailure::Garbled);
            }
            body.extend_from_slice(&bytes);
        }
    }
}

impl Drop for HttpConnection {
    /// Resets a connection whose request was given up, so that what the server has not received yet is discarded and
    /// does not reach it later.
    fn drop(&mut self) {
        let is_answered = self.decoder.as_ref().is_some_and(BodyDecoder::is_complete);
        if self.exchanges == 0 || is_answered {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!(
                "connection: setting a TCP option failed; a request that was given up may still arrive. \
                 error={error}"
            );
        }
    }
}

async fn open_stream(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

async fn next_bytes(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    decoder: &mut BodyDecoder,
) -> Result<Option<Bytes>, ExchangeFailure> {
    loop {
        match decoder.decode(buffer).map_err(|_| ExchangeFailure::Garbled)? {
            BodyStep::Data(bytes) => return Ok(Some(bytes)),
            BodyStep::End => return Ok(None),
            BodyStep::NeedMore => {}
        }
        buffer.reserve(READ_BYTES);
        match stream.read_buf(buffer).await {
            Ok(0) if decoder.ends_with_connection() => return Ok(None),
            Ok(count) if count > 0 => {}
            _ => return Err(ExchangeFailure::Broken),
        }
    }
}

/// A request that is being written.
struct RequestWrite<'a> {
    request: &'a [u8],
    /// Bytes written so far.
    written: usize,
    /// Whether a write failed; nothing more is written then.
    failed: bool,
}

impl RequestWrite<'_> {
    fn rest(&self) -> &[u8] {
        &self.request[self.written..]
    }

    fn is_done(&self) -> bool {
        self.written == self.request.len()
    }

    /// Creates the error of the exchange.
    fn fail(&self, failure: ExchangeFailure) -> ExchangeError {
        // A request of which no byte was written cannot have run.
        let ran = if self.written == 0 { RunVerdict::NotRun } else { RunVerdict::MayHaveRun };
        ExchangeError { failure, ran }
    }
}

/// Which request an answer belongs to.
enum AnswerMatch {
    /// The current one.
    Own,
    /// An earlier one.
    Late,
    /// It has no identifier, and there were earlier requests; or it has those of several requests, since it is
    /// joined from parts of answers.
    Unknown,
}

fn match_answer(head: &ResponseHead, expected: ExpectedAnswer<'_>, is_first: bool) -> AnswerMatch {
    if head.fields.has_conflict(expected.id_field) {
        return AnswerMatch::Unknown;
    }
    match head.fields.values(expected.id_field).next() {
        Some(found) if found == expected.id => AnswerMatch::Own,
        Some(_) => AnswerMatch::Late,
        None if is_first => AnswerMatch::Own,
        None => AnswerMatch::Unknown,
    }
}

/// Sets the TCP options that detect a dead connection early. Failures are only logged: without the
/// options a dead connection is detected late.
///
/// `user_timeout_millis` is the time after which unacknowledged data breaks the connection.
pub(crate) fn set_options(stream: &TcpStream, user_timeout_millis: u32) {
    let results = [
        stream.set_nodelay(true),
        sockopt::set_tcp_user_timeout(stream, user_timeout_millis).map_err(io::Error::from),
        sockopt::set_socket_keepalive(stream, true).map_err(io::Error::from),
        set_probe_times(stream),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!(
            "connection: setting a TCP option failed; dead connections are detected late. \
             error={error}"
        );
    }
}

fn set_probe_times(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_keepidle(stream, Duration::from_secs(KEEP_ALIVE_IDLE_SECONDS))?;
    sockopt::set_tcp_keepintvl(stream, Duration::from_secs(KEEP_ALIVE_PROBE_SECONDS))?;
    sockopt::set_tcp_keepcnt(stream, KEEP_ALIVE_PROBES)?;
    Ok(())
}

fn timed_out() -> io::Error {
    io::ErrorKind::TimedOut.into()
}

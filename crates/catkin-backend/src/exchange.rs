//! A connection to a backend server that carries one request.

use std::future::{Future, poll_fn};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use catkin_base::RunVerdict;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{BackendError, BackendErrorKind};

/// Maximum size of the head of an answer, and of hyper's read buffer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Highest status code of RFC 9110, section 15. The parser of heads rejects those below 100.
const MAX_STATUS: u16 = 599;

type HttpConnection = http1::Connection<TokioIo<TrackedStream>, Full<Bytes>>;

/// A connection without a task of its own: it makes progress while a method waits for it. Dropping
/// it closes the connection.
#[derive(Debug)]
pub(crate) struct HttpExchange {
    connection: Option<Pin<Box<HttpConnection>>>,
    sender: http1::SendRequest<Full<Bytes>>,
    written: WrittenFlag,
}

impl HttpExchange {
    /// Connects to a backend server. Every error states that the request was not run.
    pub(crate) async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, BackendError> {
        let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!(
                    "backend: connecting to {address} failed; the request was not sent: {error}"
                );
                return Err(build_unreachable_error());
            }
            Err(_) => return Err(build_unreachable_error()),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("backend: TCP_NODELAY was not set; small writes may be delayed: {error}");
        }
        let written = WrittenFlag::default();
        let stream = TrackedStream { stream, written: written.clone() };
        let handshake_result = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake_result.map_err(|_| build_unreachable_error())?;
        Ok(Self { connection: Some(Box::pin(connection)), sender, written })
    }

    /// Sends the request and waits for the head of the answer until `deadline`.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, BackendError> {
        let sending = self.sender.send_request(request);
        let driven = drive(&mut self.connection, sending);
        match timeout_at(deadline, driven).await {
            Ok(Ok(response)) if response.status().as_u16() > MAX_STATUS => {
                log::debug!(
                    "backend: answer with an invalid status; the attempt fails: {}",
                    response.status()
                );
                Err(self.fail(BackendErrorKind::Broken))
            }
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                log::debug!(
                    "backend: connection failed before the answer's head; the attempt fails: {error}"
                );
                Err(self.fail(BackendErrorKind::Broken))
            }
            Err(_) => Err(self.fail(BackendErrorKind::TimedOut)),
        }
    }

    /// Drives the connection until `future`, which reads from it, is complete.
    pub(crate) async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        drive(&mut self.connection, future).await
    }

    /// Returns an error that happened before the answer. The request may have run if any byte of it
    /// was written.
    pub(crate) fn fail(&self, kind: BackendErrorKind) -> BackendError {
        let ran = if self.written.is_set() { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
        BackendError { kind, ran }
    }
}

fn build_unreachable_error() -> BackendError {
    BackendError { kind: BackendErrorKind::Unreachable, ran: RunVerdict::NotRun }
}

async fn drive<F: Future>(
    connection: &mut Option<Pin<Box<HttpConnection>>>,
    future: F,
) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| {
        poll_connection(connection, context);
        future.as_mut().poll(context)
    })
    .await
}

fn poll_connection(connection: &mut Option<Pin<Box<HttpConnection>>>, context: &mut Context<'_>) {
    let Some(open) = connection else {
        return;
    };
    if let Poll::Ready(result) = open.as_mut().poll(context) {
        *connection = None;
        if let Err(error) = result {
            log::debug!(
                "backend: connection failed; an answer that is not complete is cut off: {error}"
            );
        }
    }
}

/// Whether a byte of the request was written to the connection.
#[derive(Debug, Clone, Default)]
struct WrittenFlag(Arc<AtomicBool>);

impl WrittenFlag {
    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(count)) if *count > 0) {
            self.0.store(true, Ordering::Release);
        }
    }
}

/// A TCP stream that records whether any byte was written.
#[derive(Debug)]
struct TrackedStream {
    stream: TcpStream,
    written: WrittenFlag,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.written.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.written.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

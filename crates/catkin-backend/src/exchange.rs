//! One connection to a server, which carries one request.

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

const MAX_HEAD_BYTES: usize = 64 << 10;

type HttpConnection = http1::Connection<TokioIo<WatchedStream>, Full<Bytes>>;

/// A connection that is driven by whoever waits for its answer. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct HttpExchange {
    connection: Option<Pin<Box<HttpConnection>>>,
    sender: http1::SendRequest<Full<Bytes>>,
    written: WrittenFlag,
}

impl HttpExchange {
    /// Connects. Every error says that nothing was run.
    pub(crate) async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, BackendError> {
        let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("backend: connect to {address} failed: {error}");
                return Err(unreachable_error());
            }
            Err(_) => return Err(unreachable_error()),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("backend: no-delay not set: {error}");
        }
        let written = WrittenFlag::default();
        let stream = WatchedStream { stream, written: written.clone() };
        let shaken = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = shaken.map_err(|_| unreachable_error())?;
        Ok(Self { connection: Some(Box::pin(connection)), sender, written })
    }

    /// Sends the request and waits for the head of the answer, until `deadline`.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, BackendError> {
        let sending = self.sender.send_request(request);
        let driven = drive(&mut self.connection, sending);
        match timeout_at(deadline, driven).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                log::debug!("backend: no answer head: {error}");
                Err(self.fail(BackendErrorKind::Broken))
            }
            Err(_) => Err(self.fail(BackendErrorKind::TimedOut)),
        }
    }

    /// Waits for `work`, which reads from this connection.
    pub(crate) async fn drive<F: Future>(&mut self, work: F) -> F::Output {
        drive(&mut self.connection, work).await
    }

    /// An error before the answer, with the verdict that follows from what was written.
    pub(crate) fn fail(&self, kind: BackendErrorKind) -> BackendError {
        let ran = if self.written.is_set() { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
        BackendError { kind, ran }
    }
}

fn unreachable_error() -> BackendError {
    BackendError { kind: BackendErrorKind::Unreachable, ran: RunVerdict::NotRun }
}

async fn drive<F: Future>(connection: &mut Option<Pin<Box<HttpConnection>>>, work: F) -> F::Output {
    let mut work = pin!(work);
    poll_fn(|context| {
        poll_connection(connection, context);
        work.as_mut().poll(context)
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
            log::debug!("backend: connection ended: {error}");
        }
    }
}

/// Set once a byte of the request may have left.
#[derive(Debug, Clone, Default)]
struct WrittenFlag(Arc<AtomicBool>);

impl WrittenFlag {
    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn note(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(count)) if *count > 0) {
            self.0.store(true, Ordering::Release);
        }
    }
}

/// A connection that notes whether anything was written.
#[derive(Debug)]
struct WatchedStream {
    stream: TcpStream,
    written: WrittenFlag,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.written.note(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.written.note(&written);
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

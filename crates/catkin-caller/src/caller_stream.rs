//! Connection to a caller that fails if the caller reads too slowly or if its answer was truncated.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep, timeout};

/// Maximum time for which unread input is drained before the connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const LINGER_BUFFER_BYTES: usize = 64 << 10;

/// Set when the last byte of a truncated answer is passed to hyper. The next flush then fails,
/// which closes the connection without marking the end of the body.
#[derive(Debug, Clone, Default)]
pub(crate) struct TruncationFlag(Arc<AtomicBool>);

impl TruncationFlag {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Set while the body of a request has not been read to its end.
#[derive(Debug, Default)]
pub(crate) struct UnreadFlag(AtomicBool);

impl UnreadFlag {
    pub(crate) fn set(&self, unread: bool) {
        self.0.store(unread, Ordering::Release);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// TCP connection to a caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    truncated: TruncationFlag,
    write_timeout: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        truncated: TruncationFlag,
        write_timeout: Duration,
    ) -> Self {
        Self { stream, truncated, write_timeout, stall_timer: None }
    }

    /// Reads and discards remaining input for at most [`LINGER_TIMEOUT`]. Closing a connection with
    /// unread input resets it, and the caller might lose its answer.
    pub(crate) async fn linger(&mut self) {
        let mut buffer = vec![0; LINGER_BUFFER_BYTES];
        let draining = async { while self.stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {} };
        // After the timeout the connection is closed in any case.
        let _ = timeout(LINGER_TIMEOUT, draining).await;
    }

    fn check_write_timeout(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let timeout = self.write_timeout;
        let stall_timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match stall_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write_timeout(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write_timeout(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.truncated.is_set() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

//! A connection that fails when its caller takes nothing for too long, or when its answer was cut.

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

const LINGER_TIME: Duration = Duration::from_secs(2);
const LINGER_BUFFER_BYTES: usize = 64 << 10;

/// Set once the last byte of a cut answer was handed over.
#[derive(Debug, Clone, Default)]
pub(crate) struct CutFlag(Arc<AtomicBool>);

impl CutFlag {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Set while a request's body has not been read to its end.
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

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    cut: CutFlag,
    write_timeout: Duration,
    stall: Option<Pin<Box<Sleep>>>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, cut: CutFlag, write_timeout: Duration) -> Self {
        Self { stream, cut, write_timeout, stall: None }
    }

    /// Reads and drops what the caller still sends: closing now would reset the connection, and
    /// the caller might not see its answer.
    pub(crate) async fn linger(&mut self) {
        let mut buffer = vec![0; LINGER_BUFFER_BYTES];
        let draining = async { while self.stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {} };
        // The caller had its time.
        let _ = timeout(LINGER_TIME, draining).await;
    }

    fn watch_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let timeout = self.write_timeout;
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match stall.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.cut.is_set() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

//! Large messages over TCP, one connection for each message.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::ignored::IgnoreReason;
use crate::udp::LinkShared;

/// Longest frame sent over TCP, in bytes: a chunk of one megabyte and its envelope.
pub(crate) const MAX_STREAM_FRAME_BYTES: usize = (1 << 20) + 4_096;
const LENGTH_PREFIX_BYTES: usize = 4;
const MAX_CONNECTIONS: usize = 16;
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A sealed frame that waits to be sent over TCP.
#[derive(Debug)]
pub(crate) struct StreamFrame {
    /// Address of the receiver's peer listener.
    pub address: SocketAddr,
    /// The sealed frame.
    pub bytes: Bytes,
}

/// Sends the frames that come out of `frames`, a few at once, until cancelled.
pub(crate) async fn send_streams(
    frames: flume::Receiver<StreamFrame>,
    shared: Arc<LinkShared>,
    cancel: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let tasks = TaskTracker::new();
    let send_all = async {
        while let (Ok(permit), Ok(frame)) =
            (permits.clone().acquire_owned().await, frames.recv_async().await)
        {
            let (shared, cancel) = (shared.clone(), cancel.clone());
            tasks.spawn(async move {
                cancel.run_until_cancelled(send_stream(&frame, &shared)).await;
                drop(permit);
            });
        }
    };
    cancel.run_until_cancelled(send_all).await;
    tasks.close();
    tasks.wait().await;
}

async fn send_stream(frame: &StreamFrame, shared: &LinkShared) {
    match timeout(SEND_TIMEOUT, write_frame(frame)).await {
        Ok(Ok(())) => shared.count_sent(LENGTH_PREFIX_BYTES + frame.bytes.len()),
        Ok(Err(error)) => log::debug!("peer: stream to {} lost: {error}", frame.address),
        Err(_) => log::debug!("peer: stream to {} timed out", frame.address),
    }
}

async fn write_frame(frame: &StreamFrame) -> io::Result<()> {
    let stream = TcpStream::connect(frame.address).await?;
    let mut writer = FramedWrite::new(stream, frame_codec());
    writer.send(frame.bytes.clone()).await?;
    writer.get_mut().shutdown().await
}

/// Accepts connections and takes the frames that they carry, until cancelled.
pub(crate) async fn receive_streams(
    listener: TcpListener,
    shared: Arc<LinkShared>,
    cancel: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let tasks = TaskTracker::new();
    let accept_all = async {
        while let Ok(permit) = permits.clone().acquire_owned().await {
            let Some((stream, address)) = accept(&listener).await else {
                continue;
            };
            let (shared, cancel) = (shared.clone(), cancel.clone());
            tasks.spawn(async move {
                cancel.run_until_cancelled(receive_stream(stream, address, &shared)).await;
                drop(permit);
            });
        }
    };
    cancel.run_until_cancelled(accept_all).await;
    tasks.close();
    tasks.wait().await;
}

async fn accept(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            log::warn!("peer: connection not accepted: {error}");
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

async fn receive_stream(stream: TcpStream, address: SocketAddr, shared: &LinkShared) {
    let mut reader = FramedRead::new(stream, frame_codec());
    while let Ok(Some(frame)) = timeout(RECEIVE_TIMEOUT, reader.next()).await {
        match frame {
            Ok(frame) => shared.take_frame(&frame, address),
            Err(error) => {
                if error.kind() == io::ErrorKind::InvalidData {
                    shared.count_ignored(IgnoreReason::TooLong);
                }
                return;
            }
        }
    }
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_PREFIX_BYTES)
        .max_frame_length(MAX_STREAM_FRAME_BYTES)
        .new_codec()
}

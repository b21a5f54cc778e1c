//! Large messages over TCP, with one connection per message.

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

use crate::drop_reason::DropReason;
use crate::udp::LinkState;

/// Maximum size of a frame sent over TCP, in bytes: a chunk of 1 MiB and its envelope.
pub(crate) const MAX_STREAM_FRAME_BYTES: usize = (1 << 20) + 4_096;
/// Size of the length prefix of a frame sent over TCP, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum number of open connections per direction: for sending, and for receiving.
const MAX_OPEN_CONNECTIONS: usize = 16;
/// Timeout of connecting and sending one frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of receiving one frame on an open connection.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next attempt to accept a connection after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A signed frame to be sent over TCP.
#[derive(Debug)]
pub(crate) struct StreamFrame {
    /// Address of the receiver's peer listener.
    pub address: SocketAddr,
    /// The signed frame.
    pub bytes: Bytes,
}

/// Sends the frames received from `frames`, several concurrently, until cancelled.
pub(crate) async fn send_streams(
    frames: flume::Receiver<StreamFrame>,
    state: Arc<LinkState>,
    cancel: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(MAX_OPEN_CONNECTIONS));
    let tasks = TaskTracker::new();
    let send_all = async {
        while let (Ok(permit), Ok(frame)) =
            (permits.clone().acquire_owned().await, frames.recv_async().await)
        {
            let (state, cancel) = (state.clone(), cancel.clone());
            tasks.spawn(async move {
                cancel.run_until_cancelled(send_stream_frame(&frame, &state)).await;
                drop(permit);
            });
        }
    };
    cancel.run_until_cancelled(send_all).await;
    tasks.close();
    tasks.wait().await;
}

async fn send_stream_frame(frame: &StreamFrame, state: &LinkState) {
    match timeout(SEND_TIMEOUT, write_frame(frame)).await {
        Ok(Ok(())) => state.count_sent(LENGTH_PREFIX_BYTES + frame.bytes.len()),
        Ok(Err(error)) => {
            log::debug!(
                "peer: sending a message over TCP failed; message dropped. address={} error={error}",
                frame.address
            )
        }
        Err(_) => log::debug!(
            "peer: sending a message over TCP timed out; message dropped. address={}",
            frame.address
        ),
    }
}

async fn write_frame(frame: &StreamFrame) -> io::Result<()> {
    let stream = TcpStream::connect(frame.address).await?;
    let mut writer = FramedWrite::new(stream, create_codec());
    writer.send(frame.bytes.clone()).await?;
    writer.get_mut().shutdown().await
}

/// Accepts connections and handles the frames received on them, until cancelled.
pub(crate) async fn receive_streams(
    listener: TcpListener,
    state: Arc<LinkState>,
    cancel: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(MAX_OPEN_CONNECTIONS));
    let tasks = TaskTracker::new();
    let accept_all = async {
        while let Ok(permit) = permits.clone().acquire_owned().await {
            let Some((stream, address)) = accept_connection(&listener).await else {
                continue;
            };
            let (state, cancel) = (state.clone(), cancel.clone());
            tasks.spawn(async move {
                cancel.run_until_cancelled(receive_stream_frames(stream, address, &state)).await;
                drop(permit);
            });
        }
    };
    cancel.run_until_cancelled(accept_all).await;
    tasks.close();
    tasks.wait().await;
}

async fn accept_connection(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            log::warn!(
                "peer: accepting a connection failed; the listener continues after a delay. \
                 error={error}"
            );
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn receive_stream_frames(stream: TcpStream, address: SocketAddr, state: &LinkState) {
    let mut reader = FramedRead::new(stream, create_codec());
    while let Ok(Some(frame)) = timeout(RECEIVE_TIMEOUT, reader.next()).await {
        match frame {
            Ok(frame) => state.handle_frame(&frame, address),
            Err(error) => {
                if error.kind() == io::ErrorKind::InvalidData {
                    state.count_dropped(DropReason::TooLong);
                }
                return;
            }
        }
    }
}

fn create_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_PREFIX_BYTES)
        .max_frame_length(MAX_STREAM_FRAME_BYTES)
        .new_codec()
}

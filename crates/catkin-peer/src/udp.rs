//! The peer link over UDP for small messages and TCP for large ones.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catkin_base::VmId;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::drop_reason::{DropCounts, DropReason};
use crate::frame::{DroppedFrame, FrameSigner, FrameVerifier, PeerIdentity};
use crate::key::PeerKey;
use crate::link::{MessageSource, PeerLink};
use crate::messages::PeerMessage;
use crate::tcp::{StreamFrame, receive_streams, send_streams};

/// Maximum size of a frame sent as a datagram, in bytes. Larger frames are sent over TCP.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Size of the buffer that datagrams are received into, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 2_048;
/// Maximum number of received messages that wait to be handled; further ones are dropped.
const RECEIVE_QUEUE_MESSAGES: usize = 8_192;
/// Maximum number of frames that wait to be sent over TCP; further ones are dropped.
const STREAM_QUEUE_FRAMES: usize = 64;
/// Maximum number of attempts to bind both listeners to a port that the operating system chooses.
const BIND_ATTEMPTS: u32 = 8;

/// Listen address, identity and key of a link.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// VM of the local router.
    pub vm: VmId,
    /// Incarnation of the local process, not zero.
    pub incarnation: u64,
    /// Address to listen on, for both TCP and UDP.
    pub address: SocketAddr,
    /// Key shared by all routers.
    pub key: PeerKey,
}

/// An error of opening the listeners.
#[derive(Debug, thiserror::Error)]
pub enum BindError {
    /// The UDP socket could not be bound.
    #[error("peer address {address} cannot be bound for UDP: {source}")]
    Udp {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The TCP listener could not be bound.
    #[error("peer address {address} cannot be bound for TCP: {source}")]
    Tcp {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// A link to the other routers over UDP and TCP.
#[derive(Debug)]
pub struct UdpLink {
    state: Arc<LinkState>,
    received: flume::Receiver<(MessageSource, PeerMessage)>,
    streams: flume::Sender<StreamFrame>,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

/// State shared by the tasks of a link.
#[derive(Debug)]
pub(crate) struct LinkState {
    socket: UdpSocket,
    address: SocketAddr,
    signer: FrameSigner,
    verifier: Mutex<FrameVerifier>,
    dropped: DropCounts,
    sent_bytes: AtomicU64,
    received: flume::Sender<(MessageSource, PeerMessage)>,
}

impl UdpLink {
    /// Binds the listeners and starts the tasks of the link.
    pub async fn bind(settings: &LinkSettings) -> Result<Self, BindError> {
        let (socket, listener) = bind_listeners(settings.address).await?;
        let address = socket
            .local_addr()
            .map_err(|source| BindError::Udp { address: settings.address, source })?;
        let (sender, received) = flume::bounded(RECEIVE_QUEUE_MESSAGES);
        let (streams, stream_frames) = flume::bounded(STREAM_QUEUE_FRAMES);
        let LinkSettings { vm, incarnation, key, .. } = settings.clone();
        let local = PeerIdentity { vm, incarnation, port: address.port() };
        let state = Arc::new(LinkState {
            socket,
            address,
            signer: FrameSigner::new(key.clone(), local),
            verifier: Mutex::new(FrameVerifier::new(key, local)),
            dropped: DropCounts::default(),
            sent_bytes: AtomicU64::new(0),
            received: sender,
        });
        let cancel = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(receive_datagrams(state.clone(), cancel.clone()));
        tasks.spawn(receive_streams(listener, state.clone(), cancel.clone()));
        tasks.spawn(send_streams(stream_frames, state.clone(), cancel.clone()));
        tasks.close();
        Ok(Self { state, received, streams, cancel, tasks })
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Incarnation of the newest process on `vm` that a frame arrived from; zero if none.
    pub fn known_incarnation(&self, vm: VmId) -> u64 {
        self.state.lock_verifier().incarnation_of(vm)
    }

    /// Signs a message that is sent to `vm` by another way.
    pub fn sign_message(&self, vm: VmId, message: &PeerMessage) -> Vec<u8> {
        self.state.signer.sign_message(vm, self.known_incarnation(vm), message)
    }

    /// Verifies a message that arrived by another way, and counts it if it is dropped.
    pub fn verify_message(&self, frame: &[u8]) -> Option<PeerMessage> {
        let verified = self.state.lock_verifier().verify_frame(frame);
        match verified {
            Ok(frame) => Some(frame.message),
            Err(dropped) => {
                self.state.dropped.add(dropped.reason);
                None
            }
        }
    }

    /// Counts of received frames that were dropped.
    pub fn dropped(&self) -> &DropCounts {
        &self.state.dropped
    }

    /// Stops all tasks of the link and waits for their end. Messages not yet sent are lost.
    pub async fn close(&self) {
        self.cancel.cancel();
        self.tasks.wait().await;
    }
}

impl Drop for UdpLink {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl PeerLink for UdpLink {
    fn send(&self, vm: VmId, address: SocketAddr, message: &PeerMessage) {
        let frame = self.state.sign_message(vm, message);
        if frame.len() <= MAX_DATAGRAM_BYTES {
            self.state.send_datagram(&frame, address);
            return;
        }
        let frame = StreamFrame { address, bytes: frame.into() };
        if self.streams.try_send(frame).is_err() {
            log::debug!(
                "peer: the queue of messages sent over TCP is full; message dropped. \
                 address={address}"
            );
        }
    }

    async fn receive(&self) -> Option<(MessageSource, PeerMessage)> {
        tokio::select! {
            biased;
            () = self.cancel.cancelled() => None,
            message = self.received.recv_async() => message.ok(),
        }
    }

    fn sent_bytes(&self) -> u64 {
        self.state.sent_bytes.load(Ordering::Relaxed)
    }
}

impl LinkState {
    /// Verifies a frame that arrived from `address` and queues its message.
    pub(crate) fn handle_frame(&self, frame: &[u8], address: SocketAddr) {
        let verified = self.lock_verifier().verify_frame(frame);
        let verified = match verified {
            Ok(verified) => verified,
            Err(dropped) => return self.handle_dropped(dropped, address),
        };
        if verified.message.kind.is_none() {
            return;
        }
        let source = MessageSource {
            vm: verified.sender.vm,
            incarnation: verified.sender.incarnation,
            address: SocketAddr::new(address.ip(), verified.sender.port),
        };
        if self.received.try_send((source, verified.message)).is_err() {
            self.count_dropped(DropReason::QueueFull);
        }
    }

    /// Counts a dropped frame. If the frame is for an earlier process on this VM, an empty message
    /// informs its sender of the current incarnation.
    fn handle_dropped(&self, dropped: DroppedFrame, address: SocketAddr) {
        self.count_dropped(dropped.reason);
        let Some(sender) = dropped.sender else {
            return;
        };
        if dropped.reason == DropReason::OldReceiver {
            let frame = self.sign_message(sender.vm, &PeerMessage::default());
            self.send_datagram(&frame, SocketAddr::new(address.ip(), sender.port));
        }
    }

    pub(crate) fn count_dropped(&self, reason: DropReason) {
        self.dropped.add(reason);
    }

    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn sign_message(&self, vm: VmId, message: &PeerMessage) -> Vec<u8> {
        let incarnation = self.lock_verifier().incarnation_of(vm);
        self.signer.sign_message(vm, incarnation, message)
    }

    fn send_datagram(&self, frame: &[u8], address: SocketAddr) {
        match self.socket.try_send_to(frame, address) {
            Ok(bytes) => self.count_sent(bytes),
            Err(error) => log::debug!(
                "peer: datagram not sent; message dropped. address={address} error={error}"
            ),
        }
    }

    fn lock_verifier(&self) -> MutexGuard<'_, FrameVerifier> {
        self.verifier.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds both listeners to the same port. If `address` has port 0, the operating system chooses the
/// port for TCP, and binding is repeated if that port is in use for UDP.
async fn bind_listeners(address: SocketAddr) -> Result<(UdpSocket, TcpListener), BindError> {
    let mut bound = bind_same_port(address).await;
    for _ in 1..BIND_ATTEMPTS {
        if bound.is_ok() || address.port() != 0 {
            return bound;
        }
        bound = bind_same_port(address).await;
    }
    bound
}

async fn bind_same_port(address: SocketAddr) -> Result<(UdpSocket, TcpListener), BindError> {
    let listener =
        TcpListener::bind(address).await.map_err(|source| BindError::Tcp { address, source })?;
    let bound = listener.local_addr().map_err(|source| BindError::Tcp { address, source })?;
    let socket =
        UdpSocket::bind(bound).await.map_err(|source| BindError::Udp { address: bound, source })?;
    // `try_send_to` fails until the runtime has observed the socket as writable once.
    socket.writable().await.map_err(|source| BindError::Udp { address: bound, source })?;
    Ok((socket, listener))
}

async fn receive_datagrams(state: Arc<LinkState>, cancel: CancellationToken) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        let received = tokio::select! {
            biased;
            () = cancel.cancelled() => return,
            received = state.socket.recv_from(&mut buffer) => received,
        };
        match received {
            Ok((length, address)) => state.handle_frame(&buffer[..length], address),
            Err(error) => {
                log::debug!("peer: receiving a datagram failed; the link continues. error={error}")
            }
        }
    }
}

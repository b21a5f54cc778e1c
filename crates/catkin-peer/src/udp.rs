//! The link over UDP for small messages and TCP for large ones.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catkin_base::VmId;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::frame::{FrameOpener, FrameSealer, IgnoredFrame, PeerIdentity};
use crate::ignored::{IgnoreReason, IgnoredCounts};
use crate::key::PeerKey;
use crate::link::{MessageSource, PeerLink};
use crate::messages::PeerMessage;
use crate::tcp::{StreamFrame, receive_streams, send_streams};

/// Longest frame sent as a datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_200;
const DATAGRAM_BUFFER_BYTES: usize = 2_048;
const RECEIVE_QUEUE_MESSAGES: usize = 8_192;
const STREAM_QUEUE_FRAMES: usize = 64;
const BIND_ATTEMPTS: u32 = 8;

/// Where a link listens and as whom it speaks.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The router's own VM.
    pub vm: VmId,
    /// Incarnation of its process, not zero.
    pub incarnation: u64,
    /// Address to listen on, TCP and UDP.
    pub address: SocketAddr,
    /// Key shared by all routers.
    pub key: PeerKey,
}

/// A listener that could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum BindError {
    /// The UDP socket could not be bound.
    #[error("peer address {address} cannot be bound for UDP: {source}")]
    Udp {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The TCP listener could not be bound.
    #[error("peer address {address} cannot be bound for TCP: {source}")]
    Tcp {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// A link to the other routers over UDP and TCP.
#[derive(Debug)]
pub struct UdpLink {
    shared: Arc<LinkShared>,
    received: flume::Receiver<(MessageSource, PeerMessage)>,
    streams: flume::Sender<StreamFrame>,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

/// What the link's tasks share.
#[derive(Debug)]
pub(crate) struct LinkShared {
    socket: UdpSocket,
    address: SocketAddr,
    sealer: FrameSealer,
    opener: Mutex<FrameOpener>,
    ignored: IgnoredCounts,
    sent_bytes: AtomicU64,
    received: flume::Sender<(MessageSource, PeerMessage)>,
}

impl UdpLink {
    /// Opens the listeners and starts the link's tasks.
    pub async fn bind(settings: &LinkSettings) -> Result<Self, BindError> {
        let (socket, listener) = bind_listeners(settings.address).await?;
        let address = socket
            .local_addr()
            .map_err(|source| BindError::Udp { address: settings.address, source })?;
        let (sender, received) = flume::bounded(RECEIVE_QUEUE_MESSAGES);
        let (streams, stream_frames) = flume::bounded(STREAM_QUEUE_FRAMES);
        let LinkSettings { vm, incarnation, key, .. } = settings.clone();
        let own = PeerIdentity { vm, incarnation, port: address.port() };
        let shared = Arc::new(LinkShared {
            socket,
            address,
            sealer: FrameSealer::new(key.clone(), own),
            opener: Mutex::new(FrameOpener::new(key, own)),
            ignored: IgnoredCounts::default(),
            sent_bytes: AtomicU64::new(0),
            received: sender,
        });
        let cancel = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(receive_datagrams(shared.clone(), cancel.clone()));
        tasks.spawn(receive_streams(listener, shared.clone(), cancel.clone()));
        tasks.spawn(send_streams(stream_frames, shared.clone(), cancel.clone()));
        tasks.close();
        Ok(Self { shared, received, streams, cancel, tasks })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Incarnation of the newest process heard on `vm`; zero if none was.
    pub fn known_incarnation(&self, vm: VmId) -> u64 {
        self.shared.lock_opener().incarnation_of(vm)
    }

    /// Counts of the frames that it ignored.
    pub fn ignored(&self) -> &IgnoredCounts {
        &self.shared.ignored
    }

    /// Stops and joins all tasks of the link. Messages not yet sent are lost.
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
        let frame = self.shared.seal(vm, message);
        if frame.len() <= MAX_DATAGRAM_BYTES {
            self.shared.send_datagram(&frame, address);
            return;
        }
        let frame = StreamFrame { address, bytes: frame.into() };
        if self.streams.try_send(frame).is_err() {
            log::debug!("peer: stream queue is full, message to {address} dropped");
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
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }
}

impl LinkShared {
    /// Takes a frame that arrived from `address`.
    pub(crate) fn take_frame(&self, frame: &[u8], address: SocketAddr) {
        let opened = self.lock_opener().open(frame);
        let opened = match opened {
            Ok(opened) => opened,
            Err(ignored) => return self.note_ignored(ignored, address),
        };
        if opened.message.kind.is_none() {
            return;
        }
        let source = MessageSource {
            vm: opened.sender.vm,
            incarnation: opened.sender.incarnation,
            address: SocketAddr::new(address.ip(), opened.sender.port),
        };
        if self.received.try_send((source, opened.message)).is_err() {
            self.count_ignored(IgnoreReason::QueueFull);
        }
    }

    /// Counts an ignored frame; a sender that means an earlier process is told of this one.
    fn note_ignored(&self, ignored: IgnoredFrame, address: SocketAddr) {
        self.count_ignored(ignored.reason);
        let Some(sender) = ignored.sender else {
            return;
        };
        if ignored.reason == IgnoreReason::OldReceiver {
            let frame = self.seal(sender.vm, &PeerMessage::default());
            self.send_datagram(&frame, SocketAddr::new(address.ip(), sender.port));
        }
    }

    pub(crate) fn count_ignored(&self, reason: IgnoreReason) {
        self.ignored.add(reason);
    }

    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn seal(&self, vm: VmId, message: &PeerMessage) -> Vec<u8> {
        let incarnation = self.lock_opener().incarnation_of(vm);
        self.sealer.seal(vm, incarnation, message)
    }

    fn send_datagram(&self, frame: &[u8], address: SocketAddr) {
        match self.socket.try_send_to(frame, address) {
            Ok(bytes) => self.count_sent(bytes),
            Err(error) => log::debug!("peer: datagram to {address} lost: {error}"),
        }
    }

    fn lock_opener(&self) -> MutexGuard<'_, FrameOpener> {
        self.opener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds both listeners to one port, which the system chooses if `address` has port 0.
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
    // `try_send_to` refuses until the runtime has seen the socket writable once.
    socket.writable().await.map_err(|source| BindError::Udp { address: bound, source })?;
    Ok((socket, listener))
}

async fn receive_datagrams(shared: Arc<LinkShared>, cancel: CancellationToken) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        let received = tokio::select! {
        biased;
               () = cancel.cancelled() => return,
               received = shared.socket.recv_from(&mut buffer) => received,
           };
        match received {
            Ok((length, address)) => shared.take_frame(&buffer[..length], address),
            Err(error) => log::debug!("peer: receive failed: {error}"),
        }
    }
}

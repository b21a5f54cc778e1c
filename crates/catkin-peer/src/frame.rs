//! Frames: an envelope around a message, sealed with a tag.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::{VmId, copy_type};
use prost::Message;

use crate::ignored::IgnoreReason;
use crate::key::{PeerKey, TAG_BYTES};
use crate::messages::{Envelope, PeerMessage};
use crate::replay::ReplayWindow;

/// Version of the protocol that this program speaks. It takes frames of one version apart.
pub const PROTOCOL_VERSION: u32 = 1;

/// The tag is the envelope's last field: its field key and its length.
const TAG_PREFIX: [u8; 2] = [0x3a, TAG_BYTES as u8];

copy_type! {
    /// The process that seals and opens frames.
    pub struct PeerIdentity {
        /// Its VM.
        pub vm: VmId,
        /// Its incarnation, not zero.
        pub incarnation: u64,
        /// Port of its peer listener.
        pub port: u16,
    }
}

/// Seals messages of one process.
#[derive(Debug)]
pub struct FrameSealer {
    key: PeerKey,
    own: PeerIdentity,
    version: u32,
    sequence: AtomicU64,
}

impl FrameSealer {
    /// A sealer for the process `own`.
    pub fn new(key: PeerKey, own: PeerIdentity) -> Self {
        Self { key, own, version: PROTOCOL_VERSION, sequence: AtomicU64::new(0) }
    }

    /// This sealer speaking another version of the protocol.
    pub fn with_version(mut self, version: u32) -> Self {
        self.version = version;
        self
    }

    /// Seals a message for `receiver`, whose process is `receiver_incarnation` if known, else 0.
    pub fn seal(
        &self,
        receiver: VmId,
        receiver_incarnation: u64,
        message: &PeerMessage,
    ) -> Vec<u8> {
        let envelope = Envelope {
            version: self.version,
            sender: self.own.vm.0,
            incarnation: self.own.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            receiver: receiver.0,
            body: message.encode_to_vec(),
            tag: Vec::new(),
            receiver_incarnation,
            port: self.own.port.into(),
        };
        let mut frame = envelope.encode_to_vec();
        let tag = self.key.sign(&frame);
        frame.extend_from_slice(&TAG_PREFIX);
        frame.extend_from_slice(&tag);
        frame
    }
}

/// A frame that was checked and opened.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenedFrame {
    /// The sender's VM.
    pub sender: VmId,
    /// Incarnation of the sender's process.
    pub incarnation: u64,
    /// Port of the sender's peer listener.
    pub port: u16,
    /// The message.
    pub message: PeerMessage,
}

/// Opens frames for one process and remembers what it has seen of each sender.
#[derive(Debug)]
pub struct FrameOpener {
    key: PeerKey,
    own: PeerIdentity,
    windows: BTreeMap<VmId, ReplayWindow>,
}

impl FrameOpener {
    /// An opener for the process `own`.
    pub fn new(key: PeerKey, own: PeerIdentity) -> Self {
        Self { key, own, windows: BTreeMap::new() }
    }

    /// Incarnation of the newest process heard on `vm`; zero if none was.
    pub fn incarnation_of(&self, vm: VmId) -> u64 {
        self.windows.get(&vm).map_or(0, ReplayWindow::incarnation)
    }

    /// Opens a frame, or says why it is ignored.
    pub fn open(&mut self, frame: &[u8]) -> Result<OpenedFrame, IgnoreReason> {
        let envelope = self.authenticate(frame)?;
        self.check_version(&envelope)?;
        self.check_receiver(&envelope)?;
        let port = u16::try_from(envelope.port).map_err(|_| IgnoreReason::Malformed)?;
        let message = decode_body(&envelope)?;
        self.check_sequence(&envelope)?;
        let sender = VmId(envelope.sender);
        Ok(OpenedFrame { sender, incarnation: envelope.incarnation, port, message })
    }

    fn authenticate(&self, frame: &[u8]) -> Result<Envelope, IgnoreReason> {
        let tag_field = TAG_PREFIX.len() + TAG_BYTES;
        let split = frame.len().checked_sub(tag_field).ok_or(IgnoreReason::Malformed)?;
        let (sealed, field) = frame.split_at(split);
        let tag = field.strip_prefix(&TAG_PREFIX).ok_or(IgnoreReason::Malformed)?;
        if !self.key.verify(sealed, tag) {
            return Err(IgnoreReason::Forged);
        }
        Envelope::decode(sealed).map_err(|_| IgnoreReason::Malformed)
    }

    fn check_version(&self, envelope: &Envelope) -> Result<(), IgnoreReason> {
        if envelope.version.abs_diff(PROTOCOL_VERSION) > 1 {
            return Err(IgnoreReason::Version);
        }
        Ok(())
    }

    fn check_receiver(&self, envelope: &Envelope) -> Result<(), IgnoreReason> {
        if envelope.receiver != self.own.vm.0 {
            return Err(IgnoreReason::OtherReceiver);
        }
        let meant = envelope.receiver_incarnation;
        if meant != 0 && meant != self.own.incarnation {
            return Err(IgnoreReason::OldReceiver);
        }
        Ok(())
    }

    fn check_sequence(&mut self, envelope: &Envelope) -> Result<(), IgnoreReason> {
        let sender = VmId(envelope.sender);
        let known = self.incarnation_of(sender);
        if envelope.incarnation < known {
            return Err(IgnoreReason::OldSender);
        }
        if envelope.incarnation > known || known == 0 {
            let window = ReplayWindow::open(envelope.incarnation, envelope.sequence);
            self.windows.insert(sender, window);
            return Ok(());
        }
        let fresh =
            self.windows.get_mut(&sender).is_some_and(|window| window.take(envelope.sequence));
        if fresh { Ok(()) } else { Err(IgnoreReason::Replayed) }
    }
}

fn decode_body(envelope: &Envelope) -> Result<PeerMessage, IgnoreReason> {
    PeerMessage::decode(envelope.body.as_slice()).map_err(|_| IgnoreReason::Malformed)
}

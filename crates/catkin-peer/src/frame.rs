//! Frames: an envelope around a message, sealed with a tag.

use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::{VmId, copy_type};
use prost::Message;

use crate::ignored::IgnoreReason;
use crate::key::{PeerKey, TAG_BYTES};
use crate::messages::peer_message::Kind;
use crate::messages::{Envelope, PeerMessage};
use crate::replay::SenderWindows;

/// Version of the protocol that this program speaks. It takes frames of one version apart.
pub const PROTOCOL_VERSION: u32 = 1;

/// Receiver of a frame whose sender knows only the address.
const UNNAMED_RECEIVER: u64 = 0;

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
    /// The sender.
    pub sender: PeerIdentity,
    /// The message.
    pub message: PeerMessage,
}

copy_type! {
    /// A frame that was ignored.
    pub struct IgnoredFrame {
        /// Why it was ignored.
        pub reason: IgnoreReason,
        /// Its sender, if the frame is authentic.
        pub sender: Option<PeerIdentity>,
    }
}

impl From<IgnoreReason> for IgnoredFrame {
    fn from(reason: IgnoreReason) -> Self {
        Self { reason, sender: None }
    }
}

/// Opens frames for one process and remembers what it has seen of each sender.
#[derive(Debug)]
pub struct FrameOpener {
    key: PeerKey,
    own: PeerIdentity,
    senders: SenderWindows,
}

impl FrameOpener {
    /// An opener for the process `own`.
    pub fn new(key: PeerKey, own: PeerIdentity) -> Self {
        Self { key, own, senders: SenderWindows::default() }
    }

    /// Incarnation of the newest process heard on `vm`; zero if none was.
    pub fn incarnation_of(&self, vm: VmId) -> u64 {
        self.senders.incarnation_of(vm)
    }

    /// Opens a frame, or says why it is ignored.
    pub fn open(&mut self, frame: &[u8]) -> Result<OpenedFrame, IgnoredFrame> {
        let envelope = self.authenticate(frame)?;
        let port = u16::try_from(envelope.port).map_err(|_| IgnoreReason::Malformed)?;
        let sender =
            PeerIdentity { vm: VmId(envelope.sender), incarnation: envelope.incarnation, port };
        self.open_authentic(sender, &envelope)
            .map_err(|reason| IgnoredFrame { reason, sender: Some(sender) })
    }

    fn open_authentic(
        &mut self,
        sender: PeerIdentity,
        envelope: &Envelope,
    ) -> Result<OpenedFrame, IgnoreReason> {
        check_version(envelope)?;
        self.check_receiver(envelope)?;
        let message = decode_body(envelope)?;
        check_unnamed(envelope, &message)?;
        self.senders.take(sender.vm, sender.incarnation, envelope.sequence)?;
        Ok(OpenedFrame { sender, message })
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

    fn check_receiver(&self, envelope: &Envelope) -> Result<(), IgnoreReason> {
        if ![self.own.vm.0, UNNAMED_RECEIVER].contains(&envelope.receiver) {
            return Err(IgnoreReason::OtherReceiver);
        }
        let meant = envelope.receiver_incarnation;
        if meant != 0 && meant != self.own.incarnation {
            return Err(IgnoreReason::OldReceiver);
        }
        Ok(())
    }
}

fn check_version(envelope: &Envelope) -> Result<(), IgnoreReason> {
    if envelope.version.abs_diff(PROTOCOL_VERSION) > 1 {
        return Err(IgnoreReason::Version);
    }
    Ok(())
}

/// A sender that does not know the receiver's VM may only ping it.
fn check_unnamed(envelope: &Envelope, message: &PeerMessage) -> Result<(), IgnoreReason> {
    let is_ping = matches!(message.kind, Some(Kind::Ping(_)));
    if envelope.receiver == UNNAMED_RECEIVER && !is_ping {
        return Err(IgnoreReason::OtherReceiver);
    }
    Ok(())
}

fn decode_body(envelope: &Envelope) -> Result<PeerMessage, IgnoreReason> {
    PeerMessage::decode(envelope.body.as_slice()).map_err(|_| IgnoreReason::Malformed)
}

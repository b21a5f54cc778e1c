//! Frames: a message in an envelope that is sealed with an authentication tag.

use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::{VmId, copy_type};
use prost::Message;

use crate::ignored::IgnoreReason;
use crate::key::{PeerKey, TAG_BYTES};
use crate::messages::peer_message::Kind;
use crate::messages::{Envelope, PeerMessage};
use crate::replay::SenderWindows;

/// Protocol version of this program. Frames of the previous and the next version are accepted.
pub const PROTOCOL_VERSION: u32 = 1;

/// Receiver id of a frame whose sender knows only the address of the receiver.
const UNKNOWN_RECEIVER: u64 = 0;

/// Field key and length of the tag, which is the last field of the envelope.
const TAG_PREFIX: [u8; 2] = [0x3a, TAG_BYTES as u8];

copy_type! {
    /// Identity of a process that seals or opens frames.
    pub struct PeerIdentity {
        /// VM of the process.
        pub vm: VmId,
        /// Incarnation of the process, not zero.
        pub incarnation: u64,
        /// Port of the peer listener.
        pub port: u16,
    }
}

/// Seals the messages that one process sends.
#[derive(Debug)]
pub struct FrameSealer {
    key: PeerKey,
    local: PeerIdentity,
    version: u32,
    sequence: AtomicU64,
}

impl FrameSealer {
    /// Creates a sealer for the local process.
    pub fn new(key: PeerKey, local: PeerIdentity) -> Self {
        Self { key, local, version: PROTOCOL_VERSION, sequence: AtomicU64::new(0) }
    }

    /// Sets the protocol version of sealed frames.
    pub fn with_version(mut self, version: u32) -> Self {
        self.version = version;
        self
    }

    /// Seals a message to `receiver`. `receiver_incarnation` is zero if it is unknown.
    pub fn seal(
        &self,
        receiver: VmId,
        receiver_incarnation: u64,
        message: &PeerMessage,
    ) -> Vec<u8> {
        let envelope = Envelope {
            version: self.version,
            sender: self.local.vm.0,
            incarnation: self.local.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            receiver: receiver.0,
            body: message.encode_to_vec(),
            tag: Vec::new(),
            receiver_incarnation,
            port: self.local.port.into(),
        };
        let mut frame = envelope.encode_to_vec();
        let tag = self.key.sign(&frame);
        frame.extend_from_slice(&TAG_PREFIX);
        frame.extend_from_slice(&tag);
        frame
    }
}

/// Content of an accepted frame.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenedFrame {
    /// The sender.
    pub sender: PeerIdentity,
    /// The message.
    pub message: PeerMessage,
}

copy_type! {
    /// An ignored frame.
    pub struct IgnoredFrame {
        /// Reason why it was ignored.
        pub reason: IgnoreReason,
        /// The sender, if the frame is authentic.
        pub sender: Option<PeerIdentity>,
    }
}

impl From<IgnoreReason> for IgnoredFrame {
    fn from(reason: IgnoreReason) -> Self {
        Self { reason, sender: None }
    }
}

/// Opens frames for one process, and keeps a replay window for each sender.
#[derive(Debug)]
pub struct FrameOpener {
    key: PeerKey,
    local: PeerIdentity,
    senders: SenderWindows,
}

impl FrameOpener {
    /// Creates an opener for the local process.
    pub fn new(key: PeerKey, local: PeerIdentity) -> Self {
        Self { key, local, senders: SenderWindows::default() }
    }

    /// Incarnation of the newest process on `vm` that a frame arrived from; zero if none.
    pub fn incarnation_of(&self, vm: VmId) -> u64 {
        self.senders.incarnation_of(vm)
    }

    /// Checks and opens a frame, or returns the reason for ignoring it.
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
        check_unknown_receiver(envelope, &message)?;
        self.senders.accept(sender.vm, sender.incarnation, envelope.sequence)?;
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
        if ![self.local.vm.0, UNKNOWN_RECEIVER].contains(&envelope.receiver) {
            return Err(IgnoreReason::OtherReceiver);
        }
        let expected = envelope.receiver_incarnation;
        if expected != 0 && expected != self.local.incarnation {
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

/// Checks that a frame without the receiver's VM is a ping, the only kind allowed in it.
fn check_unknown_receiver(envelope: &Envelope, message: &PeerMessage) -> Result<(), IgnoreReason> {
    let is_ping = matches!(message.kind, Some(Kind::Ping(_)));
    if envelope.receiver == UNKNOWN_RECEIVER && !is_ping {
        return Err(IgnoreReason::OtherReceiver);
    }
    Ok(())
}

fn decode_body(envelope: &Envelope) -> Result<PeerMessage, IgnoreReason> {
    PeerMessage::decode(envelope.body.as_slice()).map_err(|_| IgnoreReason::Malformed)
}

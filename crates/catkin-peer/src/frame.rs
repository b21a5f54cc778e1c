//! Frames: a message in an envelope that is authenticated by a tag.

use std::sync::atomic::{AtomicU64, Ordering};

use catkin_base::{VmId, copy_type};
use prost::Message;

use crate::drop_reason::DropReason;
use crate::key::{PeerKey, TAG_BYTES};
use crate::messages::peer_message::Kind;
use crate::messages::{Envelope, PeerMessage};
use crate::replay::SenderWindows;

/// Protocol version of this program. Frames of the previous and the next version are accepted.
pub const PROTOCOL_VERSION: u32 = 1;

/// Receiver id of a frame whose sender knows only the address of the receiver.
const UNKNOWN_RECEIVER: u64 = 0;

/// Protobuf key of the tag (field 7, length-delimited) and its length. The tag is the last field of
/// the envelope.
const TAG_PREFIX: [u8; 2] = [0x3a, TAG_BYTES as u8];

copy_type! {
    /// Identity of a process that signs or verifies frames.
    pub struct PeerIdentity {
        /// VM of the process.
        pub vm: VmId,
        /// Incarnation of the process, not zero.
        pub incarnation: u64,
        /// Port of the peer listener.
        pub port: u16,
    }
}

/// Signs the messages that one process sends.
#[derive(Debug)]
pub struct FrameSigner {
    key: PeerKey,
    local: PeerIdentity,
    version: u32,
    sequence: AtomicU64,
}

impl FrameSigner {
    /// Creates a signer for the local process.
    pub fn new(key: PeerKey, local: PeerIdentity) -> Self {
        Self { key, local, version: PROTOCOL_VERSION, sequence: AtomicU64::new(0) }
    }

    /// Sets the protocol version of signed frames.
    pub fn with_version(mut self, version: u32) -> Self {
        self.version = version;
        self
    }

    /// Puts a message to `receiver` into a signed frame. `receiver_incarnation` is zero if it is
    /// unknown.
    pub fn sign_message(
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
pub struct VerifiedFrame {
    /// The sender.
    pub sender: PeerIdentity,
    /// The message.
    pub message: PeerMessage,
}

copy_type! {
    /// A frame that was dropped.
    pub struct DroppedFrame {
        /// Reason why it was dropped.
        pub reason: DropReason,
        /// The sender, if the frame is authentic.
        pub sender: Option<PeerIdentity>,
    }
}

impl From<DropReason> for DroppedFrame {
    fn from(reason: DropReason) -> Self {
        Self { reason, sender: None }
    }
}

/// Verifies the frames that one process receives, and keeps a replay window for each sender.
#[derive(Debug)]
pub struct FrameVerifier {
    key: PeerKey,
    local: PeerIdentity,
    senders: SenderWindows,
}

impl FrameVerifier {
    /// Creates a verifier for the local process.
    pub fn new(key: PeerKey, local: PeerIdentity) -> Self {
        Self { key, local, senders: SenderWindows::default() }
    }

    /// Incarnation of the newest process on `vm` that a frame arrived from; zero if none.
    pub fn incarnation_of(&self, vm: VmId) -> u64 {
        self.senders.incarnation_of(vm)
    }

    /// Verifies a frame and decodes its message, or returns the reason for dropping it.
    pub fn verify_frame(&mut self, frame: &[u8]) -> Result<VerifiedFrame, DroppedFrame> {
        let envelope = self.authenticate(frame)?;
        let port = u16::try_from(envelope.port).map_err(|_| DropReason::Malformed)?;
        let sender =
            PeerIdentity { vm: VmId(envelope.sender), incarnation: envelope.incarnation, port };
        self.verify_authentic(sender, &envelope)
            .map_err(|reason| DroppedFrame { reason, sender: Some(sender) })
    }

    fn verify_authentic(
        &mut self,
        sender: PeerIdentity,
        envelope: &Envelope,
    ) -> Result<VerifiedFrame, DropReason> {
        check_version(envelope)?;
        self.check_receiver(envelope)?;
        let message = decode_body(envelope)?;
        check_unknown_receiver(envelope, &message)?;
        self.senders.accept(sender.vm, sender.incarnation, envelope.sequence)?;
        Ok(VerifiedFrame { sender, message })
    }

    fn authenticate(&self, frame: &[u8]) -> Result<Envelope, DropReason> {
        let tag_field = TAG_PREFIX.len() + TAG_BYTES;
        let split = frame.len().checked_sub(tag_field).ok_or(DropReason::Malformed)?;
        let (signed, field) = frame.split_at(split);
        let tag = field.strip_prefix(&TAG_PREFIX).ok_or(DropReason::Malformed)?;
        if !self.key.verify(signed, tag) {
            return Err(DropReason::Forged);
        }
        Envelope::decode(signed).map_err(|_| DropReason::Malformed)
    }

    fn check_receiver(&self, envelope: &Envelope) -> Result<(), DropReason> {
        if ![self.local.vm.0, UNKNOWN_RECEIVER].contains(&envelope.receiver) {
            return Err(DropReason::OtherReceiver);
        }
        let expected = envelope.receiver_incarnation;
        if expected != 0 && expected != self.local.incarnation {
            return Err(DropReason::OldReceiver);
        }
        Ok(())
    }
}

fn check_version(envelope: &Envelope) -> Result<(), DropReason> {
    if envelope.version.abs_diff(PROTOCOL_VERSION) > 1 {
        return Err(DropReason::Version);
    }
    Ok(())
}

/// Checks that a frame without the receiver's VM is a ping, the only kind allowed in it.
fn check_unknown_receiver(envelope: &Envelope, message: &PeerMessage) -> Result<(), DropReason> {
    let is_ping = matches!(message.kind, Some(Kind::Ping(_)));
    if envelope.receiver == UNKNOWN_RECEIVER && !is_ping {
        return Err(DropReason::OtherReceiver);
    }
    Ok(())
}

fn decode_body(envelope: &Envelope) -> Result<PeerMessage, DropReason> {
    PeerMessage::decode(envelope.body.as_slice()).map_err(|_| DropReason::Malformed)
}

//! A frame is accepted only by its receiver, only once, and only if it is authentic and within the
//! replay window. Frames may be forged, damaged, replayed, reordered, or sent by or to an earlier
//! process.

use catkin_base::VmId;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{ChunkData, PeerMessage, Ping};
use catkin_peer::{
    DropReason, FrameSigner, FrameVerifier, PROTOCOL_VERSION, PeerIdentity, PeerKey, VerifiedFrame,
};
use proptest::prelude::*;

const SENDER: VmId = VmId(1);
const RECEIVER: VmId = VmId(2);
const WINDOW_FRAMES: usize = 1_024;

fn key(digit: char) -> PeerKey {
    PeerKey::from_hex(&digit.to_string().repeat(64)).unwrap()
}

fn identity(vm: VmId, incarnation: u64) -> PeerIdentity {
    PeerIdentity { vm, incarnation, port: 7001 }
}

fn signer(incarnation: u64) -> FrameSigner {
    FrameSigner::new(key('a'), identity(SENDER, incarnation))
}

fn verifier() -> FrameVerifier {
    FrameVerifier::new(key('a'), identity(RECEIVER, 5))
}

fn ping(probe: u64) -> PeerMessage {
    PeerMessage { kind: Some(Kind::Ping(Ping { probe, ..Ping::default() })) }
}

fn verify_reason(verifier: &mut FrameVerifier, frame: &[u8]) -> Option<DropReason> {
    verifier.verify_frame(frame).err().map(|dropped| dropped.reason)
}

#[test]
fn opened_frame_has_sender_and_message() {
    let frame = signer(9).sign_message(RECEIVER, 0, &ping(3));

    let verified = verifier().verify_frame(&frame);

    let expected = VerifiedFrame { sender: identity(SENDER, 9), message: ping(3) };
    assert_eq!(verified, Ok(expected));
}

#[test]
fn frame_with_another_key_is_forged() {
    let frame = FrameSigner::new(key('b'), identity(SENDER, 9)).sign_message(RECEIVER, 0, &ping(3));

    let reason = verify_reason(&mut verifier(), &frame);

    assert_eq!(reason, Some(DropReason::Forged));
}

#[test]
fn frame_for_another_vm_is_ignored() {
    let frame = signer(9).sign_message(VmId(77), 0, &ping(3));

    let reason = verify_reason(&mut verifier(), &frame);

    assert_eq!(reason, Some(DropReason::OtherReceiver));
}

#[test]
fn only_a_ping_may_have_an_unknown_receiver() {
    let unknown = VmId(0);
    let signer = signer(9);
    let request = PeerMessage { kind: Some(Kind::ChunkAsk(Default::default())) };
    let mut verifier = verifier();

    let reasons = [ping(1), request]
        .map(|message| verify_reason(&mut verifier, &signer.sign_message(unknown, 0, &message)));

    assert_eq!(reasons, [None, Some(DropReason::OtherReceiver)]);
}

#[test]
fn dropped_frame_for_an_earlier_process_has_its_sender() {
    let frame = signer(9).sign_message(RECEIVER, 4, &ping(3));

    let dropped = verifier().verify_frame(&frame).unwrap_err();

    assert_eq!(dropped.reason, DropReason::OldReceiver);
    assert_eq!(dropped.sender, Some(identity(SENDER, 9)));
}

#[test]
fn repeated_frame_is_ignored() {
    let frame = signer(9).sign_message(RECEIVER, 0, &ping(3));
    let mut verifier = verifier();
    verifier.verify_frame(&frame).unwrap();

    let reason = verify_reason(&mut verifier, &frame);

    assert_eq!(reason, Some(DropReason::Replayed));
}

#[test]
fn reordered_frames_are_opened_once_each() {
    let signer = signer(9);
    let frames: Vec<Vec<u8>> =
        (0..4).map(|probe| signer.sign_message(RECEIVER, 0, &ping(probe))).collect();
    let mut verifier = verifier();

    let results: Vec<bool> = [0, 3, 1, 2, 1, 3]
        .iter()
        .map(|&index| verifier.verify_frame(&frames[index]).is_ok())
        .collect();

    assert_eq!(results, [true, true, true, true, false, false]);
}

#[test]
fn frame_older_than_the_window_is_ignored() {
    let signer = signer(9);
    let frames: Vec<Vec<u8>> =
        (0..=WINDOW_FRAMES + 1).map(|_| signer.sign_message(RECEIVER, 0, &ping(0))).collect();
    let mut verifier = verifier();
    verifier.verify_frame(&frames[0]).unwrap();
    verifier.verify_frame(&frames[WINDOW_FRAMES + 1]).unwrap();

    let too_old = verify_reason(&mut verifier, &frames[1]);
    let within = verify_reason(&mut verifier, &frames[2]);

    assert_eq!(too_old, Some(DropReason::Replayed));
    assert_eq!(within, None);
}

#[test]
fn frame_older_than_the_first_received_one_is_ignored() {
    let signer = signer(9);
    let recorded = signer.sign_message(RECEIVER, 0, &ping(0));
    let current = signer.sign_message(RECEIVER, 0, &ping(1));
    let mut restarted = verifier();
    restarted.verify_frame(&current).unwrap();

    let reason = verify_reason(&mut restarted, &recorded);

    assert_eq!(reason, Some(DropReason::Replayed));
}

#[test]
fn frame_of_an_earlier_process_of_the_sender_is_ignored() {
    let old = signer(9);
    let first = old.sign_message(RECEIVER, 0, &ping(0));
    let late = old.sign_message(RECEIVER, 0, &ping(1));
    let mut verifier = verifier();
    verifier.verify_frame(&first).unwrap();
    verifier.verify_frame(&signer(10).sign_message(RECEIVER, 0, &ping(2))).unwrap();

    let reason = verify_reason(&mut verifier, &late);

    assert_eq!(reason, Some(DropReason::OldSender));
    assert_eq!(verifier.incarnation_of(SENDER), 10);
}

#[test]
fn adjacent_versions_are_accepted() {
    let mut verifier = verifier();
    let next = signer(9).with_version(PROTOCOL_VERSION + 1).sign_message(RECEIVER, 0, &ping(0));
    let distant = signer(10).with_version(PROTOCOL_VERSION + 2).sign_message(RECEIVER, 0, &ping(0));

    let reasons = [verify_reason(&mut verifier, &next), verify_reason(&mut verifier, &distant)];

    assert_eq!(reasons, [None, Some(DropReason::Version)]);
}

#[test]
fn dropped_frame_does_not_change_the_windows() {
    let signer = signer(9);
    let mut damaged = signer.sign_message(RECEIVER, 0, &ping(0));
    let intact = damaged.clone();
    damaged[3] ^= 1;
    let mut verifier = verifier();
    verifier.verify_frame(&damaged).unwrap_err();

    let verified = verifier.verify_frame(&intact);

    assert!(verified.is_ok());
}

fn any_message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        any::<u64>().prop_map(ping),
        ("[a-f0-9]{0,64}", prop::collection::vec(any::<u8>(), 0..2_000)).prop_map(
            |(digest, content)| PeerMessage {
                kind: Some(Kind::ChunkData(ChunkData { digest, content }))
            }
        ),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_message_round_trips(message in any_message()) {
        let frame = signer(9).sign_message(RECEIVER, 5, &message);

        let verified = verifier().verify_frame(&frame);

        prop_assert_eq!(verified.map(|verified| verified.message), Ok(message));
    }

    #[test]
    fn arbitrary_bytes_are_ignored(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(verifier().verify_frame(&bytes).is_err());
    }

    #[test]
    fn authentic_arbitrary_bodies_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let message = prost::Message::decode(bytes.as_slice());
        if let Ok(message) = message {
            let message: PeerMessage = message;
            let frame = signer(9).sign_message(RECEIVER, 0, &message);
            prop_assert!(verifier().verify_frame(&frame).is_ok());
        }
    }

    #[test]
    fn changed_frames_are_ignored(
        message in any_message(),
        position in any::<prop::sample::Index>(),
        change in 1_u8..,
    ) {
        let mut frame = signer(9).sign_message(RECEIVER, 0, &message);
        let position = position.index(frame.len());
        frame[position] ^= change;

        prop_assert!(verifier().verify_frame(&frame).is_err());
    }

    #[test]
    fn truncated_frames_are_ignored(
        message in any_message(),
        length in any::<prop::sample::Index>(),
    ) {
        let frame = signer(9).sign_message(RECEIVER, 0, &message);
        let length = length.index(frame.len());

        prop_assert!(verifier().verify_frame(&frame[..length]).is_err());
    }
}

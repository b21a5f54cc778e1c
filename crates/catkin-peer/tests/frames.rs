//! A frame is opened only by its receiver, only once, and only if it is authentic and within the
//! replay window. Frames may be forged, damaged, replayed, reordered, or sent by or to an earlier
//! process.

use catkin_base::VmId;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{ChunkData, PeerMessage, Ping};
use catkin_peer::{
    FrameOpener, FrameSealer, IgnoreReason, OpenedFrame, PROTOCOL_VERSION, PeerIdentity, PeerKey,
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

fn sealer(incarnation: u64) -> FrameSealer {
    FrameSealer::new(key('a'), identity(SENDER, incarnation))
}

fn opener() -> FrameOpener {
    FrameOpener::new(key('a'), identity(RECEIVER, 5))
}

fn ping(probe: u64) -> PeerMessage {
    PeerMessage { kind: Some(Kind::Ping(Ping { probe, ..Ping::default() })) }
}

fn open_reason(opener: &mut FrameOpener, frame: &[u8]) -> Option<IgnoreReason> {
    opener.open(frame).err().map(|ignored| ignored.reason)
}

#[test]
fn opened_frame_has_sender_and_message() {
    let frame = sealer(9).seal(RECEIVER, 0, &ping(3));

    let opened = opener().open(&frame);

    let expected = OpenedFrame { sender: identity(SENDER, 9), message: ping(3) };
    assert_eq!(opened, Ok(expected));
}

#[test]
fn frame_with_another_key_is_forged() {
    let frame = FrameSealer::new(key('b'), identity(SENDER, 9)).seal(RECEIVER, 0, &ping(3));

    let reason = open_reason(&mut opener(), &frame);

    assert_eq!(reason, Some(IgnoreReason::Forged));
}

#[test]
fn frame_for_another_vm_is_ignored() {
    let frame = sealer(9).seal(VmId(77), 0, &ping(3));

    let reason = open_reason(&mut opener(), &frame);

    assert_eq!(reason, Some(IgnoreReason::OtherReceiver));
}

#[test]
fn only_a_ping_may_have_an_unknown_receiver() {
    let unknown = VmId(0);
    let sealer = sealer(9);
    let ask = PeerMessage { kind: Some(Kind::ChunkAsk(Default::default())) };
    let mut opener = opener();

    let reasons =
        [ping(1), ask].map(|message| open_reason(&mut opener, &sealer.seal(unknown, 0, &message)));

    assert_eq!(reasons, [None, Some(IgnoreReason::OtherReceiver)]);
}

#[test]
fn ignored_frame_for_an_earlier_process_has_its_sender() {
    let frame = sealer(9).seal(RECEIVER, 4, &ping(3));

    let ignored = opener().open(&frame).unwrap_err();

    assert_eq!(ignored.reason, IgnoreReason::OldReceiver);
    assert_eq!(ignored.sender, Some(identity(SENDER, 9)));
}

#[test]
fn repeated_frame_is_ignored() {
    let frame = sealer(9).seal(RECEIVER, 0, &ping(3));
    let mut opener = opener();
    opener.open(&frame).unwrap();

    let reason = open_reason(&mut opener, &frame);

    assert_eq!(reason, Some(IgnoreReason::Replayed));
}

#[test]
fn reordered_frames_are_opened_once_each() {
    let sealer = sealer(9);
    let frames: Vec<Vec<u8>> = (0..4).map(|probe| sealer.seal(RECEIVER, 0, &ping(probe))).collect();
    let mut opener = opener();

    let results: Vec<bool> =
        [0, 3, 1, 2, 1, 3].iter().map(|&index| opener.open(&frames[index]).is_ok()).collect();

    assert_eq!(results, [true, true, true, true, false, false]);
}

#[test]
fn frame_older_than_the_window_is_ignored() {
    let sealer = sealer(9);
    let frames: Vec<Vec<u8>> =
        (0..=WINDOW_FRAMES + 1).map(|_| sealer.seal(RECEIVER, 0, &ping(0))).collect();
    let mut opener = opener();
    opener.open(&frames[0]).unwrap();
    opener.open(&frames[WINDOW_FRAMES + 1]).unwrap();

    let too_old = open_reason(&mut opener, &frames[1]);
    let within = open_reason(&mut opener, &frames[2]);

    assert_eq!(too_old, Some(IgnoreReason::Replayed));
    assert_eq!(within, None);
}

#[test]
fn frame_older_than_the_first_received_one_is_ignored() {
    let sealer = sealer(9);
    let recorded = sealer.seal(RECEIVER, 0, &ping(0));
    let current = sealer.seal(RECEIVER, 0, &ping(1));
    let mut restarted = opener();
    restarted.open(&current).unwrap();

    let reason = open_reason(&mut restarted, &recorded);

    assert_eq!(reason, Some(IgnoreReason::Replayed));
}

#[test]
fn frame_of_an_earlier_process_of_the_sender_is_ignored() {
    let old = sealer(9);
    let first = old.seal(RECEIVER, 0, &ping(0));
    let late = old.seal(RECEIVER, 0, &ping(1));
    let mut opener = opener();
    opener.open(&first).unwrap();
    opener.open(&sealer(10).seal(RECEIVER, 0, &ping(2))).unwrap();

    let reason = open_reason(&mut opener, &late);

    assert_eq!(reason, Some(IgnoreReason::OldSender));
    assert_eq!(opener.incarnation_of(SENDER), 10);
}

#[test]
fn adjacent_versions_are_accepted() {
    let mut opener = opener();
    let next = sealer(9).with_version(PROTOCOL_VERSION + 1).seal(RECEIVER, 0, &ping(0));
    let distant = sealer(10).with_version(PROTOCOL_VERSION + 2).seal(RECEIVER, 0, &ping(0));

    let reasons = [open_reason(&mut opener, &next), open_reason(&mut opener, &distant)];

    assert_eq!(reasons, [None, Some(IgnoreReason::Version)]);
}

#[test]
fn ignored_frame_does_not_change_the_windows() {
    let sealer = sealer(9);
    let mut damaged = sealer.seal(RECEIVER, 0, &ping(0));
    let intact = damaged.clone();
    damaged[3] ^= 1;
    let mut opener = opener();
    opener.open(&damaged).unwrap_err();

    let opened = opener.open(&intact);

    assert!(opened.is_ok());
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
        let frame = sealer(9).seal(RECEIVER, 5, &message);

        let opened = opener().open(&frame);

        prop_assert_eq!(opened.map(|opened| opened.message), Ok(message));
    }

    #[test]
    fn arbitrary_bytes_are_ignored(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(opener().open(&bytes).is_err());
    }

    #[test]
    fn authentic_arbitrary_bodies_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let message = prost::Message::decode(bytes.as_slice());
        if let Ok(message) = message {
            let message: PeerMessage = message;
            let frame = sealer(9).seal(RECEIVER, 0, &message);
            prop_assert!(opener().open(&frame).is_ok());
        }
    }

    #[test]
    fn changed_frames_are_ignored(
        message in any_message(),
        position in any::<prop::sample::Index>(),
        change in 1_u8..,
    ) {
        let mut frame = sealer(9).seal(RECEIVER, 0, &message);
        let position = position.index(frame.len());
        frame[position] ^= change;

        prop_assert!(opener().open(&frame).is_err());
    }

    #[test]
    fn truncated_frames_are_ignored(
        message in any_message(),
        length in any::<prop::sample::Index>(),
    ) {
        let frame = sealer(9).seal(RECEIVER, 0, &message);
        let length = length.index(frame.len());

        prop_assert!(opener().open(&frame[..length]).is_err());
    }
}

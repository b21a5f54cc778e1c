//! Membership messages are unchanged after conversion to protobuf and back, and invalid updates are
//! left out.

use std::net::SocketAddr;

use catkin_base::{DomainId, RegionId, VmId};
use catkin_membership::{MemberMessage, MemberSpec, MemberState, MemberUpdate, ProbeBody};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{self as wire, PeerMessage};
use catkin_peer::{message_from_wire, message_to_wire};
use proptest::prelude::*;

fn any_state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ]
}

fn any_update() -> impl Strategy<Value = MemberUpdate> {
    let ids = any::<[u64; 4]>();
    let address = any::<(std::net::IpAddr, u16)>().prop_map(SocketAddr::from);
    (ids, address, any::<u32>(), any_state()).prop_map(|(ids, address, refutation, state)| {
        let [vm, incarnation, domain, region] = ids;
        let spec = MemberSpec {
            vm: VmId(vm),
            incarnation,
            address,
            domain: DomainId(domain),
            region: RegionId(region),
        };
        MemberUpdate { spec, refutation, state }
    })
}

fn any_body() -> impl Strategy<Value = ProbeBody> {
    (any::<[u64; 4]>(), prop::collection::vec(any_update(), 0..9)).prop_map(|(numbers, updates)| {
        let [probe, revision, in_force, view] = numbers;
        ProbeBody { probe, updates, revision, in_force, view }
    })
}

fn any_message() -> impl Strategy<Value = MemberMessage> {
    prop_oneof![
        any_body().prop_map(MemberMessage::Ping),
        any_body().prop_map(MemberMessage::Ack),
        (any::<u64>(), any_body())
            .prop_map(|(vm, body)| MemberMessage::PingRequest { target: VmId(vm), body }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn membership_messages_round_trip(message in any_message()) {
        let wire = message_to_wire(&message);

        prop_assert_eq!(message_from_wire(&wire), Some(message));
    }
}

#[test]
fn update_with_a_port_out_of_range_is_left_out() {
    let update = wire::MemberUpdate { vm: 1, port: 70_000, ..wire::MemberUpdate::default() };
    let ping = wire::Ping { probe: 4, updates: vec![update], ..wire::Ping::default() };
    let message = PeerMessage { kind: Some(Kind::Ping(ping)) };

    let converted = message_from_wire(&message).unwrap();

    assert!(converted.body().updates.is_empty());
}

#[test]
fn message_of_another_kind_is_not_a_membership_message() {
    let message = PeerMessage { kind: Some(Kind::ChunkAsk(wire::ChunkAsk::default())) };

    assert_eq!(message_from_wire(&message), None);
}

//! Conversion of membership messages to and from their protobuf form.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use catkin_base::{DomainId, RegionId, VmId};
use catkin_membership::{MemberMessage, MemberSpec, MemberState, MemberUpdate, ProbeBody};

use crate::messages::peer_message::Kind;
use crate::messages::{self as wire, PeerMessage};

/// Converts a membership message to its protobuf form.
pub fn message_to_wire(message: &MemberMessage) -> PeerMessage {
    let body = message.body();
    let updates = body.updates.iter().map(update_to_wire).collect();
    let ProbeBody { probe, revision, in_force, view, .. } = *body;
    let kind = match message {
        MemberMessage::Ping(_) => {
            Kind::Ping(wire::Ping { probe, updates, revision, in_force, view })
        }
        MemberMessage::Ack(_) => {
            Kind::PingAck(wire::PingAck { probe, updates, revision, in_force, view })
        }
        MemberMessage::PingRequest { target, .. } => {
            let target = target.0;
            Kind::PingRequest(wire::PingRequest {
                probe,
                target,
                updates,
                revision,
                in_force,
                view,
            })
        }
    };
    PeerMessage { kind: Some(kind) }
}

/// Converts a protobuf message to a membership message; `None` if it is of another kind. Updates
/// with an invalid address or state are left out.
pub fn message_from_wire(message: &PeerMessage) -> Option<MemberMessage> {
    match message.kind.as_ref()? {
        Kind::Ping(ping) => Some(MemberMessage::Ping(ProbeBody {
            probe: ping.probe,
            updates: updates_from_wire(&ping.updates),
            revision: ping.revision,
            in_force: ping.in_force,
            view: ping.view,
        })),
        Kind::PingAck(ack) => Some(MemberMessage::Ack(ProbeBody {
            probe: ack.probe,
            updates: updates_from_wire(&ack.updates),
            revision: ack.revision,
            in_force: ack.in_force,
            view: ack.view,
        })),
        Kind::PingRequest(request) => Some(MemberMessage::PingRequest {
            target: VmId(request.target),
            body: ProbeBody {
                probe: request.probe,
                updates: updates_from_wire(&request.updates),
                revision: request.revision,
                in_force: request.in_force,
                view: request.view,
            },
        }),
        _ => None,
    }
}

fn update_to_wire(update: &MemberUpdate) -> wire::MemberUpdate {
    let MemberSpec { vm, incarnation, address, domain, region } = update.spec;
    let (ipv4, ipv6) = match address.ip() {
        IpAddr::V4(ip) => (ip.to_bits(), Vec::new()),
        IpAddr::V6(ip) => (0, ip.octets().to_vec()),
    };
    wire::MemberUpdate {
        vm: vm.0,
        incarnation,
        state: state_to_wire(update.state).into(),
        ipv4,
        port: address.port().into(),
        domain: domain.0,
        region: region.0,
        refutation: update.refutation,
        ipv6,
    }
}

fn updates_from_wire(updates: &[wire::MemberUpdate]) -> Vec<MemberUpdate> {
    updates.iter().filter_map(update_from_wire).collect()
}

fn update_from_wire(update: &wire::MemberUpdate) -> Option<MemberUpdate> {
    let spec = MemberSpec {
        vm: VmId(update.vm),
        incarnation: update.incarnation,
        address: address_from_wire(update)?,
        domain: DomainId(update.domain),
        region: RegionId(update.region),
    };
    let state = wire::MemberState::try_from(update.state).ok()?;
    Some(MemberUpdate { spec, refutation: update.refutation, state: state_from_wire(state) })
}

fn address_from_wire(update: &wire::MemberUpdate) -> Option<SocketAddr> {
    let ip = match <[u8; 16]>::try_from(update.ipv6.as_slice()) {
        Ok(octets) => IpAddr::V6(Ipv6Addr::from(octets)),
        Err(_) if update.ipv6.is_empty() => IpAddr::V4(Ipv4Addr::from_bits(update.ipv4)),
        Err(_) => return None,
    };
    let port = u16::try_from(update.port).ok()?;
    Some(SocketAddr::new(ip, port))
}

fn state_to_wire(state: MemberState) -> wire::MemberState {
    match state {
        MemberState::Alive => wire::MemberState::Alive,
        MemberState::Suspect => wire::MemberState::Suspect,
        MemberState::Leaving => wire::MemberState::Leaving,
        MemberState::Dead => wire::MemberState::Dead,
    }
}

fn state_from_wire(state: wire::MemberState) -> MemberState {
    match state {
        wire::MemberState::Alive => MemberState::Alive,
        wire::MemberState::Suspect => MemberState::Suspect,
        wire::MemberState::Leaving => MemberState::Leaving,
        wire::MemberState::Dead => MemberState::Dead,
    }
}

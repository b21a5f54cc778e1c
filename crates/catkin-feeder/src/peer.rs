//! Simulated peer routers: real membership protocol and real frames, and minimal answers to all
//! other messages.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use catkin_base::{VmId, copy_type};
use catkin_membership::{MemberAction, MemberSpec, MemberTable, MembershipOptions, MessageOrigin};
use catkin_operator::RevisionHead;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    ChunkAsk, ChunkData, GrantAnswer, GrantAsk, GrantAuditAnswer, GrantResult, OwnerCount,
    PeerMessage,
};
use catkin_peer::{
    BindError, LinkSettings, MessageSource, PeerLink, UdpLink, message_from_wire, message_to_wire,
};
use catkin_router::RuntimeClock;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use crate::state::FeederState;

/// Value of `ChunkAsk.digest` with which routers request the newest revision head.
const HEAD_REQUEST: &str = "head";

copy_type! {
    /// How a simulated peer learns of a new revision.
    pub enum RevisionSource {
        /// From a watch on the platform.
        Watch,
        /// From the gossip of other routers.
        Peers,
    }
}

/// A simulated peer router.
pub struct SimulatedPeer {
    /// UDP link to the other routers.
    pub link: UdpLink,
    /// Identity and address in the membership.
    pub spec: MemberSpec,
    source: RevisionSource,
}

impl SimulatedPeer {
    /// Binds the UDP link of a peer; the address in `spec` is replaced by the bound one.
    ///
    /// # Errors
    ///
    /// Returns an error if the link cannot be bound.
    pub async fn bind(
        settings: &LinkSettings,
        spec: MemberSpec,
        source: RevisionSource,
    ) -> Result<Self, BindError> {
        let link = UdpLink::bind(settings).await?;
        let spec = MemberSpec { address: link.address(), ..spec };
        Ok(Self { link, spec, source })
    }

    /// Runs the membership protocol and answers the measured router until `stop`.
    pub async fn run(
        self: Arc<Self>,
        specs: Arc<Vec<MemberSpec>>,
        router: VmId,
        state: Arc<FeederState>,
        clock: RuntimeClock,
        stop: CancellationToken,
    ) {
        let seed = self.spec.vm.0;
        let mut table =
            MemberTable::new(self.spec, MembershipOptions::default(), seed, clock.now());
        table.add_seeds(clock.now(), &specs);
        let mut member = PeerMember { peer: &self, table, router, state, sees_router: false };
        while !stop.is_cancelled() {
            let now = clock.now();
            member.follow_revision();
            let actions = member.table.tick(now);
            member.send(&actions);
            member.update_visibility();
            let due = clock.instant_of(member.table.next_due());
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                received = self.link.receive() => {
                    let Some((source, message)) = received else { return };
                    member.handle_message(&clock, source, &message);
                }
                () = sleep_until(due) => {}
            }
        }
    }
}

/// Membership state of a running peer.
struct PeerMember<'a> {
    peer: &'a SimulatedPeer,
    table: MemberTable,
    router: VmId,
    state: Arc<FeederState>,
    sees_router: bool,
}

impl PeerMember<'_> {
    fn send(&self, actions: &[MemberAction]) {
        for action in actions {
            let MemberAction::Send { vm, address, message } = action;
            self.peer.link.send(*vm, *address, &message_to_wire(message));
        }
    }

    /// Announces the revision that the peer knows: the newest one for a watching peer, the highest
    /// one from gossip for all others.
    fn follow_revision(&mut self) {
        let revision = match self.peer.source {
            RevisionSource::Watch => self.state.revision(),
            RevisionSource::Peers => self.table.highest_revision(),
        };
        self.table.set_revision_in_force(revision);
    }

    fn update_visibility(&mut self) {
        let sees_router = self.table.live_members().any(|view| view.spec.vm == self.router);
        if sees_router == self.sees_router {
            return;
        }
        self.sees_router = sees_router;
        if sees_router {
            self.state.peers_seeing_router.fetch_add(1, Ordering::Relaxed);
        } else {
            self.state.peers_seeing_router.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn handle_message(
        &mut self,
        clock: &RuntimeClock,
        source: MessageSource,
        message: &PeerMessage,
    ) {
        if source.vm == self.router {
            self.state.count_message(message);
        }
        if let Some(member_message) = message_from_wire(message) {
            let MessageSource { vm, incarnation, address } = source;
            let origin = MessageOrigin { vm, incarnation, address };
            let actions = self.table.handle_message(clock.now(), origin, &member_message);
            return self.send(&actions);
        }
        let answer = message.kind.as_ref().and_then(|kind| self.build_answer(kind));
        if let Some(kind) = answer {
            let message = PeerMessage { kind: Some(kind) };
            self.peer.link.send(source.vm, source.address, &message);
        }
    }

    fn build_answer(&self, kind: &Kind) -> Option<Kind> {
        match kind {
            Kind::GrantAsk(ask) => Some(grant_ask(ask)),
            Kind::GrantAnswer(answer) => {
                log::debug!("feeder: grant request answered. answer={answer:?}");
                self.state.record_answer(answer.request, answer.result());
                None
            }
            Kind::GrantAudit(audit) => {
                let answer = GrantAuditAnswer { server: audit.server, closed: Vec::new() };
                Some(Kind::GrantAuditAnswer(answer))
            }
            Kind::OwnerQuery(query) => {
                let count =
                    OwnerCount { server: query.server, unknown: true, ..OwnerCount::default() };
                Some(Kind::OwnerCount(count))
            }
            Kind::ChunkAsk(ask) => Some(self.build_chunk_data(ask)),
            _ => None,
        }
    }

    fn build_chunk_data(&self, ask: &ChunkAsk) -> Kind {
        let reader = self.state.reader();
        let content = match ask.digest.as_str() {
            HEAD_REQUEST => reader.head().map(RevisionHead::encode),
            digest => reader.chunk(digest).map(<[u8]>::to_vec),
        };
        let content = content.unwrap_or_default();
        Kind::ChunkData(ChunkData { digest: ask.digest.clone(), content })
    }
}

/// Grants a request immediately.
fn grant_ask(ask: &GrantAsk) -> Kind {
    let mut answer =
        GrantAnswer { request: ask.request, server: ask.server, warm: true, ..Default::default() };
    answer.set_result(GrantResult::Granted);
    Kind::GrantAnswer(answer)
}

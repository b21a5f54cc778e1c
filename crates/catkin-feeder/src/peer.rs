//! A light peer: real membership and real frames, with the shortest answers to everything else.

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

use crate::traffic::FeederTraffic;

/// Name under which routers ask for the newest head.
const HEAD_NAME: &str = "head";

copy_type! {
    /// How a peer learns of a new revision.
    pub enum RevisionSource {
        /// It watches the platform.
        Watch,
        /// It hears of it from other routers.
        Peers,
    }
}

/// A light peer.
pub struct LightPeer {
    /// Its link.
    pub link: UdpLink,
    /// Who it is.
    pub spec: MemberSpec,
    source: RevisionSource,
}

impl LightPeer {
    /// Opens its link.
    pub async fn bind(
        settings: &LinkSettings,
        spec: MemberSpec,
        source: RevisionSource,
    ) -> Result<Self, BindError> {
        let link = UdpLink::bind(settings).await?;
        let spec = MemberSpec { address: link.address(), ..spec };
        Ok(Self { link, spec, source })
    }

    /// Takes part in the membership and answers the router until `stop`.
    pub async fn run(
        self: Arc<Self>,
        specs: Arc<Vec<MemberSpec>>,
        router: VmId,
        traffic: Arc<FeederTraffic>,
        clock: RuntimeClock,
        stop: CancellationToken,
    ) {
        let seed = self.spec.vm.0;
        let mut table =
            MemberTable::new(self.spec, MembershipOptions::default(), seed, clock.now());
        table.add_seeds(clock.now(), &specs);
        let mut member = PeerMember { peer: &self, table, router, traffic, sees: false };
        while !stop.is_cancelled() {
            let now = clock.now();
            member.follow_revision();
            let actions = member.table.tick(now);
            member.send(&actions);
            member.note_sight();
            let due = clock.instant_of(member.table.next_due());
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                received = self.link.receive() => {
                    let Some((source, message)) = received else { return };
                    member.take(&clock, source, &message);
                }
                () = sleep_until(due) => {}
            }
        }
    }
}

/// A light peer's part in the membership.
struct PeerMember<'a> {
    peer: &'a LightPeer,
    table: MemberTable,
    router: VmId,
    traffic: Arc<FeederTraffic>,
    sees: bool,
}

impl PeerMember<'_> {
    fn send(&self, actions: &[MemberAction]) {
        for action in actions {
            let MemberAction::Send { vm, address, message } = action;
            self.peer.link.send(*vm, *address, &message_to_wire(message));
        }
    }

    /// Puts in force what it knows of: a watcher the newest, others what they heard of.
    fn follow_revision(&mut self) {
        let revision = match self.peer.source {
            RevisionSource::Watch => self.traffic.revision(),
            RevisionSource::Peers => self.table.highest_revision(),
        };
        self.table.set_revision(revision);
    }

    fn note_sight(&mut self) {
        let sees = self.table.live_members().any(|view| view.spec.vm == self.router);
        if sees == self.sees {
            return;
        }
        self.sees = sees;
        if sees {
            self.traffic.sighted.fetch_add(1, Ordering::Relaxed);
        } else {
            self.traffic.sighted.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn take(&mut self, clock: &RuntimeClock, source: MessageSource, message: &PeerMessage) {
        if source.vm == self.router {
            self.traffic.count_message(message);
        }
        if let Some(member_message) = message_from_wire(message) {
            let MessageSource { vm, incarnation, address } = source;
            let origin = MessageOrigin { vm, incarnation, address };
            let actions = self.table.handle_message(clock.now(), origin, &member_message);
            return self.send(&actions);
        }
        let answer = message.kind.as_ref().and_then(|kind| self.answer(kind));
        if let Some(kind) = answer {
            let message = PeerMessage { kind: Some(kind) };
            self.peer.link.send(source.vm, source.address, &message);
        }
    }

    fn answer(&self, kind: &Kind) -> Option<Kind> {
        match kind {
            Kind::GrantAsk(ask) => Some(grant(ask)),
            Kind::GrantAnswer(answer) => {
                log::debug!("feeder: An ask was answered. answer={answer:?}");
                self.traffic.note_answer(answer.request, answer.result());
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
            Kind::ChunkAsk(ask) => Some(self.answer_chunk(ask)),
            _ => None,
        }
    }

    fn answer_chunk(&self, ask: &ChunkAsk) -> Kind {
        let reader = self.traffic.reader();
        let content = match ask.digest.as_str() {
            HEAD_NAME => reader.head().map(RevisionHead::encode),
            digest => reader.chunk(digest).map(<[u8]>::to_vec),
        };
        let content = content.unwrap_or_default();
        Kind::ChunkData(ChunkData { digest: ask.digest.clone(), content })
    }
}

/// Grants an ask at once.
fn grant(ask: &GrantAsk) -> Kind {
    let mut answer =
        GrantAnswer { request: ask.request, server: ask.server, warm: true, ..Default::default() };
    answer.set_result(GrantResult::Granted);
    Kind::GrantAnswer(answer)
}

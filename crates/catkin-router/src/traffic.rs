//! Counts the messages and bytes sent to other routers, by message kind.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use catkin_base::copy_type;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{GrantResult, PeerMessage};
use prost::Message;

copy_type! {
    /// Number and size of the messages of one kind that were sent.
    #[derive(Default)]
    pub struct MessageCount {
        /// Number of messages.
        pub messages: u64,
        /// Bytes of their encoded bodies, without the envelope of the peer protocol.
        pub bytes: u64,
    }
}

/// Messages sent to other routers, by kind. Grant answers are counted by result.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounts {
    counts: Mutex<BTreeMap<&'static str, MessageCount>>,
}

impl TrafficCounts {
    /// Counts a message that is sent; ignores one without a kind.
    pub(crate) fn record_sent(&self, message: &PeerMessage) {
        let Some(kind) = &message.kind else { return };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(label_kind(kind)).or_default();
        count.messages += 1;
        count.bytes += message.encoded_len() as u64;
    }

    /// Counts since the start, by kind.
    pub(crate) fn counts(&self) -> BTreeMap<&'static str, MessageCount> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn label_result(result: GrantResult) -> &'static str {
    match result {
        GrantResult::Granted => "grant-answer granted",
        GrantResult::Queued => "grant-answer queued",
        GrantResult::Redirect => "grant-answer redirect",
        GrantResult::Overflow => "grant-answer overflow",
        GrantResult::NotOwner => "grant-answer not-owner",
        GrantResult::Refused => "grant-answer refused",
    }
}

fn label_kind(kind: &Kind) -> &'static str {
    match kind {
        Kind::Ping(_) => "ping",
        Kind::PingAck(_) => "ping-ack",
        Kind::PingRequest(_) => "ping-request",
        Kind::GrantAsk(_) => "grant-ask",
        Kind::GrantAnswer(answer) => label_result(answer.result()),
        Kind::GrantRelease(_) => "grant-release",
        Kind::GrantAudit(_) => "grant-audit",
        Kind::GrantAuditAnswer(_) => "grant-audit-answer",
        Kind::LoadReport(_) => "load-report",
        Kind::PoolLoad(_) => "pool-load",
        Kind::OwnerQuery(_) => "owner-query",
        Kind::OwnerCount(_) => "owner-count",
        Kind::StrikeReport(_) => "strike-report",
        Kind::StrikeAnswer(_) => "strike-answer",
        Kind::ChunkAsk(_) => "chunk-ask",
        Kind::ChunkData(_) => "chunk-data",
        Kind::PlacementNote(_) => "placement-note",
        Kind::ServerOrder(_) => "server-order",
        Kind::ServerOrderAnswer(_) => "server-order-answer",
        Kind::ServerState(_) => "server-state",
        Kind::EntryReport(_) => "entry-report",
        Kind::DeclarationAsk(_) => "declaration-ask",
        Kind::DeclarationCopy(_) => "declaration-copy",
        Kind::ServerListAsk(_) => "server-list-ask",
        Kind::ServerListCopy(_) => "server-list-copy",
        Kind::StreamOrigins(_) => "stream-origins",
        Kind::StreamOriginAsk(_) => "stream-origin-ask",
        Kind::ForwardedCall(_) => "forwarded-call",
    }
}

//! Datagrams between routers, and estimates of their sizes in the peer protocol.

use catkin_base::{ChatId, RequestId, ServerId, VmId};
use catkin_policy::{
    GrantAnswer, GrantAsk, GrantAudit, GrantExport, GrantRelease, GrantResult, LoadReport, PoolLoad,
};

/// Bytes of the IP and UDP headers, the envelope and its authentication tag.
const FRAME_BYTES: u64 = 28 + 56;
/// Bytes of one fixed 64-bit field.
const WORD_BYTES: u64 = 9;
/// Bytes of one small number.
const NUMBER_BYTES: u64 = 3;
/// Bytes of one flag or small enumeration that is not zero. A zero is not encoded.
const FLAG_BYTES: u64 = 2;

/// A datagram between two routers.
#[derive(Debug, Clone)]
pub enum PeerMessage {
    Ask(GrantAsk),
    /// An answer, and the router to which the server was ceded if the sender no longer owns it.
    Answer(GrantAnswer, Option<VmId>),
    Release(GrantRelease),
    Placement {
        chat: ChatId,
        home: ServerId,
        server: ServerId,
    },
    Report(LoadReport),
    PoolLoad(PoolLoad),
    Query(ServerId),
    Export(GrantExport),
    NotOwned(ServerId),
    Audit(GrantAudit),
    AuditAnswer {
        server: ServerId,
        closed: Vec<RequestId>,
    },
}

impl PeerMessage {
    /// Size on the wire, with the headers, in bytes.
    pub fn wire_bytes(&self) -> u64 {
        let body = match self {
            Self::Ask(ask) => ask_bytes(ask),
            Self::Answer(answer, ceded) => answer_bytes(answer, ceded.is_some()),
            Self::Release(_) => 3 * WORD_BYTES + NUMBER_BYTES,
            Self::Placement { .. } => 3 * WORD_BYTES,
            Self::Report(report) => {
                WORD_BYTES + report.loads.len() as u64 * (WORD_BYTES + 2 * NUMBER_BYTES)
            }
            Self::PoolLoad(load) => {
                WORD_BYTES + 4 * NUMBER_BYTES + load.light_servers.len() as u64 * WORD_BYTES
            }
            Self::Query(_) | Self::NotOwned(_) => WORD_BYTES,
            Self::Export(export) => {
                let grants = export.grants.len() as u64 * (4 * WORD_BYTES + NUMBER_BYTES);
                let chats = export.chats.len() as u64 * (2 * WORD_BYTES + NUMBER_BYTES);
                WORD_BYTES + NUMBER_BYTES + grants + chats
            }
            Self::Audit(audit) => WORD_BYTES + audit.requests.len() as u64 * WORD_BYTES,
            Self::AuditAnswer { closed, .. } => WORD_BYTES + closed.len() as u64 * WORD_BYTES,
        };
        FRAME_BYTES + body
    }
}

fn ask_bytes(ask: &GrantAsk) -> u64 {
    let flags = [ask.rank > 0, ask.must_queue, ask.follow_directory];
    let flags = flags.into_iter().filter(|set| *set).count() as u64;
    7 * WORD_BYTES + 2 * NUMBER_BYTES + 1 + flags * FLAG_BYTES
}

fn answer_bytes(answer: &GrantAnswer, ceded: bool) -> u64 {
    let owner = if ceded { WORD_BYTES } else { 0 };
    let result = match answer.result {
        GrantResult::Granted { warm } => u64::from(warm) * FLAG_BYTES,
        GrantResult::Queued | GrantResult::NotOwner => FLAG_BYTES,
        GrantResult::Redirect { .. } => FLAG_BYTES + WORD_BYTES,
        GrantResult::Overflow { .. } => 2 * FLAG_BYTES + WORD_BYTES,
        GrantResult::Refused(_) => 2 * FLAG_BYTES + NUMBER_BYTES,
    };
    2 * WORD_BYTES + owner + result
}

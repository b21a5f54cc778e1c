//! Messages between an entry router and the owner of a server.

use catkin_base::{
    ChatId, ClassId, PoolId, RefusalReason, RequestDigest, RequestId, ServerId, TeamId, VmId,
    copy_type, value_type,
};

copy_type! {
    /// A grant request: requests admission of one inference request to one server. Names of
    /// functions and variables call it an ask for short.
    pub struct GrantAsk {
        /// The request.
        pub request: RequestId,
        /// The entry router that sent this, which receives the answers.
        pub entry: VmId,
        /// The server.
        pub server: ServerId,
        /// The chat of the request.
        pub chat: ChatId,
        /// The team of the request.
        pub team: TeamId,
        /// The class of the request.
        pub class: ClassId,
        /// The pool that the request needs.
        pub pool: PoolId,
        /// Digest of the content of the request.
        pub digest: RequestDigest,
        /// Number of tokens of the prompt.
        pub prompt_tokens: u32,
        /// Number of tokens expected in the answer; zero to use the owner's estimate.
        pub expected_tokens: u32,
        /// Time remaining until the deadline, in milliseconds.
        pub deadline_millis: u32,
        /// Position of the server in the chat's ranking, from zero; zero also for a server that the
        /// caller named.
        pub rank: u32,
        /// Whether the request should wait at this server because no further grant request will be
        /// sent.
        pub must_queue: bool,
        /// Whether to answer with a redirect or `NotWarm` if the chat may be warm on another
        /// server.
        pub follow_directory: bool,
    }

    /// Answer to a [`GrantAsk`].
    pub struct GrantAnswer {
        /// The request.
        pub request: RequestId,
        /// The entry router that sent the [`GrantAsk`].
        pub entry: VmId,
        /// The server for which admission was requested.
        pub server: ServerId,
        /// The decision.
        pub result: GrantResult,
    }

    /// Decision on a [`GrantAsk`].
    pub enum GrantResult {
        /// The request may be sent to the server now.
        Granted {
            /// Whether the chat's prefix is believed to be in the server's cache.
            warm: bool,
        },
        /// The request is queued at the owner; another answer follows.
        Queued,
        /// The chat is believed to be warm on another server.
        Redirect {
            /// The server where it is believed to be warm.
            server: ServerId,
        },
        /// The server does not accept the request; another one should be tried.
        Overflow {
            /// Why the server does not accept it.
            cause: OverflowCause,
            /// One of the least loaded servers of the pool.
            light: Option<ServerId>,
        },
        /// This router does not own the server.
        NotOwner,
        /// The request is refused.
        Refused(GrantRefusal),
    }

    /// Why a server does not accept a request.
    pub enum OverflowCause {
        /// The server has no free capacity.
        Full,
        /// The chat is not in the server's cache, and the entry router wanted a warm server only.
        NotWarm,
        /// The server is leaving and accepts no new requests.
        Leaving,
        /// The server failed, and is held down until it is healthy again.
        HeldDown,
        /// A new owner does not know the server's load yet.
        Handover,
        /// The server does not serve the pool.
        WrongPool,
    }

    /// A refusal, and when to retry.
    pub struct GrantRefusal {
        /// The reason.
        pub reason: RefusalReason,
        /// Time after which a retry may succeed, in milliseconds.
        pub retry_after_millis: u32,
    }

    /// Reports that a request no longer runs on a server, or no longer waits for it.
    pub struct GrantRelease {
        /// The request.
        pub request: RequestId,
        /// The server.
        pub server: ServerId,
        /// The chat.
        pub chat: ChatId,
        /// How the request ended.
        pub outcome: ReleaseOutcome,
        /// Number of tokens that were generated.
        pub generated_tokens: u32,
    }

    /// How a request ended on a server.
    pub enum ReleaseOutcome {
        /// The complete answer was received.
        Done,
        /// The request was cancelled.
        Cancelled,
        /// The server declined the request without running it.
        Refused,
        /// The server could not be reached.
        Unreachable,
        /// The server failed while the request ran.
        Crashed,
    }

    /// An open grant, as exported to another owner.
    pub struct OpenGrant {
        /// The request.
        pub request: RequestId,
        /// The router that holds the grant.
        pub entry: VmId,
        /// The team of the request.
        pub team: TeamId,
        /// The class of the request.
        pub class: ClassId,
    }

    /// A chat and the server whose cache is believed to hold its prefix.
    pub struct WarmChat {
        /// The chat.
        pub chat: ChatId,
        /// The server.
        pub server: ServerId,
    }
}

value_type! {
    /// State of a server that its former owner sends to the new one.
    pub struct GrantExport {
        /// The server.
        pub server: ServerId,
        /// Open grants of the server.
        pub grants: Vec<OpenGrant>,
        /// Number of open requests on the server that the former owner did not grant.
        pub foreign: u32,
        /// Chats that are warm on the server, and chats that rank it first but were placed on
        /// another server.
        pub chats: Vec<WarmChat>,
    }

    /// Requests whose grants an owner wants confirmed by the entry router that holds them.
    pub struct GrantAudit {
        /// The server.
        pub server: ServerId,
        /// The requests.
        pub requests: Vec<RequestId>,
    }
}

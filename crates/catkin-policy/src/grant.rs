//! Messages between an entry router and the owner of a server.

use catkin_base::{
    ChatId, ClassId, PoolId, RefusalReason, RequestDigest, RequestId, ServerId, TeamId, VmId,
    copy_type, value_type,
};

copy_type! {
    /// Asks for admission of one request to one server.
    pub struct GrantAsk {
        /// The request.
        pub request: RequestId,
        /// The router that asks, to which answers go.
        pub entry: VmId,
        /// The server.
        pub server: ServerId,
        /// Its chat.
        pub chat: ChatId,
        /// Its team.
        pub team: TeamId,
        /// Its class.
        pub class: ClassId,
        /// The pool that it needs.
        pub pool: PoolId,
        /// Digest of its content.
        pub digest: RequestDigest,
        /// Tokens of its prompt.
        pub prompt_tokens: u32,
        /// Tokens expected in its answer; zero for the estimate of the owner.
        pub expected_tokens: u32,
        /// Time left until its deadline, in milliseconds.
        pub deadline_millis: u32,
        /// Place of the server in the chat's ranking; zero also for a server that the caller named.
        pub rank: u32,
        /// Whether no other server will be asked, so that the request should wait.
        pub must_queue: bool,
        /// Whether to answer with a redirect or `NotWarm` if the chat is warm elsewhere.
        pub follow_directory: bool,
    }

    /// Answer to a [`GrantAsk`].
    pub struct GrantAnswer {
        /// The request.
        pub request: RequestId,
        /// The router that asked.
        pub entry: VmId,
        /// The server that was asked for.
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
        /// The request waits at the owner; another answer follows.
        Queued,
        /// The chat is believed to be warm on another server.
        Redirect {
            /// That server.
            server: ServerId,
        },
        /// Another server should be asked.
        Overflow {
            /// Why this one did not take it.
            cause: OverflowCause,
            /// A server of the pool that had little load.
            light: Option<ServerId>,
        },
        /// This router does not own the server.
        NotOwner,
        /// The request is refused.
        Refused(GrantRefusal),
    }

    /// Why a server did not take a request.
    pub enum OverflowCause {
        /// It carries as much as it may.
        Full,
        /// The chat is not in its cache, and the ask was for a warm server only.
        NotWarm,
        /// It is leaving.
        Leaving,
        /// It failed repeatedly and is held down.
        HeldDown,
        /// Its load is not known yet to a new owner.
        Handover,
        /// It does not serve the pool.
        WrongPool,
    }

    /// A refusal, and when to come back.
    pub struct GrantRefusal {
        /// Why.
        pub reason: RefusalReason,
        /// Time after which another try may succeed, in milliseconds.
        pub retry_after_millis: u32,
    }

    /// Reports that a request no longer occupies a server, or no longer waits for it.
    pub struct GrantRelease {
        /// The request.
        pub request: RequestId,
        /// The server.
        pub server: ServerId,
        /// The chat.
        pub chat: ChatId,
        /// How it ended.
        pub outcome: ReleaseOutcome,
        /// Tokens that were generated.
        pub generated_tokens: u32,
    }

    /// How a request ended on a server.
    pub enum ReleaseOutcome {
        /// It was answered whole.
        Done,
        /// It was cancelled.
        Cancelled,
        /// The server declined it without running it.
        Refused,
        /// The server could not be reached.
        Unreachable,
        /// The server failed while it ran.
        Crashed,
    }

    /// A grant that is open, as told to another owner.
    pub struct OpenGrant {
        /// The request.
        pub request: RequestId,
        /// The router that holds the grant.
        pub entry: VmId,
        /// Its team.
        pub team: TeamId,
        /// Its class.
        pub class: ClassId,
    }

    /// Where a chat's prefix is believed to be.
    pub struct WarmChat {
        /// The chat.
        pub chat: ChatId,
        /// The server.
        pub server: ServerId,
    }
}

value_type! {
    /// What a former owner of a server tells the new one.
    pub struct GrantExport {
        /// The server.
        pub server: ServerId,
        /// Its open grants.
        pub grants: Vec<OpenGrant>,
        /// Requests open on the server that the former owner did not grant.
        pub foreign: u32,
        /// Directory entries of chats whose first-ranked server it is, and chats warm on it.
        pub chats: Vec<WarmChat>,
    }

    /// Requests whose grants an owner wants confirmed by the router that holds them.
    pub struct GrantAudit {
        /// The server.
        pub server: ServerId,
        /// The requests.
        pub requests: Vec<RequestId>,
    }
}

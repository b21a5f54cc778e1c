//! What a router needs of its link to backend servers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{AttemptId, ChatId, RunVerdict, copy_type, value_type};

value_type! {
    /// One attempt to run a request on one server.
    pub struct AttemptSpec {
        /// The server's address.
        pub address: SocketAddr,
        /// Path of the call, `/v1/chat/completions` for engines.
        pub path: String,
        /// The attempt's own identifier, which the server must echo.
        pub attempt: AttemptId,
        /// The chat, whose prefix the engine may hold in its cache.
        pub chat: Option<ChatId>,
        /// Idempotency key, for calls to plain services.
        pub idempotency_key: Option<String>,
        /// Priority for engines; lower runs first.
        pub priority: u32,
        /// Resume after this many events already delivered, where the engine offers it.
        pub resume_point: Option<ResumePoint>,
        /// The request body, JSON.
        pub body: Bytes,
        /// Longest wait for the connection.
        pub connect_timeout: Duration,
        /// Longest wait for the response head, the connection included.
        pub head_timeout: Duration,
        /// Longest pause between two parts of the answer.
        pub idle_timeout: Duration,
    }
}

value_type! {
    /// Where to take up an interrupted stream.
    #[derive(Copy)]
    pub struct ResumePoint {
        /// The interrupted attempt.
        pub attempt: AttemptId,
        /// Events already delivered.
        pub events: u64,
    }
}

value_type! {
    /// Head of a server's answer.
    pub struct AnswerHead {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Whether the body is a stream of server-sent events.
        pub streamed: bool,
        /// Tokens of the prompt that the engine found in its cache, if it says so.
        pub cached_tokens: Option<u32>,
    }
}

copy_type! {
    /// What went wrong with an attempt.
    pub enum BackendErrorKind {
        /// The connection was refused or never completed.
        Unreachable,
        /// The server said that it did not run the request.
        Declined,
        /// The connection broke, or the answer ended before it was whole.
        Broken,
        /// No part of the answer came within the limit.
        TimedOut,
        /// The answer carried another attempt's identifier.
        Stranger,
        /// The server answered with a failure after running it.
        Failed,
    }
}

value_type! {
    /// A failed attempt, and whether the request may have run.
    #[derive(Copy, thiserror::Error)]
    #[error("attempt failed: {kind:?}")]
    pub struct BackendError {
        /// What went wrong.
        pub kind: BackendErrorKind,
        /// Whether the request may have run.
        pub ran: RunVerdict,
    }
}

value_type! {
    /// A server's report of itself.
    pub struct ServerProbe {
        /// Identifies the server's process; changes when it restarts and its cache is gone.
        pub incarnation: u64,
        /// Requests running or waiting on it.
        pub open: u32,
        /// Whether it is leaving and wants no new work.
        pub leaving: bool,
        /// Models loaded.
        pub models: Vec<String>,
        /// Highest sequence number of cache events so far.
        pub event_sequence: u64,
        /// Cache events since the last probe.
        pub events: Vec<CacheEvent>,
        /// Highest fencing number of an order that it took.
        pub fence: u64,
    }
}

value_type! {
    /// A late report that a prefix entered or left a server's cache.
    pub struct CacheEvent {
        /// Position among this incarnation's events.
        pub sequence: u64,
        /// The chat whose prefix it was.
        pub chat: ChatId,
        /// Whether the prefix is now in the cache.
        pub cached: bool,
    }
}

/// Answer of a server as it arrives. Dropping it cancels the server's work.
pub trait BackendStream: Send + 'static {
    /// Head of the answer.
    fn head(&self) -> &AnswerHead;

    /// The next part; `None` after the last part of a whole answer.
    fn next_part(&mut self) -> impl Future<Output = Result<Option<Bytes>, BackendError>> + Send;
}

/// Sends attempts and probes to backend servers.
pub trait BackendLink: Send + Sync + 'static {
    /// Stream of one answer.
    type Stream: BackendStream;

    /// Sends an attempt and waits for the head of the answer.
    fn send(
        &self,
        spec: &AttemptSpec,
    ) -> impl Future<Output = Result<Self::Stream, BackendError>> + Send;

    /// Asks a server for its state. `after_event` is the last cache event already known.
    fn probe(
        &self,
        address: SocketAddr,
        after_event: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<ServerProbe, BackendError>> + Send;

    /// Asks a plain service whether it recorded the key; the recorded answer if so.
    fn look_up(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<Bytes>, BackendError>> + Send;

    /// Gives an order: desired state under a fencing number. Returns the newest number it holds.
    fn order(
        &self,
        address: SocketAddr,
        fence: u64,
        generation: u64,
        desired: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<u64, BackendError>> + Send;
}

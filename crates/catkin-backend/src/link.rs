//! Interface through which routers use backend servers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{AttemptId, ChatId, RunVerdict, copy_type, value_type};

value_type! {
    /// An attempt to run a request on a backend server.
    pub struct AttemptSpec {
        /// Address of the server.
        pub address: SocketAddr,
        /// Path of the request, `/v1/chat/completions` for engines.
        pub path: String,
        /// Identifier of the attempt, which the server must return with the answer.
        pub attempt: AttemptId,
        /// Chat of the request, whose prefix the engine may have cached.
        pub chat: Option<ChatId>,
        /// Idempotency key of a call to a plain service.
        pub idempotency_key: Option<String>,
        /// Priority for engines; lower values run first.
        pub priority: u32,
        /// Point at which an engine that supports it resumes an interrupted stream.
        pub resume_point: Option<ResumePoint>,
        /// Body of the request, JSON.
        pub body: Bytes,
        /// Maximum time to connect.
        pub connect_timeout: Duration,
        /// Maximum time until the head of the answer, including the time to connect.
        pub head_timeout: Duration,
        /// Maximum time between two parts of the answer.
        pub idle_timeout: Duration,
    }
}

value_type! {
    /// Point at which an interrupted stream is resumed.
    #[derive(Copy)]
    pub struct ResumePoint {
        /// The interrupted attempt.
        pub attempt: AttemptId,
        /// Number of events already delivered.
        pub events: u64,
    }
}

value_type! {
    /// Head of a backend server's answer.
    pub struct AnswerHead {
        /// HTTP status.
        pub status: u16,
        /// Content type; empty if the header is missing, repeated or not ASCII.
        pub content_type: String,
        /// Whether the body is a stream of server-sent events.
        pub streamed: bool,
        /// Number of prompt tokens that the engine found in its cache, if it reports them.
        pub cached_tokens: Option<u32>,
    }
}

copy_type! {
    /// Reason why an attempt failed.
    pub enum BackendErrorKind {
        /// The connection was refused or not established in time.
        Unreachable,
        /// The server declared that it did not run the request.
        Declined,
        /// The connection failed, or the answer ended before it was complete.
        Broken,
        /// The head or the next part of the answer did not arrive in time.
        TimedOut,
        /// The answer did not carry the identifier of this attempt.
        Stranger,
        /// The server answered with an error, and may have run the request.
        Failed,
    }
}

value_type! {
    /// An error of an attempt, probe, look-up or order.
    #[derive(Copy, thiserror::Error)]
    #[error("attempt failed: {kind:?}")]
    pub struct BackendError {
        /// Reason of the failure.
        pub kind: BackendErrorKind,
        /// Whether the request may have run.
        pub ran: RunVerdict,
    }
}

value_type! {
    /// Answer of a backend server to a probe.
    pub struct ServerProbe {
        /// Identifies the server's process. Changes when the server restarts and loses its cache.
        pub incarnation: u64,
        /// Number of requests that run or wait on the server.
        pub open: u32,
        /// Whether the server is leaving and takes no new work.
        pub leaving: bool,
        /// Loaded models.
        pub models: Vec<String>,
        /// Highest sequence number of the server's cache events.
        pub event_sequence: u64,
        /// Cache events after the last event that the router knew.
        pub events: Vec<CacheEvent>,
        /// Highest fencing token of an order that the server accepted.
        pub fence: u64,
    }
}

value_type! {
    /// A report that a prefix entered or left a server's cache. Events are reported after the
    /// change, so a router's view of the cache lags.
    pub struct CacheEvent {
        /// Sequence number among the events of the server's incarnation.
        pub sequence: u64,
        /// Chat whose prefix entered or left the cache.
        pub chat: ChatId,
        /// Whether the prefix is now in the cache.
        pub cached: bool,
    }
}

/// An answer whose parts are read as they arrive. Dropping it cancels the server's work.
pub trait BackendStream: Send + 'static {
    /// Returns the head of the answer.
    fn head(&self) -> &AnswerHead;

    /// Returns the next part of the answer, or `None` after the end of a complete answer.
    ///
    /// Fails if the answer is incomplete or its next part does not arrive in time.
    fn next_part(&mut self) -> impl Future<Output = Result<Option<Bytes>, BackendError>> + Send;
}

/// Sends attempts, probes, look-ups and orders to backend servers.
pub trait BackendLink: Send + Sync + 'static {
    /// Type of the answers to attempts.
    type Stream: BackendStream;

    /// Sends an attempt and waits for the head of the answer.
    fn send(
        &self,
        spec: &AttemptSpec,
    ) -> impl Future<Output = Result<Self::Stream, BackendError>> + Send;

    /// Requests the state of a server. `after_event` is the sequence number of the last cache event
    /// that the router knows.
    fn probe(
        &self,
        address: SocketAddr,
        after_event: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<ServerProbe, BackendError>> + Send;

    /// Looks up an idempotency key at a plain service. Returns the answer that the service recorded
    /// for the key, or `None` if it recorded none.
    fn look_up(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<Bytes>, BackendError>> + Send;

    /// Sends an order, which is a desired state with a fencing token. Returns the highest fencing
    /// number that the server has seen.
    fn order(
        &self,
        address: SocketAddr,
        fence: u64,
        generation: u64,
        desired: &str,
        timeout: Duration,
    ) -> impl Future<Output = Result<u64, BackendError>> + Send;
}

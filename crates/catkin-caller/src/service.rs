//! Interface of the service that answers the calls of a listener.

use std::future::Future;

use bytes::Bytes;
use catkin_base::{CallRefusal, RequestId, RunVerdict, value_type};

value_type! {
    /// Target of a call.
    pub enum CallTarget {
        /// Chat completion by a model.
        Chat {
            /// Name of the model, from the body.
            model: String,
            /// Whether the caller requests the answer as server-sent events.
            streamed: bool,
        },
        /// Call to a service that is not a model.
        Service {
            /// Name of the service, from the path.
            service: String,
            /// Rest of the path, with its leading slash.
            path: String,
        },
    }
}

value_type! {
    /// Call whose headers, path and body were validated.
    pub struct CallRequest {
        /// Identifier assigned by the listener.
        pub request: RequestId,
        /// Target of the call.
        pub target: CallTarget,
        /// Bearer token as received.
        pub token: String,
        /// Request class, from its header. If absent, the declared default class applies.
        pub class: Option<String>,
        /// Name of the chat, from its header.
        pub chat: Option<String>,
        /// Time that the caller waits for an answer, from its header, in milliseconds.
        pub deadline_millis: Option<u64>,
        /// Idempotency key, from its header.
        pub idempotency_key: Option<String>,
        /// Hint from an earlier answer about where the caller was last served. It may be outdated.
        pub hint: Option<String>,
        /// Body; valid JSON.
        pub body: Bytes,
    }
}

value_type! {
    /// Status and headers of an answer.
    pub struct AnswerStart {
        /// HTTP status code.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Hint that the caller should send with its next call of this chat.
        pub hint: Option<String>,
        /// Whether this is the recorded answer of an earlier call with the same idempotency key.
        pub replayed: bool,
    }
}

value_type! {
    /// Part of an answer.
    pub enum AnswerPart {
        /// Bytes of the body.
        Data(Bytes),
        /// The answer is complete.
        End,
    }
}

value_type! {
    /// Error that ended an answer before it was complete.
    pub struct AnswerError {
        /// Refusal that is sent in place of the rest of the answer.
        pub refusal: CallRefusal,
    }
}

impl AnswerError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        self.refusal.ran
    }
}

/// Answer that is received part by part. Dropping it cancels the call.
pub trait CallAnswer: Send + 'static {
    /// Status and headers of the answer.
    fn start(&self) -> &AnswerStart;

    /// Receives the next part.
    fn next_part(&mut self) -> impl Future<Output = Result<AnswerPart, AnswerError>> + Send;
}

/// Service that answers calls.
pub trait CallService: Send + Sync + 'static {
    /// Type of an answer.
    type Answer: CallAnswer;

    /// Answers or refuses a call. Dropping the future cancels the call.
    fn call(
        &self,
        request: CallRequest,
    ) -> impl Future<Output = Result<Self::Answer, CallRefusal>> + Send;
}

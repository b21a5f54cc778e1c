//! What the listener hands each call to.

use std::future::Future;

use bytes::Bytes;
use catkin_base::{CallRefusal, RequestId, RunVerdict, value_type};

value_type! {
    /// What a call is for.
    pub enum CallTarget {
        /// A chat completion by a model; the model is named in the body.
        Chat {
            /// The model.
            model: String,
            /// Whether the caller wants server-sent events.
            streamed: bool,
        },
        /// A call to a plain service.
        Service {
            /// The service, from the path.
            service: String,
            /// The rest of the path, with its leading slash.
            path: String,
        },
    }
}

value_type! {
    /// A call whose form has been checked.
    pub struct CallRequest {
        /// Identifier given to it by the listener.
        pub request: RequestId,
        /// What it is for.
        pub target: CallTarget,
        /// Bearer token as the caller sent it.
        pub token: String,
        /// Request class, from its header; the declared default class if absent.
        pub class: Option<String>,
        /// Chat name, from its header.
        pub chat: Option<String>,
        /// Milliseconds that the caller will wait, from its header.
        pub deadline_millis: Option<u64>,
        /// Idempotency key, from its header.
        pub idempotency_key: Option<String>,
        /// Where the caller was last served, as this system told it; only a hint.
        pub hint: Option<String>,
        /// The body, JSON, checked to parse.
        pub body: Bytes,
    }
}

value_type! {
    /// Head of an answer.
    pub struct AnswerStart {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Hint for the caller to send with its next call of this chat.
        pub hint: Option<String>,
        /// Whether the answer is a recorded one of an earlier call with the same key.
        pub replayed: bool,
    }
}

value_type! {
    /// One part of an answer.
    pub enum AnswerPart {
        /// Bytes to pass on.
        Data(Bytes),
        /// The answer is whole.
        End,
    }
}

value_type! {
    /// An answer that stopped before its end.
    pub struct AnswerError {
        /// The refusal that takes the place of the rest.
        pub refusal: CallRefusal,
    }
}

impl AnswerError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        self.refusal.ran
    }
}

/// An answer as it arrives. Dropping it cancels the call.
pub trait CallAnswer: Send + 'static {
    /// Head of the answer.
    fn start(&self) -> &AnswerStart;

    /// The next part.
    fn next_part(&mut self) -> impl Future<Output = Result<AnswerPart, AnswerError>> + Send;
}

/// Answers calls. Dropping the future cancels the call.
pub trait CallService: Send + Sync + 'static {
    /// Answer to one call.
    type Answer: CallAnswer;

    /// Answers a call or refuses it.
    fn call(
        &self,
        request: CallRequest,
    ) -> impl Future<Output = Result<Self::Answer, CallRefusal>> + Send;
}

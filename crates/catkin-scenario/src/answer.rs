//! Format of requests to the fake servers and of their answers.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::AnswerHead;
use serde::{Deserialize, Serialize};

/// Time in which an engine generates one token.
pub(crate) const TOKEN_TIME: Duration = Duration::from_millis(25);
const TOKENS_PER_EVENT: u32 = 4;

/// Body of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScenarioBody {
    /// Requested model.
    pub model: String,
    /// Identifies the request; its answer repeats the nonce.
    pub nonce: u64,
    /// Length of the answer, in tokens.
    pub tokens: u32,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Whether the request crashes every engine that runs it.
    pub poison: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// One event of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEvent {
    /// Nonce of the answered request.
    pub nonce: u64,
    /// Number of tokens generated so far.
    pub tokens: u32,
}

/// Head of an answer and the parts of its body that are still to be sent.
#[derive(Debug)]
pub(crate) struct FakeAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) remaining_parts: VecDeque<Bytes>,
    pub(crate) part_delay: Duration,
}

impl FakeAnswer {
    pub(crate) fn complete(body: &ScenarioBody) -> Self {
        let event = AnswerEvent { nonce: body.nonce, tokens: body.tokens };
        let remaining_parts = VecDeque::from([Bytes::from(encode_event(&event))]);
        Self {
            head: build_head("application/json", false),
            remaining_parts,
            part_delay: Duration::ZERO,
        }
    }

    pub(crate) fn streamed(body: &ScenarioBody) -> Self {
        let steps = body.tokens.div_ceil(TOKENS_PER_EVENT);
        let events = (1..=steps).map(|step| {
            let tokens = (step * TOKENS_PER_EVENT).min(body.tokens);
            let event = AnswerEvent { nonce: body.nonce, tokens };
            Bytes::from(format!("data: {}\n\n", encode_event(&event)))
        });
        let remaining_parts = events.chain([Bytes::from_static(b"data: [DONE]\n\n")]).collect();
        let part_delay = TOKEN_TIME * TOKENS_PER_EVENT;
        Self { head: build_head("text/event-stream", true), remaining_parts, part_delay }
    }
}

fn build_head(content_type: &str, streamed: bool) -> AnswerHead {
    AnswerHead { status: 200, content_type: content_type.to_owned(), streamed, cached_tokens: None }
}

fn encode_event(event: &AnswerEvent) -> String {
    format!(r#"{{"nonce":{},"tokens":{}}}"#, event.nonce, event.tokens)
}

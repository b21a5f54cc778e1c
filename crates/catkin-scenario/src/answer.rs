//! Requests and answers of the fake servers.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::AnswerHead;
use serde::{Deserialize, Serialize};

/// Time that an engine takes for one token.
pub(crate) const TOKEN_TIME: Duration = Duration::from_millis(25);
const TOKENS_PER_EVENT: u32 = 4;

/// A request's body, as scenarios write it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScenarioBody {
    /// Model, for engines.
    pub model: String,
    /// Identifies the request; the answer carries it.
    pub nonce: u64,
    /// Length of the answer, in tokens.
    pub tokens: u32,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Whether it crashes each engine that runs it.
    pub poison: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// One event of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEvent {
    /// The nonce of the request that it answers.
    pub nonce: u64,
    /// Tokens of the answer up to here.
    pub tokens: u32,
}

/// An answer and the parts of it that are still to come.
#[derive(Debug)]
pub(crate) struct FakeAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) rest: VecDeque<Bytes>,
    pub(crate) pause: Duration,
}

impl FakeAnswer {
    pub(crate) fn whole(body: &ScenarioBody) -> Self {
        let event = AnswerEvent { nonce: body.nonce, tokens: body.tokens };
        let rest = VecDeque::from([Bytes::from(encode_event(&event))]);
        Self { head: head("application/json", false), rest, pause: Duration::ZERO }
    }

    pub(crate) fn streamed(body: &ScenarioBody) -> Self {
        let steps = body.tokens.div_ceil(TOKENS_PER_EVENT);
        let events = (1..=steps).map(|step| {
            let tokens = (step * TOKENS_PER_EVENT).min(body.tokens);
            let event = AnswerEvent { nonce: body.nonce, tokens };
            Bytes::from(format!("data: {}\n\n", encode_event(&event)))
        });
        let rest = events.chain([Bytes::from_static(b"data: [DONE]\n\n")]).collect();
        let pause = TOKEN_TIME * TOKENS_PER_EVENT;
        Self { head: head("text/event-stream", true), rest, pause }
    }
}

fn head(content_type: &str, streamed: bool) -> AnswerHead {
    AnswerHead { status: 200, content_type: content_type.to_owned(), streamed, cached_tokens: None }
}

fn encode_event(event: &AnswerEvent) -> String {
    format!(r#"{{"nonce":{},"tokens":{}}}"#, event.nonce, event.tokens)
}

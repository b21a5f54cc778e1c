//! Validates the body of a call.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::CallTarget;
use crate::check_error::CallCheckError;
use crate::check_route::CallRoute;

/// Fields of a chat completion call that a router reads. Fields with an underscore are only
/// validated.
#[derive(Deserialize)]
struct ChatEnvelope {
    model: String,
    #[serde(rename = "messages")]
    _messages: Vec<IgnoredAny>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default, rename = "max_tokens")]
    _max_tokens: Option<u64>,
}

/// Validates the body and returns the target of the call.
pub(crate) fn check_body(route: CallRoute, body: &[u8]) -> Result<CallTarget, CallCheckError> {
    let text = std::str::from_utf8(body).map_err(|_| CallCheckError::BodyNotUtf8)?;
    match route {
        CallRoute::Service { service, path } => {
            parse_json::<IgnoredAny>(text)?;
            Ok(CallTarget::Service { service, path })
        }
        CallRoute::Chat | CallRoute::Health => {
            let envelope: ChatEnvelope = parse_json(text)?;
            let streamed = envelope.stream.unwrap_or(false);
            Ok(CallTarget::Chat { model: envelope.model, streamed })
        }
    }
}

fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, CallCheckError> {
    serde_json::from_str(text)
        .map_err(|error| CallCheckError::InvalidBody { problem: error.to_string() })
}

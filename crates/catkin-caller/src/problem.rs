//! Refusals as problem JSON (RFC 9457).

use catkin_base::{CallRefusal, RefusalReason, RequestId, RunVerdict, document_type};

/// Media type of a problem.
pub const PROBLEM_TYPE: &str = "application/problem+json";

document_type! {
    /// A refusal as a caller reads it.
    pub struct ProblemDocument {
        /// `urn:catkinpitch:refusal:` and the reason.
        #[serde(rename = "type")]
        pub kind: String,
        /// The reason as a phrase.
        pub title: String,
        /// HTTP status; 200 is never used.
        pub status: u16,
        /// One sentence for a person.
        pub detail: String,
        /// Whether the request may have run.
        pub ran: RunVerdict,
        /// The reason as a word.
        pub reason: String,
        /// Identifier of the request, 16 hexadecimal digits.
        pub request: String,
        /// Seconds after which to come back, if that can help.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after: Option<u32>,
    }
}

impl ProblemDocument {
    /// The document for a refusal of `request` that is sent with `status`.
    pub fn from_refusal(refusal: &CallRefusal, status: u16, request: RequestId) -> Self {
        let reason = refusal.reason.as_word();
        Self {
            kind: format!("urn:catkinpitch:refusal:{reason}"),
            title: title_of(refusal.reason).to_owned(),
            status,
            detail: refusal.detail.clone(),
            ran: refusal.ran,
            reason: reason.to_owned(),
            request: request.to_string(),
            retry_after: refusal.retry_after_seconds,
        }
    }

    /// The document in JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The document as the last event of a stream that was cut.
    pub fn to_event(&self) -> Vec<u8> {
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(self.to_json());
        event.extend(b"\n\n");
        event
    }
}

fn title_of(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "Malformed request",
        RefusalReason::Unauthorized => "Token missing or unknown",
        RefusalReason::Forbidden => "Not allowed for this team",
        RefusalReason::NotFound => "Not declared",
        RefusalReason::TooLarge => "Request too large",
        RefusalReason::KeyReused => "Idempotency key used with another body",
        RefusalReason::KeyInProgress => "Idempotency key in progress",
        RefusalReason::TeamLimit => "Team limit reached",
        RefusalReason::Overloaded => "No capacity",
        RefusalReason::DeadlineUnmet => "Deadline not met",
        RefusalReason::Quarantined => "Request crashed servers",
        RefusalReason::PlatformDown => "Platform unavailable",
        RefusalReason::NoDeclarations => "No declarations in force",
        RefusalReason::ShuttingDown => "Router shutting down",
        RefusalReason::ServerFailed => "Server failed",
        RefusalReason::OutcomeUnknown => "Outcome unknown",
        RefusalReason::Cancelled => "Cancelled",
    }
}

//! Refusals as problem documents in JSON (RFC 9457).

use catkin_base::{CallRefusal, RefusalReason, RequestId, RunVerdict, document_type};

/// Media type of a problem document.
pub const PROBLEM_TYPE: &str = "application/problem+json";

document_type! {
    /// Refusal as it is sent to a caller.
    pub struct ProblemDocument {
        /// `urn:catkinpitch:refusal:` followed by the reason.
        #[serde(rename = "type")]
        pub kind: String,
        /// Short description of the reason.
        pub title: String,
        /// HTTP status code of the response; never 200.
        pub status: u16,
        /// Explanation for a person, in one sentence.
        pub detail: String,
        /// Whether the request may have run.
        pub ran: RunVerdict,
        /// Reason, as a word that programs can match.
        pub reason: String,
        /// Identifier of the request, 16 hexadecimal digits.
        pub request: String,
        /// Time after which a retry may succeed, in seconds; absent if a retry does not help.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after: Option<u32>,
    }
}

impl ProblemDocument {
    /// Creates the document for a refusal of `request` that is sent with `status`.
    pub fn from_refusal(refusal: &CallRefusal, status: u16, request: RequestId) -> Self {
        let reason = refusal.reason.as_word();
        Self {
            kind: format!("urn:catkinpitch:refusal:{reason}"),
            title: select_title(refusal.reason).to_owned(),
            status,
            detail: refusal.detail.clone(),
            ran: refusal.ran,
            reason: reason.to_owned(),
            request: request.to_string(),
            retry_after: refusal.retry_after_seconds,
        }
    }

    /// Encodes the document as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Encodes the document as the last event of a truncated event stream.
    pub fn to_event(&self) -> Vec<u8> {
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(self.to_json());
        event.extend(b"\n\n");
        event
    }
}

fn select_title(reason: RefusalReason) -> &'static str {
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

//! Claims as the platform holds them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use catkin_base::{TeamId, VmId, copy_type, digest_hex, document_type, hash_parts, value_type};

/// Largest answer body that is recorded, in bytes. Encoded it stays below the platform's limit.
pub const MAX_RECORDED_BYTES: usize = 512 * 1024;

value_type! {
    /// What a claim is for.
    pub struct ClaimKey {
        /// The team, whose keys are apart from those of other teams.
        pub team: TeamId,
        /// The plain service.
        pub service: String,
        /// The idempotency key, as the caller gave it.
        pub key: String,
    }
}

impl ClaimKey {
    /// Key of the object that holds the claim.
    pub fn object_key(&self) -> String {
        let parts = serde_json::json!([self.team.0, self.service, self.key]);
        let digest = digest_hex(parts.to_string().as_bytes());
        format!("{CLAIM_PREFIX}{}/{digest}", &digest[..2])
    }
}

/// Prefix of the keys of all claims.
pub(crate) const CLAIM_PREFIX: &str = "claims/";

/// Names one process among all routers: VMs may start in the same instant and so have the same
/// incarnation number.
pub fn process_nonce(vm: VmId, incarnation: u64) -> u64 {
    hash_parts(&[&vm.0.to_le_bytes(), &incarnation.to_le_bytes()])
}

copy_type! {
    /// Tells one claim from every other: the router's process and a number of its own.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ClaimNonce {
        /// The router's process, see [`process_nonce`].
        pub process: u64,
        /// Counts the router's claims.
        pub sequence: u64,
    }
}

impl ClaimNonce {
    /// The least nonce.
    pub(crate) const FIRST: Self = Self { process: 0, sequence: 0 };
}

copy_type! {
    /// How far a claimed request has come.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum ClaimState {
        /// Nothing was sent, and nothing will be before the claim says `Sent`.
        Claimed,
        /// It may have been sent.
        Sent,
        /// It was sent and its outcome will not be known.
        Unknown,
        /// It ran, and its answer is recorded.
        Answered,
    }
}

document_type! {
    /// A claim.
    pub(crate) struct ClaimDocument {
        pub(crate) body_digest: String,
        pub(crate) nonce: ClaimNonce,
        pub(crate) state: ClaimState,
        pub(crate) claimed_at_unix: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(crate) answer: Option<AnswerDocument>,
    }
}

document_type! {
    /// A recorded answer.
    pub(crate) struct AnswerDocument {
        status: u16,
        content_type: String,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body: Option<String>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body_bytes: Option<usize>,
    }
}

value_type! {
    /// Body of a recorded answer.
    pub enum RecordedBody {
        /// All of it.
        Complete(Vec<u8>),
        /// It was too large to be recorded; only its length in bytes is known.
        TooLarge(usize),
    }
}

value_type! {
    /// The recorded answer to a request that ran.
    pub struct RecordedAnswer {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// The body.
        pub body: RecordedBody,
    }
}

impl RecordedAnswer {
    /// An answer as it came from the service. A body above [`MAX_RECORDED_BYTES`] is left out.
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let body = if body.len() > MAX_RECORDED_BYTES {
            RecordedBody::TooLarge(body.len())
        } else {
            RecordedBody::Complete(body.to_vec())
        };
        Self { status, content_type: content_type.to_owned(), body }
    }
}

impl ClaimDocument {
    /// Decodes a claim; `None` if the object is not one.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has only string keys")
    }

    /// The same claim in another state.
    pub(crate) fn with_state(&self, state: ClaimState) -> Self {
        Self { state, ..self.clone() }
    }

    /// The same claim with its answer.
    pub(crate) fn answered(&self, answer: &RecordedAnswer) -> Self {
        let answer = Some(AnswerDocument::from(answer));
        Self { state: ClaimState::Answered, answer, ..self.clone() }
    }

    /// Bytes that the recorded answer takes.
    pub(crate) fn answer_bytes(&self) -> usize {
        let body = self.answer.as_ref().and_then(|answer| answer.body.as_ref());
        body.map_or(0, String::len)
    }

    /// The same claim without the body of its answer.
    pub(crate) fn without_body(mut self) -> Self {
        let Some(recorded) = self.recorded() else { return self };
        let RecordedBody::Complete(body) = &recorded.body else { return self };
        let body = RecordedBody::TooLarge(body.len());
        self.answer = Some(AnswerDocument::from(&RecordedAnswer { body, ..recorded }));
        self
    }

    /// The recorded answer, if there is a readable one.
    pub(crate) fn recorded(&self) -> Option<RecordedAnswer> {
        self.answer.as_ref()?.decode()
    }
}

impl From<&RecordedAnswer> for AnswerDocument {
    fn from(answer: &RecordedAnswer) -> Self {
        let (body, body_bytes) = match &answer.body {
            RecordedBody::Complete(body) => (Some(STANDARD.encode(body)), None),
            RecordedBody::TooLarge(bytes) => (None, Some(*bytes)),
        };
        let content_type = answer.content_type.clone();
        Self { status: answer.status, content_type, body, body_bytes }
    }
}

impl AnswerDocument {
    fn decode(&self) -> Option<RecordedAnswer> {
        let body = match (&self.body, self.body_bytes) {
            (Some(body), None) => RecordedBody::Complete(STANDARD.decode(body).ok()?),
            (None, Some(bytes)) => RecordedBody::TooLarge(bytes),
            _ => return None,
        };
        Some(RecordedAnswer { status: self.status, content_type: self.content_type.clone(), body })
    }
}

//! The stored form of claims: keys, states and recorded answers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use catkin_base::{TeamId, VmId, copy_type, digest_hex, document_type, hash_parts, value_type};

/// Maximum size of a recorded answer body in bytes. Its base64 form stays below the platform's
/// limit of one megabyte an object.
pub const MAX_RECORDED_BYTES: usize = 512 * 1024;

value_type! {
    /// Identifies the request that a claim protects.
    pub struct ClaimKey {
        /// Team of the caller. Each team has a key space of its own.
        pub team: TeamId,
        /// Name of the service.
        pub service: String,
        /// Idempotency key sent by the caller.
        pub key: String,
    }
}

impl ClaimKey {
    /// Key of the object that stores the claim. The first byte of the digest is its shard.
    pub fn object_key(&self) -> String {
        let parts = serde_json::json!([self.team.0, self.service, self.key]);
        let digest = digest_hex(parts.to_string().as_bytes());
        format!("{CLAIM_PREFIX}{}/{digest}", &digest[..2])
    }
}

/// Prefix of the object keys of all claims.
pub(crate) const CLAIM_PREFIX: &str = "claims/";

/// Derives the identifier of one router process across the fleet. The incarnation number alone is
/// not unique, because two VMs may start in the same instant and then have the same one.
pub fn derive_process_id(vm: VmId, incarnation: u64) -> u64 {
    hash_parts(&[&vm.0.to_le_bytes(), &incarnation.to_le_bytes()])
}

copy_type! {
    /// Unique identifier of a claim: the router's process and a sequence number.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ClaimNonce {
        /// Identifier of the router's process, see [`derive_process_id`].
        pub process: u64,
        /// Sequence number of the claim within that process.
        pub sequence: u64,
    }
}

impl ClaimNonce {
    /// The smallest nonce, used as the start of a key range.
    pub(crate) const MIN: Self = Self { process: 0, sequence: 0 };
}

copy_type! {
    /// Progress of a claimed request.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum ClaimState {
        /// The request was not sent. It is sent only after the state has become `Sent`.
        Claimed,
        /// The request may have been sent.
        Sent,
        /// The request was sent and its outcome is not known.
        Unknown,
        /// The request ran and its answer is recorded.
        Answered,
    }
}

document_type! {
    /// The stored document of a claim.
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
    /// The stored form of a recorded answer.
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
        /// The complete body.
        Complete(Vec<u8>),
        /// The body was too large to record; only its length in bytes is kept.
        TooLarge(usize),
    }
}

value_type! {
    /// Recorded answer to a request that ran.
    pub struct RecordedAnswer {
        /// HTTP status code.
        pub status: u16,
        /// Content type of the body.
        pub content_type: String,
        /// Body of the answer.
        pub body: RecordedBody,
    }
}

impl RecordedAnswer {
    /// Creates the record of a service's answer. A body larger than [`MAX_RECORDED_BYTES`] is
    /// replaced by its length.
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
    /// Decodes a claim; `None` if the value is not a valid claim document.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim document has only string keys")
    }

    /// Returns the claim with another state.
    pub(crate) fn with_state(&self, state: ClaimState) -> Self {
        Self { state, ..self.clone() }
    }

    /// Returns the claim with its answer, in the state [`ClaimState::Answered`].
    pub(crate) fn with_answer(&self, answer: &RecordedAnswer) -> Self {
        let answer = Some(AnswerDocument::from(answer));
        Self { state: ClaimState::Answered, answer, ..self.clone() }
    }

    /// Size of the encoded answer body in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        let body = self.answer.as_ref().and_then(|answer| answer.body.as_ref());
        body.map_or(0, String::len)
    }

    /// Returns the claim with the answer's body replaced by its length.
    pub(crate) fn without_body(mut self) -> Self {
        let Some(recorded) = self.recorded_answer() else { return self };
        let RecordedBody::Complete(body) = &recorded.body else { return self };
        let body = RecordedBody::TooLarge(body.len());
        self.answer = Some(AnswerDocument::from(&RecordedAnswer { body, ..recorded }));
        self
    }

    /// Decodes the recorded answer; `None` if there is none or it is malformed.
    pub(crate) fn recorded_answer(&self) -> Option<RecordedAnswer> {
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

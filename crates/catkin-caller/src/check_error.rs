//! Errors of the validation of a call.

use catkin_base::{CallRefusal, RefusalReason};

/// Reason for rejecting a call before it reaches the service.
///
/// The messages are sent to callers.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallCheckError {
    /// The path does not exist.
    #[error("path does not exist; calls go to /v1/chat/completions or /services/<service>/<path>")]
    UnknownPath,
    /// The path does not allow the method.
    #[error("this path takes only {allowed}")]
    WrongMethod {
        /// Allowed method.
        allowed: &'static str,
    },
    /// The path has a query. Queries are not forwarded.
    #[error("the path must not have a query")]
    UnexpectedQuery,
    /// The path is too long, or has empty segments, dot segments or unnecessary escapes.
    #[error(
        "the path must have at most 1024 characters, no empty or dot segments, and only needed escapes"
    )]
    InvalidPath,
    /// The protocol version is older than HTTP/1.1, where a caller can't tell a complete answer
    /// from a truncated one.
    #[error("calls need HTTP/1.1")]
    UnsupportedVersion,
    /// A header occurs more than once.
    #[error("header {name} stands more than once")]
    RepeatedHeader {
        /// Name of the header.
        name: &'static str,
    },
    /// The value of a header is not allowed.
    #[error("header {name} must be {expected}")]
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
        /// Allowed values.
        expected: &'static str,
    },
    /// Both `content-length` and `transfer-encoding` are present.
    #[error("content-length and transfer-encoding exclude each other")]
    ConflictingLengths,
    /// The authorization header is missing.
    #[error("header authorization is missing")]
    MissingToken,
    /// The authorization header has no valid bearer token.
    #[error("header authorization must be Bearer and a token of at most 512 characters")]
    InvalidToken,
    /// The body exceeds the size limit.
    #[error("the body is longer than {limit_bytes} bytes")]
    BodyTooLarge {
        /// Maximum size, in bytes.
        limit_bytes: usize,
    },
    /// The body was not complete in time.
    #[error("the body did not arrive within {limit_millis} ms")]
    BodyTooSlow {
        /// Maximum time, in milliseconds.
        limit_millis: u128,
    },
    /// The connection ended within the body.
    #[error("the body ended early")]
    BodyTruncated,
    /// The body is not valid UTF-8.
    #[error("the body is not valid UTF-8")]
    BodyNotUtf8,
    /// The body is not valid JSON or lacks an expected field.
    #[error("the body is not as expected: {problem}")]
    InvalidBody {
        /// Message of the JSON parser.
        problem: String,
    },
    /// The bodies of other open calls use all of the memory for request bodies.
    #[error("too many request bodies are being read")]
    BodyBudgetExceeded,
}

impl CallCheckError {
    /// HTTP status code of the response.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::WrongMethod { .. } => 405,
            Self::UnsupportedVersion => 505,
            Self::BodyTooSlow { .. } => 408,
            _ => self.reason().http_status(),
        }
    }

    /// Converts the error into the refusal that is sent to the caller.
    pub fn to_refusal(&self) -> CallRefusal {
        let refusal = CallRefusal::not_run(self.reason(), self.to_string());
        match self {
            Self::BodyBudgetExceeded => refusal.with_retry_after(1),
            _ => refusal,
        }
    }

    fn reason(&self) -> RefusalReason {
        match self {
            Self::UnknownPath => RefusalReason::NotFound,
            Self::MissingToken | Self::InvalidToken => RefusalReason::Unauthorized,
            Self::BodyTooLarge { .. } => RefusalReason::TooLarge,
            Self::BodyBudgetExceeded => RefusalReason::Overloaded,
            _ => RefusalReason::BadRequest,
        }
    }
}

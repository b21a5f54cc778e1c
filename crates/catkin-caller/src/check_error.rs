//! What can be wrong with a call's form.

use catkin_base::{CallRefusal, RefusalReason};

/// A call whose form is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallCheckError {
    /// No such path.
    #[error("path does not exist; calls go to /v1/chat/completions or /services/<service>/<path>")]
    UnknownPath,
    /// The path takes another method.
    #[error("this path takes only {allowed}")]
    WrongMethod {
        /// The method that it takes.
        allowed: &'static str,
    },
    /// The path has a query, which is never passed on.
    #[error("the path must not have a query")]
    QueryGiven,
    /// The path is too long or has empty or dot segments or needless escapes.
    #[error(
        "the path must have at most 1024 characters, no empty or dot segments, and only needed escapes"
    )]
    BadPath,
    /// The protocol can't tell a whole answer from a cut one.
    #[error("calls need HTTP/1.1")]
    OldProtocol,
    /// A header stands more than once.
    #[error("header {name} stands more than once")]
    RepeatedHeader {
        /// The header.
        name: &'static str,
    },
    /// A header's value isn't allowed.
    #[error("header {name} must be {expected}")]
    BadHeader {
        /// The header.
        name: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// Both ways of giving the body's length were used.
    #[error("content-length and transfer-encoding exclude each other")]
    TwoLengths,
    /// The token is missing.
    #[error("header authorization is missing")]
    NoToken,
    /// The token isn't a bearer token.
    #[error("header authorization must be Bearer and a token of at most 512 characters")]
    BadToken,
    /// The body is too large.
    #[error("the body is longer than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The body didn't come in time.
    #[error("the body did not arrive within {limit_millis} ms")]
    BodyTooSlow {
        /// The limit.
        limit_millis: u128,
    },
    /// The body broke off.
    #[error("the body ended early")]
    BodyCut,
    /// The body isn't UTF-8.
    #[error("the body is not valid UTF-8")]
    BodyNotText,
    /// The body isn't the JSON expected.
    #[error("the body is not as expected: {problem}")]
    BadBody {
        /// What the parser found.
        problem: String,
    },
    /// Other callers' bodies take all the memory set aside for them.
    #[error("too many request bodies are being read")]
    BodiesFull,
}

impl CallCheckError {
    /// The HTTP status that carries it.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::WrongMethod { .. } => 405,
            Self::OldProtocol => 505,
            Self::BodyTooSlow { .. } => 408,
            _ => self.reason().http_status(),
        }
    }

    /// The refusal given to the caller.
    pub fn to_refusal(&self) -> CallRefusal {
        let refusal = CallRefusal::not_run(self.reason(), self.to_string());
        match self {
            Self::BodiesFull => refusal.with_retry_after(1),
            _ => refusal,
        }
    }

    fn reason(&self) -> RefusalReason {
        match self {
            Self::UnknownPath => RefusalReason::NotFound,
            Self::NoToken | Self::BadToken => RefusalReason::Unauthorized,
            Self::BodyTooLarge { .. } => RefusalReason::TooLarge,
            Self::BodiesFull => RefusalReason::Overloaded,
            _ => RefusalReason::BadRequest,
        }
    }
}

//! Refusals sent to callers.

use crate::{RunVerdict, copy_type, value_type};

copy_type! {
    /// Reason why a request was refused.
    pub enum RefusalReason {
        /// The request is malformed or its headers conflict.
        BadRequest,
        /// The token is missing or unknown.
        Unauthorized,
        /// The team may not use this class, model or service.
        Forbidden,
        /// The model, service or class is not declared.
        NotFound,
        /// The body or a header is too large.
        TooLarge,
        /// The idempotency key was used before with another body.
        KeyReused,
        /// Another request with the same idempotency key is in progress.
        KeyInProgress,
        /// The team has reached its limit of open requests.
        TeamLimit,
        /// No server has free capacity for the request.
        Overloaded,
        /// The request's deadline cannot be met.
        DeadlineUnmet,
        /// The request has crashed servers and is quarantined.
        Quarantined,
        /// The platform, which the request needs, does not answer.
        PlatformDown,
        /// The router has no declarations in force.
        NoDeclarations,
        /// The router is shutting down.
        ShuttingDown,
        /// The server failed while processing the request.
        ServerFailed,
        /// The outcome of an earlier attempt with the same idempotency key is unknown.
        OutcomeUnknown,
        /// The request was cancelled.
        Cancelled,
    }
}

impl RefusalReason {
    /// Returns the word for the reason in refusals and metrics.
    pub const fn as_word(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not-found",
            Self::TooLarge => "too-large",
            Self::KeyReused => "key-reused",
            Self::KeyInProgress => "key-in-progress",
            Self::TeamLimit => "team-limit",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnmet => "deadline-unmet",
            Self::Quarantined => "quarantined",
            Self::PlatformDown => "platform-down",
            Self::NoDeclarations => "no-declarations",
            Self::ShuttingDown => "shutting-down",
            Self::ServerFailed => "server-failed",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns the HTTP status of a refusal with this reason.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::KeyInProgress => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Quarantined => 422,
            Self::TeamLimit => 429,
            Self::ServerFailed => 502,
            Self::DeadlineUnmet | Self::OutcomeUnknown => 504,
            Self::Cancelled => 499,
            Self::Overloaded | Self::PlatformDown | Self::NoDeclarations | Self::ShuttingDown => {
                503
            }
        }
    }
}

value_type! {
    /// A refusal of a call.
    #[derive(thiserror::Error)]
    #[error("{}: {detail}", reason.as_word())]
    pub struct CallRefusal {
        /// Reason of the refusal.
        pub reason: RefusalReason,
        /// Whether the call may have run.
        pub ran: RunVerdict,
        /// Explanation in one sentence.
        pub detail: String,
        /// Time after which the caller should retry, in seconds, if a retry can succeed.
        pub retry_after_seconds: Option<u32>,
    }
}

impl CallRefusal {
    /// Creates a refusal of a call that was not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, ran: RunVerdict::NotRun, detail: detail.into(), retry_after_seconds: None }
    }

    /// Replaces the verdict.
    pub fn with_verdict(mut self, ran: RunVerdict) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which the caller should retry, in seconds.
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_seconds = Some(seconds);
        self
    }
}

//! Refusals given to callers.

use crate::{RunVerdict, copy_type, value_type};

copy_type! {
    /// Why a request was refused.
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
        /// The same key is being worked on elsewhere.
        KeyInProgress,
        /// The team has as much open work as it is allowed.
        TeamLimit,
        /// No server can take it now.
        Overloaded,
        /// The deadline cannot be met.
        DeadlineUnmet,
        /// The request crashed servers before.
        Quarantined,
        /// The platform does not answer and the request needs it.
        PlatformDown,
        /// This router has no declarations in force.
        NoDeclarations,
        /// This router is shutting down.
        ShuttingDown,
        /// The server failed while it worked on the request.
        ServerFailed,
        /// The outcome of an earlier attempt with this key is unknown.
        OutcomeUnknown,
        /// The request was cancelled.
        Cancelled,
    }
}

impl RefusalReason {
    /// The word used in refusals and metrics.
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

    /// The HTTP status that carries it.
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
    /// A refusal: why, whether the request may have run, and when to come back.
    #[derive(thiserror::Error)]
    #[error("{}: {detail}", reason.as_word())]
    pub struct CallRefusal {
        /// Why it was refused.
        pub reason: RefusalReason,
        /// Whether the request may have run.
        pub ran: RunVerdict,
        /// One sentence for a person.
        pub detail: String,
        /// Seconds after which to come back, if that can help.
        pub retry_after_seconds: Option<u32>,
    }
}

impl CallRefusal {
    /// A refusal of a request that was not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, ran: RunVerdict::NotRun, detail: detail.into(), retry_after_seconds: None }
    }

    /// This refusal with another verdict.
    pub fn with_verdict(mut self, ran: RunVerdict) -> Self {
        self.ran = ran;
        self
    }

    /// This refusal with a time after which to come back, in seconds.
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_seconds = Some(seconds);
        self
    }
}

//! Answers of the router's own.

use std::time::Duration;

use catkin_base::RunVerdict;
use rand::Rng;

/// Shortest pause before a caller should come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Part of the time that is left after which callers come back at the latest; they honour no more.
const RETRY_DIVISOR: u32 = 4;

/// Why a request got an answer of the router's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The request breaks the protocol.
    BadRequest,
    /// Its key is unknown.
    NoKey,
    /// No route takes it.
    NoRoute,
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
    /// It did not arrive in time.
    TooSlow,
    /// No declarations are known here yet.
    NoDeclarations,
    /// No server of its service is known.
    NoServer,
    /// Every server is as full as it may be.
    Full,
    /// Servers failed and no further attempt is allowed.
    ServerFailed,
    /// Its time is over.
    TimeOver,
    /// Its content crashed servers.
    Quarantined,
    /// The router is stopping.
    Stopping,
}

/// An answer of the router's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// Whether the request may have run.
    pub ran: RunVerdict,
}

impl Refusal {
    /// A refusal of a request that was not run.
    pub const fn not_run(cause: RefusalCause) -> Self {
        Self { cause, ran: RunVerdict::NotRun }
    }

    /// The word used in logs and metrics.
    pub const fn as_word(self) -> &'static str {
        match self.cause {
            RefusalCause::BadRequest => "bad-request",
            RefusalCause::NoKey => "no-key",
            RefusalCause::NoRoute => "no-route",
            RefusalCause::HeadTooLong => "head-too-long",
            RefusalCause::BodyTooLong => "body-too-long",
            RefusalCause::TooSlow => "too-slow",
            RefusalCause::NoDeclarations => "no-declarations",
            RefusalCause::NoServer => "no-server",
            RefusalCause::Full => "full",
            RefusalCause::ServerFailed => "server-failed",
            RefusalCause::TimeOver => "time-over",
            RefusalCause::Quarantined => "quarantined",
            RefusalCause::Stopping => "stopping",
        }
    }

    /// The HTTP status: 503 and 408 only for requests that have not run.
    pub const fn status(self) -> u16 {
        match (self.cause, self.ran) {
            (RefusalCause::BadRequest, _) => 400,
            (RefusalCause::NoKey, _) => 401,
            (RefusalCause::NoRoute, _) => 404,
            (RefusalCause::HeadTooLong, _) => 431,
            (RefusalCause::BodyTooLong, _) => 413,
            (RefusalCause::TooSlow, _) => 408,
            (_, RunVerdict::NotRun) => 503,
            (RefusalCause::TimeOver, _) => 504,
            _ => 502,
        }
    }

    /// When the caller should come back, if that can help. `left` is the time that it has.
    pub fn retry_after(self, left: Duration, random: &mut impl Rng) -> Option<Duration> {
        let temporary = self.status() == 503 && self.cause != RefusalCause::Quarantined;
        if !temporary || left < MIN_RETRY_AFTER {
            return None;
        }
        let latest = (left / RETRY_DIVISOR).max(MIN_RETRY_AFTER);
        let latest = latest.min(max_retry_after(self.cause).max(MIN_RETRY_AFTER));
        Some(random.random_range(MIN_RETRY_AFTER..=latest))
    }
}

/// After how long what is missing can be expected.
const fn max_retry_after(cause: RefusalCause) -> Duration {
    match cause {
        RefusalCause::Stopping => MIN_RETRY_AFTER,
        RefusalCause::Full => Duration::from_millis(1_000),
        _ => Duration::from_millis(1_500),
    }
}

/// Text of a status for the status line.
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "OK",
    }
}

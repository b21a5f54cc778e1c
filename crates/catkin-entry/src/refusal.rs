//! Requests that the router refuses: causes, HTTP statuses and `Retry-After` times.

use std::time::Duration;

use catkin_base::RunVerdict;
use catkin_policy::{RoomCause, RoomRefusal};
use rand::Rng;

/// Minimum `Retry-After` time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The maximum `Retry-After` time is the time left to the caller divided by this; callers ignore
/// longer ones.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// Time over which callers return after the pause of a server, so that they don't meet it all at once.
const PAUSE_SPREAD: Duration = Duration::from_millis(1_000);

/// Why the router refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The request violates the protocol.
    BadRequest,
    /// The API key is missing or unknown.
    NoKey,
    /// No route matches.
    NoRoute,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The request did not arrive in time.
    TooSlow,
    /// The bodies of other requests take the memory for them.
    NoMemory,
    /// The router has no declarations yet.
    NoDeclarations,
    /// No server of the service is known.
    NoServer,
    /// No server has both a free slot and a load that stays within its bound.
    Full,
    /// All servers are in evacuated failure domains.
    Evacuated,
    /// No room comes in the time in which the answer is of use.
    NoRoom(RoomRefusal),
    /// All servers name limits that are used up.
    Limited,
    /// All servers asked for a pause; the first one ends after this time.
    Paused(Duration),
    /// This router reaches no server of the service, and no other router could be asked.
    OutOfReach,
    /// Attempts failed and no further one is allowed.
    ServerFailed,
    /// The deadline of the request has passed.
    TimeOver,
    /// The content of the request crashed servers and is quarantined.
    Quarantined,
    /// No server has the software version that began the stream which the request resumes.
    VersionGone,
    /// No router knows which software version began the stream which the request resumes.
    OriginUnknown,
    /// The router is stopping.
    Stopping,
    /// The router exits before the request has an answer.
    GraceOver,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub cause: RefusalCause,
    /// Whether a server may have run the request.
    pub ran: RunVerdict,
}

impl Refusal {
    /// Creates the refusal of a request that no server ran.
    pub const fn not_run(cause: RefusalCause) -> Self {
        Self { cause, ran: RunVerdict::NotRun }
    }

    /// The name of the cause in logs, metrics and answers.
    pub const fn as_word(self) -> &'static str {
        match self.cause {
            RefusalCause::BadRequest => "bad-request",
            RefusalCause::NoKey => "no-key",
            RefusalCause::NoRoute => "no-route",
            RefusalCause::HeadTooLong => "head-too-long",
            RefusalCause::BodyTooLong => "body-too-long",
            RefusalCause::TooSlow => "too-slow",
            RefusalCause::NoMemory => "no-memory",
            RefusalCause::NoDeclarations => "no-declarations",
            RefusalCause::NoServer => "no-server",
            RefusalCause::Full => "full",
            RefusalCause::Evacuated => "evacuated",
            RefusalCause::NoRoom(refusal) => match refusal.cause {
                RoomCause::InUse => "full",
                RoomCause::KeptForUrgent => "room-kept",
                RoomCause::ShareUsed => "share-used",
            },
            RefusalCause::Limited => "limited",
            RefusalCause::Paused(_) => "paused",
            RefusalCause::OutOfReach => "out-of-reach",
            RefusalCause::ServerFailed => "server-failed",
            RefusalCause::TimeOver => "time-over",
            RefusalCause::Quarantined => "quarantined",
            RefusalCause::VersionGone => "version-gone",
            RefusalCause::OriginUnknown => "origin-unknown",
            RefusalCause::Stopping => "stopping",
            RefusalCause::GraceOver => "grace-over",
        }
    }

    /// The HTTP status. 503 and 408 are used only for requests that no server ran.
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

    /// Chooses a random time after which the caller should retry; `None` if that cannot help.
    /// `left` is the time until the caller's deadline.
    pub fn retry_after(self, left: Duration, random: &mut impl Rng) -> Option<Duration> {
        let lasting = matches!(
            self.cause,
            RefusalCause::Quarantined | RefusalCause::VersionGone | RefusalCause::OriginUnknown
        );
        let temporary = self.status() == 503 && !lasting;
        if !temporary || left < MIN_RETRY_AFTER {
            return None;
        }
        let longest = (left / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
        let earliest = match self.cause {
            RefusalCause::Paused(rest) => rest.clamp(MIN_RETRY_AFTER, longest),
            RefusalCause::NoRoom(refusal) => refusal.expected.clamp(MIN_RETRY_AFTER, longest),
            _ => MIN_RETRY_AFTER,
        };
        let latest = longest.min(max_retry_after(self.cause).max(earliest));
        Some(random.random_range(earliest..=latest))
    }
}

/// Maximum `Retry-After` time by cause: the time after which the cause is expected to be gone.
fn max_retry_after(cause: RefusalCause) -> Duration {
    match cause {
        RefusalCause::Stopping | RefusalCause::GraceOver => MIN_RETRY_AFTER,
        RefusalCause::Full => Duration::from_millis(1_000),
        // Evacuations last seconds at least.
        RefusalCause::Evacuated => Duration::from_millis(3_000),
        RefusalCause::Paused(rest) => rest.saturating_add(PAUSE_SPREAD),
        RefusalCause::NoRoom(refusal) => {
            refusal.expected.saturating_add(refusal.spread.max(MIN_RETRY_AFTER))
        }
        _ => Duration::from_millis(1_500),
    }
}

/// Reason phrase of a status for the status line.
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

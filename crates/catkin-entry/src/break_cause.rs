//! Decides why a reused connection broke before the first byte of an answer.
//!
//! Most often the server had closed it while it was idle, which counts neither against the server nor
//! against the request. A request that crashes servers breaks it, too. A server that still listens did
//! not crash, but only if it can't have been started again since it received the request.

use std::time::Duration;

use catkin_base::copy_type;

/// Time in which no server that crashed is back.
const MIN_RESTART_TIME: Duration = Duration::from_millis(1_000);

copy_type! {
    /// Whether a server accepts connections.
    pub enum ServerCheck {
        /// It refuses connections, so that its process has ended.
        Gone,
        /// It accepts connections.
        Listening,
        /// It does not answer: its VM is down, or it is cut off from this router.
        Silent,
    }

    /// A reused connection that broke before the first byte of an answer.
    pub struct ReusedBreak {
        /// For how long the connection was idle when the request was sent.
        pub idle: Duration,
        /// For how long the server keeps an idle connection open.
        pub kept: Duration,
        /// Time from sending the request to the end of the check. It includes that for which this
        /// process stood still.
        pub checked_after: Duration,
        /// Whether the start of the server that the request was sent to is still listed.
        pub is_listed: bool,
    }

    /// Why such a connection broke.
    pub enum BreakCause {
        /// The server had closed it.
        Stale,
        /// The server crashed.
        Crashed,
        /// The server may have crashed under the request and be back, or be another one.
        Unknown,
    }
}

/// Decides why a connection broke, from a check of its server after that.
pub fn find_break_cause(broken: &ReusedBreak, check: ServerCheck) -> BreakCause {
    let is_timely = broken.checked_after < MIN_RESTART_TIME && broken.is_listed;
    let was_open = broken.idle < broken.kept;
    match check {
        ServerCheck::Gone => BreakCause::Crashed,
        ServerCheck::Listening if !is_timely && was_open => BreakCause::Unknown,
        // A server that does not answer may be cut off.
        ServerCheck::Listening | ServerCheck::Silent => BreakCause::Stale,
    }
}

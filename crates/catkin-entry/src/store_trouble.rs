//! Decides until when a server whose entry is missing from the store may still be used, after failed calls.
//!
//! Answers two patterns that a router can't tell apart when a call fails:
//! - The store was away, and entries expired meanwhile. Live servers register again within two seconds of its
//!   return, and dropping all of them at once would leave nothing to send requests to.
//! - Only the router's connections broke or went silent, and a server left meanwhile. It ends a fixed time after
//!   the store removed its entry, whenever the router hears of it.
//!
//! So the time is bounded twice: from the return of the store, and from the last moment at which it may have been out
//! of reach.

use catkin_base::ClockTime;

/// Time after the return of the store within which live servers register again, in milliseconds.
pub const MISSING_GRACE_MILLIS: u64 = 2_000;
/// Time before the second bound at which a missing server is no longer used, in milliseconds: the interval at which
/// missing servers are removed, and the time that a request takes to the server.
const SEND_MARGIN_MILLIS: u64 = 500;

/// Failed calls to the store, of the clients of this router that follow servers and declarations.
#[derive(Debug, Clone, Default)]
pub struct StoreTrouble {
    /// When the store may last have been out of reach.
    failed_at: Option<ClockTime>,
    /// When a call was answered for the first time since.
    answered_at: Option<ClockTime>,
}

impl StoreTrouble {
    /// Records a failed call. The store may have been out of reach from `since` on: since the last answer on the
    /// connection of a call that got none, or since such a call was sent on a new one, or since it was refused.
    pub fn record_failure(&mut self, since: ClockTime) {
        self.failed_at = self.failed_at.max(Some(since));
        self.answered_at = None;
    }

    /// Records an answer; returns whether it is the first one since a failure.
    pub fn record_answer(&mut self, now: ClockTime) -> bool {
        let is_first = self.failed_at.is_some() && self.answered_at.is_none();
        if is_first {
            self.answered_at = Some(now);
        }
        is_first
    }

    /// Until when a server may be used whose entry an answer lacks; `None` if it is gone. `contact_millis` is the time
    /// after which a disruption no longer excuses that.
    pub fn missing_until(&self, now: ClockTime, contact_millis: u64) -> Option<ClockTime> {
        let failed_at = self.failed_at?;
        let returned_at = self.answered_at.unwrap_or(now);
        let registered = returned_at.plus_millis(MISSING_GRACE_MILLIS);
        let in_contact = failed_at.plus_millis(contact_millis.saturating_sub(SEND_MARGIN_MILLIS));
        Some(registered.min(in_contact)).filter(|until| *until > now)
    }
}

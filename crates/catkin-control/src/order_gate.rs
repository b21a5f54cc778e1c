//! Admits orders to a server in the order of their numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::{ClockTime, ServerId, copy_type};

copy_type! {
    /// Time limits of a gate.
    pub struct GateLimits {
        /// Maximum time for which an unanswered order may still take effect.
        pub quiet_period: Duration,
        /// Maximum age of the read-back of a server that an order relies on.
        pub verify_window: Duration,
    }
}

impl Default for GateLimits {
    fn default() -> Self {
        Self { quiet_period: Duration::from_secs(5), verify_window: Duration::from_millis(200) }
    }
}

copy_type! {
    /// Reason why an order is not admitted.
    pub enum GateRefusal {
        /// A newer order was admitted or reported; this is its fencing token.
        Older(u64),
        /// An earlier order may still take effect until this time.
        QuietPeriod(ClockTime),
        /// The server's newest fencing token has to be read back first.
        Unverified,
    }
}

struct GateEntry {
    newest_fence: u64,
    verified_at: Option<ClockTime>,
    quiet_until: ClockTime,
}

/// Decides whether the owner of a server may send an order to it.
///
/// For a server that checks fencing tokens itself, comparing the tokens is sufficient. For a
/// server that ignores them, orders are admitted one at a time: the next order waits until the
/// previous one was answered or can no longer take effect. A new owner of a server waits for the
/// same time, since the former owner may have sent an order immediately before.
pub struct OrderGate {
    limits: GateLimits,
    entries: BTreeMap<ServerId, GateEntry>,
}

impl OrderGate {
    /// Creates a gate without servers.
    pub fn new(limits: GateLimits) -> Self {
        Self { limits, entries: BTreeMap::new() }
    }

    /// Removes a server that the local router no longer owns.
    pub fn remove_server(&mut self, server: ServerId) {
        self.entries.remove(&server);
    }

    /// Records the newest fencing token that was read back from a server.
    pub fn record_read_back(&mut self, server: ServerId, fence: u64, now: ClockTime) {
        let entry = self.get_entry(server, now);
        entry.newest_fence = entry.newest_fence.max(fence);
        entry.verified_at = Some(now);
    }

    /// Admits or refuses an order. The caller sends an admitted order immediately.
    pub fn admit(
        &mut self,
        server: ServerId,
        fence: u64,
        checks_fencing: bool,
        now: ClockTime,
    ) -> Result<(), GateRefusal> {
        let limits = self.limits;
        let entry = self.get_entry(server, now);
        if fence < entry.newest_fence {
            return Err(GateRefusal::Older(entry.newest_fence));
        }
        if !checks_fencing {
            check_quiet_period(entry, limits, now)?;
            entry.verified_at = None;
            entry.quiet_until = now.plus(limits.quiet_period);
        }
        entry.newest_fence = fence;
        Ok(())
    }

    /// Marks an order as resolved: it has taken effect, or it never will.
    pub fn mark_resolved(&mut self, server: ServerId, fence: u64) {
        if let Some(entry) = self.entries.get_mut(&server)
            && entry.newest_fence == fence
        {
            entry.quiet_until = ClockTime::ZERO;
        }
    }

    fn get_entry(&mut self, server: ServerId, now: ClockTime) -> &mut GateEntry {
        let quiet_until = now.plus(self.limits.quiet_period);
        let new_entry = || GateEntry { newest_fence: 0, verified_at: None, quiet_until };
        self.entries.entry(server).or_insert_with(new_entry)
    }
}

fn check_quiet_period(
    entry: &GateEntry,
    limits: GateLimits,
    now: ClockTime,
) -> Result<(), GateRefusal> {
    if now < entry.quiet_until {
        return Err(GateRefusal::QuietPeriod(entry.quiet_until));
    }
    match entry.verified_at {
        Some(verified_at) if now.since(verified_at) <= limits.verify_window => Ok(()),
        _ => Err(GateRefusal::Unverified),
    }
}

//! Lets orders to one server pass in the order of their numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::{ClockTime, ServerId, copy_type};

copy_type! {
    /// Times that a gate keeps.
    pub struct GateLimits {
        /// Longest time that an order without an answer may still take effect.
        pub quiet_period: Duration,
        /// Age up to which the last read-back of a server counts.
        pub verify_window: Duration,
    }
}

impl Default for GateLimits {
    fn default() -> Self {
        Self { quiet_period: Duration::from_secs(5), verify_window: Duration::from_millis(200) }
    }
}

copy_type! {
    /// Why an order may not pass.
    pub enum GateRefusal {
        /// A newer order has passed; this is its fencing number.
        Older(u64),
        /// An earlier order may still take effect until this time.
        QuietPeriod(ClockTime),
        /// The server has to be read back first.
        Unverified,
    }
}

struct GateEntry {
    newest: u64,
    verified_at: Option<ClockTime>,
    quiet_until: ClockTime,
}

/// The gate of a server's owner.
///
/// A server that checks the number itself needs no more than the comparison here. For one that
/// ignores it, orders pass one at a time: the next waits until the former was answered, or until
/// it can no longer take effect. An owner that is new to a server waits as long, since the
/// former owner may have sent an order just before.
pub struct OrderGate {
    limits: GateLimits,
    entries: BTreeMap<ServerId, GateEntry>,
}

impl OrderGate {
    /// A gate of an owner without servers.
    pub fn new(limits: GateLimits) -> Self {
        Self { limits, entries: BTreeMap::new() }
    }

    /// Forgets a server that this router no longer owns.
    pub fn drop_server(&mut self, server: ServerId) {
        self.entries.remove(&server);
    }

    /// Takes note of the fencing number that a server reported.
    pub fn record_read_back(&mut self, server: ServerId, fence: u64, now: ClockTime) {
        let entry = self.entry(server, now);
        entry.newest = entry.newest.max(fence);
        entry.verified_at = Some(now);
    }

    /// Lets an order pass or refuses it. An order that passes has to be sent at once.
    pub fn admit(
        &mut self,
        server: ServerId,
        fence: u64,
        checks_fencing: bool,
        now: ClockTime,
    ) -> Result<(), GateRefusal> {
        let limits = self.limits;
        let entry = self.entry(server, now);
        if fence < entry.newest {
            return Err(GateRefusal::Older(entry.newest));
        }
        if !checks_fencing {
            check_quiet(entry, limits, now)?;
            entry.verified_at = None;
            entry.quiet_until = now.plus(limits.quiet_period);
        }
        entry.newest = fence;
        Ok(())
    }

    /// Takes note that an order has taken effect or never will.
    pub fn mark_resolved(&mut self, server: ServerId, fence: u64) {
        if let Some(entry) = self.entries.get_mut(&server)
            && entry.newest == fence
        {
            entry.quiet_until = ClockTime::ZERO;
        }
    }

    fn entry(&mut self, server: ServerId, now: ClockTime) -> &mut GateEntry {
        let quiet_until = now.plus(self.limits.quiet_period);
        let new_entry = || GateEntry { newest: 0, verified_at: None, quiet_until };
        self.entries.entry(server).or_insert_with(new_entry)
    }
}

fn check_quiet(entry: &GateEntry, limits: GateLimits, now: ClockTime) -> Result<(), GateRefusal> {
    if now < entry.quiet_until {
        return Err(GateRefusal::QuietPeriod(entry.quiet_until));
    }
    match entry.verified_at {
        Some(verified_at) if now.since(verified_at) <= limits.verify_window => Ok(()),
        _ => Err(GateRefusal::Unverified),
    }
}

//! What a router that stops offers to others that reach no servers: to take their requests for a while.
//!
//! Answers the pattern of routers that are stopped one after the other while the rest is cut off. A router
//! that stops keeps its listener open until the load balancer has taken it out, and serves what it took until
//! it exits.

use std::time::Duration;

use catkin_base::{ClockTime, copy_type};
use catkin_peer::messages::StoppingHelp;

/// Margin for the way of reports and requests, in milliseconds.
const WAY_MILLIS: u64 = 300;

copy_type! {
    /// The offer of a router that stops.
    pub struct HelpOffer {
        /// Port of its listener for callers.
        pub port: u16,
        /// Until when it takes requests.
        pub takes_until: ClockTime,
        /// When it exits at the latest.
        pub exits: ClockTime,
    }
}

impl HelpOffer {
    /// Whether the router takes a request with this deadline and surely ends it before it exits.
    pub fn allows(&self, now: ClockTime, deadline: ClockTime) -> bool {
        now.plus_millis(WAY_MILLIS) <= self.takes_until
            && deadline.plus_millis(WAY_MILLIS) <= self.exits
    }

    /// Reads the offer in a report that arrived at `now`; `None` if it has no valid port.
    pub fn decode(now: ClockTime, stated: StoppingHelp) -> Option<Self> {
        let port = u16::try_from(stated.port).ok().filter(|port| *port != 0)?;
        let after = |millis: u32| now.plus_millis(millis.into());
        Some(Self {
            port,
            takes_until: after(stated.takes_millis),
            exits: after(stated.exit_millis),
        })
    }
}

/// Encodes the offer of a router that takes requests and exits after these times.
pub(crate) fn encode_offer(port: u16, takes: Duration, exits: Duration) -> StoppingHelp {
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    StoppingHelp { port: port.into(), takes_millis: millis(takes), exit_millis: millis(exits) }
}

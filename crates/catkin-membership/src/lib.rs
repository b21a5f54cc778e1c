//! Membership of the router fleet: a gossip protocol with failure detection, without I/O.
//!
//! A [`MemberTable`] holds one router's view of the fleet. It probes one member at a time, requests
//! indirect probes from other members if no acknowledgement arrives, attaches member updates to the
//! messages that it sends anyway, and refutes wrong updates about its own router. The caller
//! provides time, a random seed and received messages; the table returns messages to send and
//! [`MemberEvent`]s.
//!
//! Reading order: `member` and `message` (the types), `options` (timing and sizes), `table` (the
//! protocol), then its parts `record`, `probe_tracker`, `gossip_queue` and `member_events`.
//!
//! ```
//! use catkin_base::{ClockTime, DomainId, RegionId, VmId};
//! use catkin_membership::{MemberSpec, MemberTable, MembershipOptions};
//!
//! let local = MemberSpec {
//!     vm: VmId::from_name("entry-1"),
//!     incarnation: 1,
//!     address: ([127, 0, 0, 1], 7001).into(),
//!     domain: DomainId::from_name("a"),
//!     region: RegionId::from_name("north"),
//! };
//! let table = MemberTable::new(local, MembershipOptions::default(), 7, ClockTime::ZERO);
//! assert_eq!(table.live_members().count(), 1);
//! ```

mod gossip_queue;
mod member;
mod member_events;
mod message;
mod options;
mod probe_tracker;
mod record;
mod table;

pub use member::{MemberEvent, MemberEventKind, MemberSpec, MemberState, MemberUpdate, MemberView};
pub use message::{MemberAction, MemberMessage, MessageOrigin, ProbeBody};
pub use options::MembershipOptions;
pub use table::MemberTable;

//! Membership of the router fleet, without input or output.
//!
//! A [`MemberTable`] holds what one router believes of the others. It probes one member at a
//! time, asks others to probe where no answer came, spreads what it learned on the messages that
//! it sends anyway, and refutes wrong beliefs of itself. Time, randomness and messages are given
//! to it; messages to send and [`MemberEvent`]s come out.
//!
//! ```
//! use catkin_base::{ClockTime, DomainId, RegionId, VmId};
//! use catkin_membership::{MemberSpec, MemberTable, MembershipOptions};
//!
//! let own = MemberSpec {
//!     vm: VmId::from_name("entry-1"),
//!     incarnation: 1,
//!     address: ([127, 0, 0, 1], 7001).into(),
//!     domain: DomainId::from_name("a"),
//!     region: RegionId::from_name("north"),
//! };
//! let table = MemberTable::new(own, MembershipOptions::default(), 7, ClockTime::ZERO);
//! assert_eq!(table.live_members().count(), 1);
//! ```

mod change;
mod member;
mod message;
mod options;
mod probe;
mod record;
mod spread;
mod table;

pub use member::{MemberEvent, MemberEventKind, MemberSpec, MemberState, MemberUpdate, MemberView};
pub use message::{MemberAction, MemberMessage, MessageOrigin, ProbeBody};
pub use options::MembershipOptions;
pub use table::MemberTable;

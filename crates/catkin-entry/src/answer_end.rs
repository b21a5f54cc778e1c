//! Decides whether an answer whose connection ended in order is complete.
//!
//! An answer that states neither a length nor chunks ends with its connection, and so does a part of it if
//! its server stops or ends midway.

use catkin_base::copy_type;

use crate::break_cause::ServerCheck;

copy_type! {
    /// An answer that states neither a length nor chunks, at the end of its connection.
    pub struct UnframedEnd {
        /// Whether the answer must have a body to be complete. A failure may have none.
        pub needs_body: bool,
        /// Whether the answer has a body, as far as it was received.
        pub has_body: bool,
        /// Whether the server is known to leave. It ends once its last answer is written.
        pub is_leaving: bool,
        /// Whether the server accepts connections after that; `None` if it was not checked.
        pub check: Option<ServerCheck>,
    }

    /// Why such an answer counts as broken off.
    pub enum EndFault {
        /// It is a success without a body. A server that has nothing to send states a length of 0 or a status without a body.
        Empty,
        /// The server ended, and did not leave.
        ServerEnded,
    }
}

/// Finds out why an answer counts as broken off; `None` if it counts as complete.
pub fn find_end_fault(end: &UnframedEnd) -> Option<EndFault> {
    if end.needs_body && !end.has_body {
        return Some(EndFault::Empty);
    }
    let has_ended = end.check == Some(ServerCheck::Gone) && !end.is_leaving;
    has_ended.then_some(EndFault::ServerEnded)
}

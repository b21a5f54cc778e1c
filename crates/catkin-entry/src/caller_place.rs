//! The place of one connection in the table of callers.

use std::cell::RefCell;
use std::rc::Rc;

use catkin_base::ClockTime;
use tokio_util::sync::CancellationToken;

use crate::caller_table::{CallerId, CallerTable};

/// The table of a router; a token tells its connection to end.
pub(crate) type SharedCallers = Rc<RefCell<CallerTable<CancellationToken>>>;

/// A connection's place. Dropping it makes room for another one.
#[derive(Debug)]
pub(crate) struct CallerPlace {
    table: SharedCallers,
    id: CallerId,
    end: CancellationToken,
}

impl CallerPlace {
    /// Takes a place for a connection that waits for its first request.
    pub(crate) fn open(table: &SharedCallers, now: ClockTime) -> Self {
        let end = CancellationToken::new();
        let id = table.borrow_mut().open(end.clone(), now);
        Self { table: Rc::clone(table), id, end }
    }

    /// Records that the connection waits for a request. Returns the token that ends the wait.
    pub(crate) fn begin_wait(&self, now: ClockTime) -> CancellationToken {
        self.table.borrow_mut().begin_wait(self.id, now);
        self.end.clone()
    }

    /// Records that the first bytes of a request arrived.
    pub(crate) fn begin_request(&self) {
        self.table.borrow_mut().begin_request(self.id);
    }

    /// Whether the answer to the current request ends the connection.
    pub(crate) fn ends_answered(&self) -> bool {
        self.end.is_cancelled() || self.table.borrow().ends_answered()
    }
}

impl Drop for CallerPlace {
    fn drop(&mut self) {
        self.table.borrow_mut().remove(self.id);
    }
}

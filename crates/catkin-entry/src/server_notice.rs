//! What servers state of themselves in the heads of their answers.

use catkin_base::{ServerId, copy_type};
use catkin_http::FieldList;

use crate::state::EntryState;
use crate::wire::EntryWire;

copy_type! {
    /// What a server states of itself in one answer.
    #[derive(Default)]
    pub(crate) struct ServerNotice {
        /// It leaves.
        pub(crate) leaving: bool,
    }
}

/// Reads the header fields of an answer.
pub(crate) fn read_notice<W: EntryWire>(fields: &FieldList) -> ServerNotice {
    let leaving = fields.values(W::HEADERS.leaving).any(|value| value.trim_ascii() == b"1");
    ServerNotice { leaving }
}

impl<W> EntryState<W> {
    /// Records what a server states of itself. `answer` names the answer in the log.
    pub(crate) fn record_notice(&self, server: ServerId, notice: ServerNotice, answer: &str) {
        if notice.leaving {
            self.record_leave_statement(server, answer);
        }
    }

    /// Records that a server stated that it leaves, in an answer or, as another router reports, in one
    /// to that router.
    pub(crate) fn record_leave_statement(&self, server: ServerId, source: &str) {
        if !self.servers.borrow_mut().record_leave_statement(self.now(), server) {
            return;
        }
        metrics::counter!("catkin_entry_leave_statements_total").increment(1);
        log::info!(
            "servers: server states that it leaves; no new requests. server={server} \
             source={source}"
        );
        self.pool.borrow_mut().drop_idle_to(server);
        self.updates.borrow_mut().send_now = true;
        self.selection_input_change.notify_waiters();
    }
}

//! What servers state of themselves in the heads of their answers.

use catkin_base::{ClockTime, ServerId, copy_type};
use catkin_http::FieldList;
use catkin_policy::{LimitStatement, RequestRate};

use crate::state::EntryState;
use crate::wire::EntryWire;

/// Longest limit that is read, in digits. A larger number is none that matters.
const MAX_LIMIT_DIGITS: usize = 12;

copy_type! {
    /// What an answer says of its server's limit.
    #[derive(Default)]
    pub enum LimitNotice {
        /// Nothing: the server has no limit, unless the head is an interim one.
        #[default]
        Absent,
        /// The requests that the server takes from all routers together.
        Named(RequestRate),
        /// Something that is no limit.
        Unreadable,
    }
}

copy_type! {
    /// What a server states of itself in one answer.
    #[derive(Default)]
    pub(crate) struct ServerNotice {
        /// It leaves.
        pub(crate) leaving: bool,
        pub(crate) limit: LimitNotice,
    }
}

copy_type! {
    /// Which answer a notice is from.
    pub(crate) enum NoticeSource {
        /// The answer to a request that was sent at this time. What it does not state is not so.
        Answer(ClockTime),
        /// An interim head, a late answer before the answer to a request that was sent at this time, a
        /// malformed answer to it, or a list of cached parts.
        Other(ClockTime),
    }
}

/// Reads the header fields of an answer.
pub(crate) fn read_notice<W: EntryWire>(fields: &FieldList) -> ServerNotice {
    let names = &W::HEADERS;
    let leaving = fields.values(names.leaving).any(|value| value.trim_ascii() == b"1");
    let limit = fields.values(names.limit).next();
    ServerNotice { leaving, limit: limit.map_or(LimitNotice::Absent, read_limit) }
}

/// Reads a limit, a decimal number of requests per second.
pub fn read_limit(value: &[u8]) -> LimitNotice {
    let value = value.trim_ascii();
    let is_number = value.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let text = std::str::from_utf8(value).unwrap_or_default();
    match text.parse::<f64>() {
        Ok(rate) if is_number && value.len() <= MAX_LIMIT_DIGITS => {
            // A rate that does not fit is none that binds.
            let per_thousand_seconds = (rate * 1_000.0) as u32;
            LimitNotice::Named(RequestRate { per_thousand_seconds })
        }
        _ => LimitNotice::Unreadable,
    }
}

impl<W> EntryState<W> {
    /// Records what a server states of itself. `request` names the answer in the log.
    pub(crate) fn record_notice(
        &self,
        server: ServerId,
        notice: ServerNotice,
        source: NoticeSource,
        request: &str,
    ) {
        if notice.leaving {
            self.record_leave_statement(server, request);
        }
        let (rate, stated) = match (notice.limit, source) {
            (LimitNotice::Named(rate), NoticeSource::Answer(_)) => (Some(rate), self.now()),
            (LimitNotice::Named(rate), NoticeSource::Other(sent)) => (Some(rate), sent),
            // The server may have named a limit between the request and its answer.
            (LimitNotice::Absent, NoticeSource::Answer(sent)) => (None, sent),
            (LimitNotice::Absent, NoticeSource::Other(_)) => return,
            (LimitNotice::Unreadable, _) => {
                metrics::counter!("catkin_entry_unreadable_limits_total").increment(1);
                log::info!(
                    "servers: limit is no decimal number; ignoring it. server={server} \
                     request={request}"
                );
                return;
            }
        };
        let statement = LimitStatement { server, rate, stated };
        if self.record_limit(statement, request) {
            self.updates.borrow_mut().limits.push(statement);
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

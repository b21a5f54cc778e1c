//! What servers state of themselves in the heads of their answers.

use std::time::Duration;

use catkin_base::{ClockTime, ServerId, copy_type};
use catkin_http::ResponseHead;
use catkin_policy::{LimitStatement, RequestRate};

use crate::speed_table::{SpeedStatement, read_stated_speed};
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Longest decimal number that is read, in digits. A larger one is none that matters.
const MAX_DIGITS: usize = 12;
/// Header field with the time for which a server that is unavailable wants no requests (RFC 9110,
/// section 10.2.3). Only the form in seconds is read: the clocks of VMs may differ.
const RETRY_AFTER: &str = "retry-after";
/// Status of an answer whose server is unavailable.
const UNAVAILABLE: u16 = 503;

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
    /// For how long an answer says that its server wants no requests from this router.
    #[derive(Default)]
    pub enum PauseNotice {
        /// Nothing.
        #[default]
        Absent,
        /// A time.
        Asked(Duration),
        /// Something that is no time.
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
        /// Requests that it may turn away in a second before it falls over.
        pub(crate) brittle: LimitNotice,
        pub(crate) pause: PauseNotice,
        /// How long work takes there, in percent of the usual time.
        pub(crate) speed_percent: Option<u32>,
        /// For how long it is still cold, in milliseconds; 0 if it doesn't say so.
        pub(crate) cold_millis: u32,
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

/// Reads the head of an answer.
pub(crate) fn read_notice<W: EntryWire>(head: &ResponseHead) -> ServerNotice {
    let names = &W::HEADERS;
    let leaving = head.fields.values(names.leaving).any(|value| value.trim_ascii() == b"1");
    let limit = head.fields.values(names.limit).next();
    let brittle = head.fields.values(names.brittle).next();
    let pause = head.fields.values(RETRY_AFTER).next().filter(|_| head.status == UNAVAILABLE);
    let cold = head.fields.values(names.cold).next();
    ServerNotice {
        leaving,
        limit: limit.map_or(LimitNotice::Absent, read_limit),
        brittle: brittle.map_or(LimitNotice::Absent, read_limit),
        pause: pause.map_or(PauseNotice::Absent, read_pause),
        speed_percent: head.fields.values(names.load).next().and_then(read_stated_speed),
        cold_millis: cold.and_then(read_decimal).map_or(0, |millis| millis as u32),
    }
}

/// Reads the value of `Retry-After`, a decimal number of seconds.
pub fn read_pause(value: &[u8]) -> PauseNotice {
    read_decimal(value).map_or(PauseNotice::Unreadable, |seconds| {
        PauseNotice::Asked(Duration::from_secs_f64(seconds))
    })
}

/// Reads a limit, a decimal number of requests per second.
pub fn read_limit(value: &[u8]) -> LimitNotice {
    read_decimal(value).map_or(LimitNotice::Unreadable, |rate| {
        // A rate that does not fit is none that binds.
        let per_thousand_seconds = (rate * 1_000.0) as u32;
        LimitNotice::Named(RequestRate { per_thousand_seconds })
    })
}

/// Reads a decimal number without sign or exponent.
fn read_decimal(value: &[u8]) -> Option<f64> {
    let value = value.trim_ascii();
    let is_number = value.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let text = std::str::from_utf8(value).ok().filter(|_| is_number && value.len() <= MAX_DIGITS);
    text?.parse().ok()
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
        self.record_pause(server, notice.pause, source, request);
        if let Some(percent) = notice.speed_percent {
            self.record_stated_speed(server, percent, source);
        }
        if notice.cold_millis > 0 {
            self.record_cold(server, notice.cold_millis.into(), request);
        }
        self.record_brittle_notice(server, notice.brittle, source, request);
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

    /// Records that a server asked this router for a pause, or answered without asking for one.
    fn record_pause(
        &self,
        server: ServerId,
        pause: PauseNotice,
        source: NoticeSource,
        request: &str,
    ) {
        let mut pauses = self.pauses.borrow_mut();
        match (pause, source) {
            (PauseNotice::Asked(length), _) => {
                metrics::counter!("catkin_entry_pauses_total").increment(1);
                log::info!(
                    "servers: server asks for a pause; no requests until its end. server={server} \
                     millis={} request={request}",
                    length.as_millis()
                );
                pauses.record_pause(self.now(), server, length);
            }
            (PauseNotice::Unreadable, _) => {
                metrics::counter!("catkin_entry_unreadable_pauses_total").increment(1);
                log::info!(
                    "servers: pause is no decimal number of seconds; ignoring it. server={server} \
                     request={request}"
                );
            }
            (PauseNotice::Absent, NoticeSource::Answer(sent)) => pauses.record_answer(server, sent),
            (PauseNotice::Absent, NoticeSource::Other(_)) => {}
        }
    }

    /// Records how long work takes at a server, as it stated.
    fn record_stated_speed(&self, server: ServerId, percent: u32, source: NoticeSource) {
        let now = self.now();
        let stated = match source {
            NoticeSource::Answer(_) => now,
            NoticeSource::Other(sent) => sent,
        };
        let statement = SpeedStatement { server, percent, stated };
        if self.stated_speeds.borrow_mut().record_statement(now, statement) {
            self.updates.borrow_mut().stated_speeds.insert(server, statement);
        }
    }

    /// Whether a pause that a server asked for is in force.
    pub(crate) fn is_paused(&self, server: ServerId) -> bool {
        self.pauses.borrow().is_paused(self.now(), server)
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

//! Plans the orders that bring servers to their declared state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use catkin_base::{ClockTime, ServerId, copy_type, value_type};

use crate::desired_state::ServerTarget;
use crate::order_number::OrderNumber;

copy_type! {
    /// Limits on orders.
    pub struct OrderLimits {
        /// Maximum number of servers that load models from the weight store at the same time.
        pub loads_at_once: u32,
        /// Minimum time between the starts of two model loads.
        pub load_spacing: Duration,
        /// Time after which a load that no report confirmed counts as failed.
        pub load_timeout: Duration,
        /// Time after which an unanswered order is sent again under a new number.
        pub retry_after: Duration,
    }
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            loads_at_once: 4,
            load_spacing: Duration::from_secs(1),
            load_timeout: Duration::from_secs(300),
            retry_after: Duration::from_secs(6),
        }
    }
}

value_type! {
    /// An order to one server.
    pub struct ServerOrder {
        /// The server.
        pub server: ServerId,
        /// Its address.
        pub address: SocketAddr,
        /// Whether the server itself refuses an order with an old fencing token.
        pub checks_fencing: bool,
        /// Number of the order.
        pub number: OrderNumber,
        /// Revision of the declarations that the desired state follows from.
        pub generation: u64,
        /// Desired state as JSON text.
        pub desired: String,
    }
}

copy_type! {
    /// Outcome of delivering an order.
    pub enum OrderReply {
        /// The server accepted the order.
        Accepted,
        /// A newer order was accepted before; this is its fencing token.
        Older(u64),
        /// The order was not sent, for example because the gate did not admit it yet.
        Held,
        /// The order was or may have been sent, and no answer was received.
        Unanswered,
    }
}

value_type! {
    /// State of a server, as reported by its owner.
    pub struct StateReport {
        /// The server.
        pub server: ServerId,
        /// Incarnation of the server's process.
        pub incarnation: u64,
        /// Loaded models.
        pub models: Vec<String>,
        /// Highest fencing token among the orders that the server accepted.
        pub fence: u64,
        /// Whether an older order took effect after a newer one.
        pub undone: bool,
    }
}

copy_type! {
    /// Effect of a report or a reply on the holder of the lease.
    pub enum ReportEffect {
        /// The holder continues.
        None,
        /// Another holder has sent orders under a later term, so this one must stop.
        Superseded,
    }
}

#[derive(Debug, Clone, Copy)]
enum OrderProgress {
    /// No order was sent to the server under this term, or one has to be sent again.
    Due,
    /// An order was sent, and its answer is pending or lost.
    Sent { number: OrderNumber, sent_at: ClockTime },
    /// The server accepted the order.
    Accepted { number: OrderNumber, accepted_at: ClockTime },
}

struct ServerEntry {
    target: ServerTarget,
    progress: OrderProgress,
    incarnation: Option<u64>,
    loaded: Vec<String>,
    /// Whether the server accepted exactly this state under this term and has loaded all its
    /// models. Only then does a repeated order load no more than the models missing in its report.
    is_state_accepted: bool,
    /// When the order that started a model load was sent; `None` if the server is not loading.
    loading_since: Option<ClockTime>,
}

impl ServerEntry {
    fn count_missing(&self) -> u32 {
        let models = self.target.models.iter();
        models.filter(|model| !self.loaded.contains(model)).count() as u32
    }

    /// Resets the progress, which belongs to an earlier term, process or desired state.
    fn reset(&mut self) {
        self.progress = OrderProgress::Due;
        self.is_state_accepted = false;
        self.loading_since = None;
    }

    /// Maximum number of models that an order makes the server load.
    fn count_loads(&self) -> u32 {
        if self.is_state_accepted { self.count_missing() } else { self.target.models.len() as u32 }
    }

    fn is_due(&self, limits: OrderLimits, now: ClockTime) -> bool {
        if self.incarnation.is_none() {
            return false;
        }
        match self.progress {
            OrderProgress::Due => true,
            OrderProgress::Sent { sent_at, .. } => now.since(sent_at) >= limits.retry_after,
            OrderProgress::Accepted { accepted_at, .. } => {
                self.count_missing() > 0 && now.since(accepted_at) >= limits.load_timeout
            }
        }
    }

    fn is_loading(&self, limits: OrderLimits, now: ClockTime) -> bool {
        self.loading_since.is_some_and(|since| now.since(since) < limits.load_timeout)
    }
}

/// Plans the orders of the lease's holder. It does not hold the lease itself: the caller checks the
/// lease immediately before it sends an order.
pub struct OrderPlanner {
    limits: OrderLimits,
    term: u32,
    sequence: u32,
    revision: u64,
    servers: BTreeMap<ServerId, ServerEntry>,
    next_load_at: ClockTime,
    superseded: bool,
}

impl OrderPlanner {
    /// Creates a planner without servers and without a term.
    pub fn new(limits: OrderLimits) -> Self {
        Self {
            limits,
            term: 0,
            sequence: 0,
            revision: 0,
            servers: BTreeMap::new(),
            next_load_at: ClockTime::ZERO,
            superseded: false,
        }
    }

    /// The current term; zero if none has begun.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// Begins a term. Progress recorded under an earlier term is discarded.
    pub fn begin_term(&mut self, term: u32) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.sequence = 0;
        self.superseded = false;
        for entry in self.servers.values_mut() {
            entry.reset();
        }
    }

    /// Sets the targets of a revision of the declarations. A revision older than the current one is
    /// ignored.
    pub fn set_targets(&mut self, revision: u64, targets: Vec<ServerTarget>) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let mut former = std::mem::take(&mut self.servers);
        for target in targets {
            let entry = match former.remove(&target.server) {
                Some(entry) => replace_target(entry, target),
                None => create_entry(target),
            };
            self.servers.insert(entry.target.server, entry);
        }
    }

    /// Records the state that a server's owner reported.
    pub fn record_report(&mut self, report: &StateReport, now: ClockTime) -> ReportEffect {
        if self.check_superseded(report.fence) {
            return ReportEffect::Superseded;
        }
        let Some(entry) = self.servers.get_mut(&report.server) else {
            return ReportEffect::None;
        };
        let restarted = entry.incarnation.is_some_and(|known| known != report.incarnation);
        if restarted || report.undone {
            entry.reset();
        }
        entry.incarnation = Some(report.incarnation);
        entry.loaded.clone_from(&report.models);
        entry.progress = progress_after_report(entry.progress, report.fence, now);
        let accepted = matches!(entry.progress, OrderProgress::Accepted { .. });
        if accepted && entry.count_missing() == 0 {
            entry.is_state_accepted = true;
            entry.loading_since = None;
        }
        ReportEffect::None
    }

    /// Returns the next order that is due and marks it as sent. Servers with the most missing
    /// models come first.
    pub fn next_order(&mut self, now: ClockTime) -> Option<ServerOrder> {
        if self.term == 0 || self.superseded {
            return None;
        }
        let server = self.choose_server(now)?;
        let entry = self.servers.get_mut(&server)?;
        self.sequence += 1;
        let number = OrderNumber { term: self.term, sequence: self.sequence };
        let loads = entry.count_loads();
        if loads > 0 && !entry.is_loading(self.limits, now) {
            entry.loading_since = Some(now);
            self.next_load_at = now.plus(self.limits.load_spacing * loads);
        }
        entry.progress = OrderProgress::Sent { number, sent_at: now };
        Some(ServerOrder {
            server,
            address: entry.target.address,
            checks_fencing: entry.target.checks_fencing,
            number,
            generation: self.revision,
            desired: entry.target.desired.clone(),
        })
    }

    fn choose_server(&self, now: ClockTime) -> Option<ServerId> {
        let limits = self.limits;
        let loading = self.servers.values().filter(|entry| entry.is_loading(limits, now)).count();
        let may_load = loading < limits.loads_at_once as usize && now >= self.next_load_at;
        let is_ready = |entry: &&ServerEntry| {
            let loads = entry.count_loads() > 0 && !entry.is_loading(limits, now);
            entry.is_due(limits, now) && (may_load || !loads)
        };
        let ready = self.servers.values().filter(is_ready);
        ready.max_by_key(|entry| entry.count_missing()).map(|entry| entry.target.server)
    }

    /// Returns whether a fencing token belongs to a later term; if so, no more orders are planned
    /// in the current term.
    fn check_superseded(&mut self, fence: u64) -> bool {
        let is_later = OrderNumber::from_fence(fence).term > self.term;
        self.superseded |= is_later && self.term > 0;
        is_later && self.term > 0
    }

    /// Records the reply to an order.
    pub fn record_reply(
        &mut self,
        order: &ServerOrder,
        reply: OrderReply,
        now: ClockTime,
    ) -> ReportEffect {
        if let OrderReply::Older(newest) = reply
            && self.check_superseded(newest)
        {
            return ReportEffect::Superseded;
        }
        let Some(entry) = self.servers.get_mut(&order.server) else { return ReportEffect::None };
        let is_latest = matches!(
            entry.progress,
            OrderProgress::Sent { number, .. } if number == order.number
        );
        if !is_latest {
            return ReportEffect::None;
        }
        match reply {
            OrderReply::Accepted => {
                entry.progress = OrderProgress::Accepted { number: order.number, accepted_at: now };
            }
            OrderReply::Older(_) => entry.progress = OrderProgress::Due,
            OrderReply::Held | OrderReply::Unanswered => {}
        }
        ReportEffect::None
    }

    /// Counts the servers that have not accepted their current order.
    pub fn count_unaccepted(&self) -> usize {
        let accepted =
            |entry: &&ServerEntry| matches!(entry.progress, OrderProgress::Accepted { .. });
        self.servers.len() - self.servers.values().filter(accepted).count()
    }
}

fn create_entry(target: ServerTarget) -> ServerEntry {
    ServerEntry {
        target,
        progress: OrderProgress::Due,
        incarnation: None,
        loaded: Vec::new(),
        is_state_accepted: false,
        loading_since: None,
    }
}

fn replace_target(mut entry: ServerEntry, target: ServerTarget) -> ServerEntry {
    if entry.target.desired != target.desired {
        entry.reset();
    }
    entry.target = target;
    entry
}

/// An order whose number the server reports as its newest was accepted. If the server reports a
/// higher number than that of the accepted order, an order has to be sent again.
fn progress_after_report(progress: OrderProgress, fence: u64, now: ClockTime) -> OrderProgress {
    match progress {
        OrderProgress::Sent { number, .. } if fence == number.fence() => {
            OrderProgress::Accepted { number, accepted_at: now }
        }
        OrderProgress::Accepted { number, .. } if fence > number.fence() => OrderProgress::Due,
        progress => progress,
    }
}

//! Plans orders that bring servers to what the declarations want.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use catkin_base::{ClockTime, ServerId, copy_type, value_type};

use crate::desired_state::ServerTarget;
use crate::order_number::OrderNumber;

copy_type! {
    /// Bounds on orders.
    pub struct OrderLimits {
        /// Servers that load models from the weight store at once.
        pub loads_at_once: u32,
        /// Time between the starts of two model loads.
        pub load_spacing: Duration,
        /// Time after which a load that did not show counts as failed.
        pub load_timeout: Duration,
        /// Time after which an order without an answer is given anew.
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
        /// Whether it refuses an order with an old fencing number.
        pub checks_fencing: bool,
        /// The order's number.
        pub number: OrderNumber,
        /// Revision of the declarations that it follows.
        pub generation: u64,
        /// Desired state.
        pub desired: String,
    }
}

copy_type! {
    /// What came back of an order.
    pub enum OrderReply {
        /// The server took it.
        Accepted,
        /// A newer order was taken before; this is its fencing number.
        Older(u64),
        /// The gate did not let it pass yet, and it was not sent.
        Held,
        /// It was sent, or may have been, and nothing came back.
        Unanswered,
    }
}

value_type! {
    /// What a server's owner reports of it.
    pub struct ServerReport {
        /// The server.
        pub server: ServerId,
        /// Identifies the server's process.
        pub incarnation: u64,
        /// Models loaded.
        pub models: Vec<String>,
        /// Highest fencing number of an order that it took.
        pub fence: u64,
        /// Whether an older order took effect after a newer one.
        pub undone: bool,
    }
}

copy_type! {
    /// What a report or a reply means for the holder.
    pub enum ReportEffect {
        /// Nothing that would stop it.
        None,
        /// Another holder has given orders under a later term: this one must stop.
        Superseded,
    }
}

#[derive(Debug, Clone, Copy)]
enum OrderProgress {
    /// Nothing is known of the server under this term, or an order has to be given anew.
    Due,
    /// An order is under way, or its answer was lost.
    Sent { number: OrderNumber, sent_at: ClockTime },
    /// The server took the order.
    Accepted { number: OrderNumber, accepted_at: ClockTime },
}

struct ServerEntry {
    target: ServerTarget,
    progress: OrderProgress,
    incarnation: Option<u64>,
    loaded: Vec<String>,
    /// Whether the server took this very state under this term, so that only models that it does
    /// not report have to be loaded.
    is_known: bool,
    /// When the order that makes it load was given; `None` if it loads nothing.
    loading_since: Option<ClockTime>,
}

impl ServerEntry {
    fn missing(&self) -> u32 {
        let models = self.target.models.iter();
        models.filter(|model| !self.loaded.contains(model)).count() as u32
    }

    /// Forgets what was known under an earlier term or of an earlier process.
    fn forget(&mut self) {
        self.progress = OrderProgress::Due;
        self.is_known = false;
        self.loading_since = None;
    }

    /// Models that an order may make the server load.
    fn loads(&self) -> u32 {
        if self.is_known { self.missing() } else { self.target.models.len() as u32 }
    }

    fn is_due(&self, limits: OrderLimits, now: ClockTime) -> bool {
        if self.incarnation.is_none() {
            return false;
        }
        match self.progress {
            OrderProgress::Due => true,
            OrderProgress::Sent { sent_at, .. } => now.since(sent_at) >= limits.retry_after,
            OrderProgress::Accepted { accepted_at, .. } => {
                self.missing() > 0 && now.since(accepted_at) >= limits.load_timeout
            }
        }
    }

    fn is_loading(&self, limits: OrderLimits, now: ClockTime) -> bool {
        self.loading_since.is_some_and(|since| now.since(since) < limits.load_timeout)
    }
}

/// Orders of the lease's holder. It holds no lease itself: whoever sends an order checks the
/// lease right before.
pub struct OrderPlanner {
    limits: OrderLimits,
    term: u32,
    sequence: u32,
    generation: u64,
    servers: BTreeMap<ServerId, ServerEntry>,
    next_load_at: ClockTime,
    superseded: bool,
}

impl OrderPlanner {
    /// A planner without servers and without a term.
    pub fn new(limits: OrderLimits) -> Self {
        Self {
            limits,
            term: 0,
            sequence: 0,
            generation: 0,
            servers: BTreeMap::new(),
            next_load_at: ClockTime::ZERO,
            superseded: false,
        }
    }

    /// The term under which it gives orders.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// Starts a term. Nothing that was known under an earlier one counts.
    pub fn begin_term(&mut self, term: u32) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.sequence = 0;
        self.superseded = false;
        for entry in self.servers.values_mut() {
            entry.forget();
        }
    }

    /// Takes the targets of a revision. One that is older than the last is left aside.
    pub fn set_targets(&mut self, generation: u64, targets: Vec<ServerTarget>) {
        if generation < self.generation {
            return;
        }
        self.generation = generation;
        let mut former = std::mem::take(&mut self.servers);
        for target in targets {
            let entry = match former.remove(&target.server) {
                Some(entry) => retarget(entry, target),
                None => new_entry(target),
            };
            self.servers.insert(entry.target.server, entry);
        }
    }

    /// Takes a server's report.
    pub fn record_report(&mut self, report: &ServerReport, now: ClockTime) -> ReportEffect {
        if self.is_superseded_by(report.fence) {
            return ReportEffect::Superseded;
        }
        let Some(entry) = self.servers.get_mut(&report.server) else {
            return ReportEffect::None;
        };
        let restarted = entry.incarnation.is_some_and(|known| known != report.incarnation);
        if restarted || report.undone {
            entry.forget();
        }
        entry.incarnation = Some(report.incarnation);
        entry.loaded.clone_from(&report.models);
        entry.progress = progress_after_report(entry.progress, report.fence, now);
        let taken = matches!(entry.progress, OrderProgress::Accepted { .. });
        if taken && entry.missing() == 0 {
            entry.is_known = true;
            entry.loading_since = None;
        }
        ReportEffect::None
    }

    /// The next order that is due, or `None`. It counts as sent from now on. Servers that lack a
    /// model come first.
    pub fn next_order(&mut self, now: ClockTime) -> Option<ServerOrder> {
        if self.term == 0 || self.superseded {
            return None;
        }
        let server = self.choose_server(now)?;
        let entry = self.servers.get_mut(&server)?;
        self.sequence += 1;
        let number = OrderNumber { term: self.term, sequence: self.sequence };
        let loads = entry.loads();
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
            generation: self.generation,
            desired: entry.target.desired.clone(),
        })
    }

    fn choose_server(&self, now: ClockTime) -> Option<ServerId> {
        let limits = self.limits;
        let loading = self.servers.values().filter(|entry| entry.is_loading(limits, now)).count();
        let may_load = loading < limits.loads_at_once as usize && now >= self.next_load_at;
        let is_ready = |entry: &&ServerEntry| {
            let loads = entry.loads() > 0 && !entry.is_loading(limits, now);
            entry.is_due(limits, now) && (may_load || !loads)
        };
        let ready = self.servers.values().filter(is_ready);
        ready.max_by_key(|entry| entry.missing()).map(|entry| entry.target.server)
    }

    /// Whether a fencing number is of a later term; if so, no more orders are given in this one.
    fn is_superseded_by(&mut self, fence: u64) -> bool {
        let is_later = OrderNumber::from_fence(fence).term > self.term;
        self.superseded |= is_later && self.term > 0;
        is_later && self.term > 0
    }

    /// Takes the reply to an order.
    pub fn record_reply(
        &mut self,
        order: &ServerOrder,
        reply: OrderReply,
        now: ClockTime,
    ) -> ReportEffect {
        if let OrderReply::Older(newest) = reply
            && self.is_superseded_by(newest)
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

    /// Servers that have not yet taken the order that they are to follow.
    pub fn count_unaccepted(&self) -> usize {
        let taken = |entry: &&ServerEntry| matches!(entry.progress, OrderProgress::Accepted { .. });
        self.servers.len() - self.servers.values().filter(taken).count()
    }
}

fn new_entry(target: ServerTarget) -> ServerEntry {
    ServerEntry {
        target,
        progress: OrderProgress::Due,
        incarnation: None,
        loaded: Vec::new(),
        is_known: false,
        loading_since: None,
    }
}

fn retarget(mut entry: ServerEntry, target: ServerTarget) -> ServerEntry {
    if entry.target.desired != target.desired {
        entry.forget();
    }
    entry.target = target;
    entry
}

/// An order that the server reports as its newest was taken; a lower number means that the server
/// has lost what it took.
fn progress_after_report(progress: OrderProgress, fence: u64, now: ClockTime) -> OrderProgress {
    match progress {
        OrderProgress::Sent { number, .. } if fence == number.fence() => {
            OrderProgress::Accepted { number, accepted_at: now }
        }
        OrderProgress::Accepted { number, .. } if fence > number.fence() => OrderProgress::Due,
        progress => progress,
    }
}

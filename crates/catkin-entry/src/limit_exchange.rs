//! Records the limits that servers name, and exchanges with the other routers what is needed to keep
//! them together: the limits, the requests sent to such servers, and the requests for their services.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, ServerId};
use catkin_peer::messages::{EntryReport, NamedLimit, ServiceDemand};
use catkin_policy::{LimitShare, LimitStatement, RequestRate, compute_fraction};

use crate::load_table::ServiceKey;
use crate::state::EntryState;

/// Time constant with which requests for a service lose their weight, in seconds. Reports of other
/// routers are late; with a shorter one, each router would see its own part of a sudden crowd first.
pub(crate) const DEMAND_SECONDS: f64 = 5.0;
/// Weight below which requests for a service are forgotten.
const MIN_DEMAND: f64 = 0.01;
/// Number of reports that each limit is sent in. Reports are datagrams, which may be lost.
const REPORTS_PER_LIMIT: u32 = 3;
/// Maximum number of limits in one report, so that it fits a datagram with what else it has.
pub(crate) const MAX_LIMITS: usize = 12;
/// Counts are reported in hundredths.
const COUNT_SCALE: f64 = 100.0;

/// Recent requests of callers by service, each weighted by its age.
#[derive(Debug, Default)]
pub(crate) struct DemandCounter {
    services: BTreeMap<ServiceKey, (f64, ClockTime)>,
}

impl DemandCounter {
    /// Counts a request for a service.
    pub(crate) fn record_request(&mut self, now: ClockTime, service: ServiceKey) {
        let demand = self.demand(now, service) + 1.0;
        self.services.insert(service, (demand, now));
    }

    /// The recent requests for a service.
    pub(crate) fn demand(&self, now: ClockTime, service: ServiceKey) -> f64 {
        self.services.get(&service).map_or(0.0, |(demand, at)| {
            demand * (-(now.millis_since(*at) as f64) / 1_000.0 / DEMAND_SECONDS).exp()
        })
    }

    /// The requests for a service in a second.
    pub(crate) fn rate(&self, now: ClockTime, service: ServiceKey) -> f64 {
        self.demand(now, service) / DEMAND_SECONDS
    }

    /// Forgets services without recent requests.
    pub(crate) fn remove_expired(&mut self, now: ClockTime) {
        let services: Vec<ServiceKey> = self.services.keys().copied().collect();
        for service in services {
            if self.demand(now, service) < MIN_DEMAND {
                self.services.remove(&service);
            }
        }
    }
}

/// Limits that are still to be reported, and in how many reports.
#[derive(Debug, Default)]
pub(crate) struct LimitUpdates {
    pending: BTreeMap<ServerId, (LimitStatement, u32)>,
}

impl LimitUpdates {
    /// Queues a statement; it replaces an earlier one of the same server.
    pub(crate) fn push(&mut self, statement: LimitStatement) {
        self.pending.insert(statement.server, (statement, REPORTS_PER_LIMIT));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Moves the next limits to a report, those reported least often first, and queues them in
    /// `relayed`, if there is such a queue.
    pub(crate) fn fill_report(
        &mut self,
        now: ClockTime,
        report: &mut EntryReport,
        mut relayed: Option<&mut Self>,
    ) {
        let mut order: Vec<(u32, ServerId)> =
            self.pending.iter().map(|(server, (_, reports))| (*reports, *server)).collect();
        order.sort_by_key(|(reports, _)| std::cmp::Reverse(*reports));
        for (_, server) in order.into_iter().take(MAX_LIMITS) {
            let Some((statement, reports)) = self.pending.get_mut(&server) else { continue };
            report.limits.push(encode_limit(now, statement));
            if let Some(relayed) = relayed.as_deref_mut() {
                relayed.push(*statement);
            }
            *reports -= 1;
            if *reports == 0 {
                self.pending.remove(&server);
            }
        }
    }
}

impl<W> EntryState<W> {
    /// Records what a server stated of its limit, here or, as reported, to another router. Returns
    /// whether it is new.
    pub(crate) fn record_limit(&self, statement: LimitStatement, source: &str) -> bool {
        let LimitStatement { server, rate, .. } = statement;
        if !self.limits.borrow_mut().record_statement(self.now(), statement) {
            return false;
        }
        log::info!(
            "servers: limit on the requests of all routers changed. server={server} \
             per_second={} source={source}",
            rate.map_or_else(|| "-".to_owned(), |rate| rate.per_second().to_string())
        );
        self.selection_input_change.notify_waiters();
        true
    }

    /// Returns this router's share of the limits of a service, as a function of the server.
    pub(crate) fn compute_limit_share(&self, service: &str) -> impl Fn(ServerId) -> LimitShare {
        let now = self.now();
        let service = ServiceKey::from_name(service);
        let loads = self.loads.borrow();
        let own = self.demands.borrow().demand(now, service);
        let others = decode_count(loads.reported_demand(service));
        let fraction =
            compute_fraction(own, others, loads.live_routers(now), self.budget_routers());
        let service_rate = (own + others) / DEMAND_SECONDS;
        move |server| LimitShare {
            fraction,
            other_sends: decode_count(loads.reported_sends(server)),
            service_rate,
        }
    }

    /// Updates what this router reports of its requests to servers that name limits, and for services that
    /// are short of room.
    pub(crate) fn update_local_rates(&self) {
        let now = self.now();
        self.sample_cold_sends();
        let limits = self.limits.borrow();
        let cold = self.cold.borrow();
        let rooms = self.rooms.borrow();
        let short: BTreeSet<&str> = rooms.short_services(now).collect();
        let brittle = self.brittle.borrow();
        if limits.is_empty() && cold.table.is_empty() && brittle.is_empty() && short.is_empty() {
            return self.loads.borrow_mut().set_local_rates(BTreeMap::new(), BTreeMap::new());
        }
        // A server that is cold and names a limit is in both tables, with the same requests.
        let sends = limits.recent_sends(now).chain(cold.table.recent_sends(now));
        let sends = sends.map(|(server, sends)| (server, encode_count(sends)));
        let sends = sends.filter(|(_, sends)| *sends > 0).collect();
        let servers = self.servers.borrow();
        let limited = limits.statements().map(|statement| statement.server);
        let limited = limited.chain(brittle.statements().map(|statement| statement.server));
        let limited = limited.chain(cold.table.recent_sends(now).map(|(server, _)| server));
        let limited = limited.filter_map(|server| servers.get(server));
        let mut services: BTreeSet<&str> =
            limited.map(|known| known.record.service.as_str()).collect();
        services.extend(short);
        let demands = self.demands.borrow();
        let demands = services.into_iter().map(|service| {
            let service = ServiceKey::from_name(service);
            (service, encode_count(demands.demand(now, service)))
        });
        self.loads.borrow_mut().set_local_rates(sends, demands.collect());
    }
}

pub(crate) fn encode_count(count: f64) -> u32 {
    (count * COUNT_SCALE) as u32
}

pub(crate) fn decode_count(count: u32) -> f64 {
    f64::from(count) / COUNT_SCALE
}

pub(crate) fn encode_limit(now: ClockTime, statement: &LimitStatement) -> NamedLimit {
    NamedLimit {
        server: statement.server.0,
        per_thousand_seconds: statement.rate.map_or(0, |rate| rate.per_thousand_seconds),
        ended: statement.rate.is_none(),
        age_millis: u32::try_from(now.millis_since(statement.stated)).unwrap_or(u32::MAX),
    }
}

pub(crate) fn decode_limit(now: ClockTime, row: &NamedLimit) -> LimitStatement {
    let rate = RequestRate { per_thousand_seconds: row.per_thousand_seconds };
    LimitStatement {
        server: ServerId(row.server),
        rate: (!row.ended).then_some(rate),
        stated: now.minus_millis(u64::from(row.age_millis)),
    }
}

pub(crate) fn encode_demand((service, requests): (&ServiceKey, &u32)) -> ServiceDemand {
    ServiceDemand { service: service.0, requests: *requests }
}

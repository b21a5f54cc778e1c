//! Records which servers are cold, from whatever shows it, and exchanges it with the other routers.
//!
//! A server is cold as its entry, an answer or another router says, and for the time that its service
//! declares after it appears in the list, after an attempt there failed, and after its failure domain
//! was evacuated. After a pause of the process, all servers count as cold for a moment. Services that
//! declare no cold time are left out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkin_base::{ClockTime, DomainId, ServerId};
use catkin_peer::messages::{ColdServer, EntryReport};
use catkin_policy::{ColdShare, ColdTable};

use crate::limit_exchange::{DEMAND_SECONDS, decode_count};
use crate::load_table::ServiceKey;
use crate::record::ColdRecord;
use crate::state::EntryState;
use crate::store_point::StorePoint;

/// Number of reports that each cold server is sent in. Reports are datagrams, which may be lost.
const REPORTS_PER_SERVER: u32 = 3;
/// Maximum number of cold servers in one report, so that it fits a datagram with what else it has.
pub(crate) const MAX_COLD: usize = 12;
/// Time for which all servers count as cold after a pause of the process, in milliseconds.
const PAUSE_MILLIS: u64 = 2_500;
/// Time without a check of the process after which it may have been paused, in milliseconds.
const MAX_CHECK_MILLIS: u64 = 900;
/// Age of the oldest report up to which all routers' requests are known, in milliseconds.
const FRESH_MILLIS: u64 = 600;
/// Time by which the clocks of servers and routers may differ, in milliseconds.
const CLOCK_ERROR_MILLIS: u64 = 3_000;
/// Longest time for which a server that is not listed yet counts as cold, in milliseconds.
const UNLISTED_MILLIS: u64 = 60_000;
/// Number of servers between two checks that are logged one by one.
const MAX_LOGGED: usize = 20;

/// Cold servers that are still to be reported: until when they are cold, and in how many reports.
#[derive(Debug, Default)]
pub(crate) struct ColdUpdates {
    pending: BTreeMap<ServerId, (ClockTime, u32)>,
}

impl ColdUpdates {
    /// Queues a server; it replaces an earlier row of it.
    pub(crate) fn push(&mut self, server: ServerId, until: ClockTime) {
        self.pending.insert(server, (until, REPORTS_PER_SERVER));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Moves the next servers to a report, those reported least often first, and queues them in
    /// `relayed`, if there is such a queue.
    pub(crate) fn fill_report(
        &mut self,
        now: ClockTime,
        report: &mut EntryReport,
        mut relayed: Option<&mut Self>,
    ) {
        self.pending.retain(|_, (until, _)| now < *until);
        let mut order: Vec<(u32, ServerId)> =
            self.pending.iter().map(|(server, (_, reports))| (*reports, *server)).collect();
        order.sort_by_key(|(reports, _)| std::cmp::Reverse(*reports));
        for (_, server) in order.into_iter().take(MAX_COLD) {
            let Some((until, reports)) = self.pending.get_mut(&server) else { continue };
            report.cold.push(encode_cold(now, (server, *until)));
            if let Some(relayed) = relayed.as_deref_mut() {
                relayed.push(server, *until);
            }
            *reports -= 1;
            if *reports == 0 {
                self.pending.remove(&server);
            }
        }
    }
}

/// What a router knows of cold servers.
#[derive(Debug)]
pub(crate) struct ColdWatch {
    pub(crate) table: ColdTable,
    /// Points of the entries that were read, by server.
    points: BTreeMap<ServerId, StorePoint>,
    /// When the process last ran.
    checked: ClockTime,
    /// Servers that turned cold since the last check.
    turned: usize,
}

impl ColdWatch {
    pub(crate) fn new(router: u64) -> Self {
        Self {
            table: ColdTable::new(router),
            points: BTreeMap::new(),
            checked: ClockTime::ZERO,
            turned: 0,
        }
    }

    pub(crate) fn remove_server(&mut self, server: ServerId) {
        self.table.remove_server(server);
        self.points.remove(&server);
    }
}

pub(crate) fn encode_cold(now: ClockTime, (server, until): (ServerId, ClockTime)) -> ColdServer {
    let remaining = u32::try_from(until.millis_since(now)).unwrap_or(u32::MAX);
    ColdServer { server: server.0, remaining_millis: remaining }
}

impl<W> EntryState<W> {
    /// What a service declares of cold servers.
    pub(crate) fn find_cold_record(&self, service: &str) -> Option<ColdRecord> {
        let table = self.route_table.borrow();
        let services = table.as_ref().map(|table| &table.declarations().services);
        services.and_then(|services| services.get(service)).and_then(|record| record.cold)
    }

    /// What the service of a listed server declares of cold servers.
    fn cold_record_of(&self, server: ServerId) -> Option<ColdRecord> {
        let servers = self.servers.borrow();
        servers.get(server).and_then(|known| self.find_cold_record(&known.record.service))
    }

    /// Records that a server is cold for a time, and queues it for the reports of this router.
    pub(crate) fn record_cold(&self, server: ServerId, millis: u64, source: &str) {
        let until = self.now().plus_millis(millis);
        if self.apply_cold(server, until, source) {
            self.updates.borrow_mut().cold.push(server, until);
        }
    }

    /// Records that a server is cold until a time; returns whether other routers are to learn of it. A
    /// time far beyond that after a start is cut.
    fn apply_cold(&self, server: ServerId, until: ClockTime, source: &str) -> bool {
        let now = self.now();
        // Reports of a server may arrive before its entry. It gets no requests until it is listed.
        let record = self.cold_record_of(server);
        let is_listed = self.servers.borrow().get(server).is_some();
        if is_listed && record.is_none() {
            return false;
        }
        let longest = record.map_or(UNLISTED_MILLIS, |record| 2 * record.start.as_millis() as u64);
        let until = until.min(now.plus_millis(longest));
        let mut watch = self.cold.borrow_mut();
        let was_cold = watch.table.is_cold(now, server);
        if !watch.table.record_cold(now, server, until) {
            return false;
        }
        if !was_cold {
            self.selection_input_change.notify_waiters();
            watch.turned += 1;
        }
        if !was_cold && watch.turned <= MAX_LOGGED {
            log::info!(
                "servers: server is cold; its requests are limited over all routers. \
                 server={server} millis={} source={source}",
                until.millis_since(now)
            );
        }
        true
    }

    /// Records the cold servers that another router reported; returns those that are new.
    pub(crate) fn apply_cold_report(
        &self,
        report: &EntryReport,
        source: &str,
    ) -> Vec<(ServerId, ClockTime)> {
        let now = self.now();
        let rows = report.cold.iter();
        let rows =
            rows.map(|row| (ServerId(row.server), now.plus_millis(row.remaining_millis.into())));
        rows.filter(|(server, until)| self.apply_cold(*server, *until, source)).collect()
    }

    /// Records what the entries of servers say, those that are new to this router. `appeared` are
    /// servers that appeared in the list; `is_first` says whether it is the first one of this process.
    pub(crate) fn record_cold_entries(&self, appeared: &BTreeSet<ServerId>, is_first: bool) {
        if !self.has_cold_services() {
            return;
        }
        let now = self.now();
        let mut found = Vec::new();
        let mut confirmed = Vec::new();
        let servers = self.servers.borrow();
        for known in servers.iter() {
            let Some(record) = self.find_cold_record(&known.record.service) else { continue };
            let before = self.cold.borrow_mut().points.insert(known.server, known.point);
            if before == Some(known.point) {
                continue;
            }
            let start = record.start.as_millis() as u64;
            let mut millis = u64::from(known.record.cold_millis);
            if appeared.contains(&known.server) {
                let after_start = if is_first {
                    rest_of_start(known.record.started_unix_millis, start)
                } else {
                    start
                };
                millis = millis.max(after_start);
            }
            if millis > 0 {
                found.push((known.server, millis))
            } else {
                confirmed.push(known.server)
            }
        }
        drop(servers);
        for server in confirmed {
            self.cold.borrow_mut().table.confirm_warm(now, server);
        }
        for (server, millis) in found {
            self.record_cold(server, millis, "store");
        }
    }

    fn has_cold_services(&self) -> bool {
        let table = self.route_table.borrow();
        let services = table.as_ref().map(|table| &table.declarations().services);
        services.is_some_and(|services| services.values().any(|record| record.cold.is_some()))
    }

    /// Records that a server was not reached, or broke off before its answer: it may have restarted.
    pub(crate) fn record_cold_failure(&self, server: ServerId) {
        if self.cold_record_of(server).is_none() {
            return;
        }
        let now = self.now();
        let mut watch = self.cold.borrow_mut();
        let was_cold = watch.table.is_cold(now, server);
        watch.turned += usize::from(!was_cold);
        if !was_cold && watch.turned <= MAX_LOGGED {
            log::info!(
                "servers: server may have restarted; it counts as cold until it is known. \
                 server={server}"
            );
        }
        watch.table.record_failure(now, server);
    }

    /// Records that a server answered.
    pub(crate) fn record_cold_answer(&self, server: ServerId) {
        if self.cold.borrow().table.is_empty() {
            return;
        }
        let Some(record) = self.cold_record_of(server) else { return };
        let start = record.start.as_millis() as u64;
        self.cold.borrow_mut().table.record_answer(self.now(), server, start);
    }

    /// Counts all servers as cold for a moment if the process was paused, as `is_paused` or the time
    /// since the last check says.
    pub(crate) fn check_cold_pause(&self, is_paused: bool) {
        let now = self.now();
        let before = std::mem::replace(&mut self.cold.borrow_mut().checked, now);
        let is_late = before > ClockTime::ZERO && now.millis_since(before) > MAX_CHECK_MILLIS;
        if !is_paused && !is_late || !self.has_cold_services() {
            return;
        }
        let listed = self.list_cold_servers(|_| true);
        log::info!(
            "servers: the process was paused; all servers count as cold for a moment. servers={}",
            listed.len()
        );
        for (server, _) in listed {
            let until = now.plus_millis(PAUSE_MILLIS);
            self.cold.borrow_mut().table.record_doubt(now, server, until);
        }
    }

    /// Treats all servers of a failure domain as if they had just started.
    pub(crate) fn expect_cold_servers(&self, domain: DomainId) {
        let listed = self.list_cold_servers(|name| DomainId::from_name(name) == domain);
        for (server, record) in listed {
            self.record_cold(server, record.start.as_millis() as u64, "evacuation");
        }
    }

    /// The listed servers, in the failure domains for which `includes` is true, of services that declare
    /// a cold time.
    fn list_cold_servers(&self, includes: impl Fn(&str) -> bool) -> Vec<(ServerId, ColdRecord)> {
        let servers = self.servers.borrow();
        let listed = servers.iter().filter(|known| includes(&known.record.domain));
        let listed = listed.filter_map(|known| {
            Some((known.server, self.find_cold_record(&known.record.service)?))
        });
        listed.collect()
    }

    /// Returns this router's share of the rate of the cold servers of a service, as a function of the
    /// server; `None` if the service declares no cold time or no server is cold.
    pub(crate) fn compute_cold_share(
        &self,
        service: &str,
    ) -> Option<impl Fn(ServerId) -> ColdShare> {
        let record = self.find_cold_record(service)?;
        if self.cold.borrow().table.is_empty() {
            return None;
        }
        let now = self.now();
        let settings = self.settings();
        let key = ServiceKey::from_name(service);
        let loads = self.loads.borrow();
        let own_rate = self.demands.borrow().demand(now, key) / DEMAND_SECONDS;
        let limit_share = self.compute_limit_share(service);
        let known = self.budget_routers();
        let is_fresh = loads.oldest_report_millis(now) < FRESH_MILLIS;
        let rate = f64::from(record.per_thousand_seconds) / 1_000.0;
        let template = ColdShare {
            rate,
            most: rate * settings.cold_overshoot + settings.cold_slack,
            fraction: 0.0,
            equal_fraction: 1.0 / f64::from(known.max(1)),
            other_sends: 0.0,
            own_rate,
            is_complete: is_fresh && loads.live_routers(now) >= known,
            knows_demand: decode_count(loads.reported_demand(key)) > 0.0,
        };
        drop(loads);
        Some(move |server| {
            let share = limit_share(server);
            let (fraction, other_sends) = (share.fraction, share.other_sends);
            ColdShare { fraction, other_sends, ..template }
        })
    }

    /// Samples what all routers sent to cold servers.
    pub(crate) fn sample_cold_sends(&self) {
        let now = self.now();
        let cold: Vec<ServerId> =
            self.cold.borrow().table.recent_sends(now).map(|(server, _)| server).collect();
        let mut services: BTreeMap<String, Vec<ServerId>> = BTreeMap::new();
        for server in cold {
            if let Some(known) = self.servers.borrow().get(server) {
                services.entry(known.record.service.clone()).or_default().push(server);
            }
        }
        for (service, servers) in services {
            let Some(share) = self.compute_cold_share(&service) else { continue };
            for server in servers {
                self.cold.borrow_mut().table.record_sample(now, server, &share(server));
            }
        }
    }

    /// Removes the servers that are warm, and logs how many turned cold without a line of their own.
    pub(crate) fn remove_warm_servers(&self) {
        let turned = std::mem::take(&mut self.cold.borrow_mut().turned);
        if turned > MAX_LOGGED {
            let more = turned - MAX_LOGGED;
            log::info!(
                "servers: further servers are cold; their requests are limited. servers={more}"
            );
        }
        let warm = self.cold.borrow_mut().table.remove_warm(self.now());
        for server in warm.iter().take(MAX_LOGGED) {
            log::info!("servers: server is warm; no limit any more. server={server}");
        }
        if warm.len() > MAX_LOGGED {
            let more = warm.len() - MAX_LOGGED;
            log::info!("servers: further servers are warm; no limit any more. servers={more}");
        }
        if !warm.is_empty() {
            self.selection_input_change.notify_waiters();
        }
    }
}

/// Time for which a server is still cold after its start by the wall clock, in milliseconds. Clocks that
/// differ by more than [`CLOCK_ERROR_MILLIS`] say nothing.
fn rest_of_start(started_unix_millis: u64, start: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let now = now.as_millis() as u64;
    if started_unix_millis > now.saturating_add(CLOCK_ERROR_MILLIS) {
        return 0;
    }
    start.saturating_sub(now.saturating_sub(started_unix_millis))
}

//! Applies evacuations of failure domains to the shared state, and exchanges them with the other routers.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use catkin_base::{DomainId, ServerId, VmId};
use catkin_peer::messages::EntryReport;

use crate::evacuation_client::record_evacuation_obeyed;
use crate::evacuation_table::{EvacuationChange, EvacuationReport, MAX_REPORTED_DOMAINS};
use crate::server_book::{KnownServer, ServerBook};
use crate::state::EntryState;
use crate::store_point::StorePoint;

/// How long after its start a router waits until it knows which domains are evacuated.
pub(crate) const EVACUATIONS_WAIT: Duration = Duration::from_millis(900);
/// Age in reports if the store has not confirmed the set to the sender itself.
const NO_AGE: u32 = u32::MAX;
/// Maximum number of changes at once that are logged one by one.
const MAX_LOGGED_CHANGES: usize = 20;
/// Maximum number of characters of a name in a log line.
const MAX_LOGGED_NAME: usize = 64;

impl<W> EntryState<W> {
    /// Fills the fields of a report that say which domains are evacuated.
    pub(crate) fn fill_evacuations(&self, report: &mut EntryReport) {
        let Some(known) = self.evacuations.borrow().build_report(self.now()) else { return };
        report.evacuated = known.domains.iter().map(|domain| domain.0).collect();
        report.evacuation_point = known.point.as_number();
        let age = known.age_millis.and_then(|millis| u32::try_from(millis).ok());
        report.evacuation_age_millis = age.unwrap_or(NO_AGE);
    }

    /// Applies these fields of another router's report. `source` is logged.
    pub(crate) fn apply_evacuation_report(&self, report: &EntryReport, source: VmId) {
        if report.evacuation_point == 0 || report.evacuated.len() > MAX_REPORTED_DOMAINS {
            return;
        }
        let reported = EvacuationReport {
            domains: report.evacuated.iter().copied().map(DomainId).collect(),
            point: StorePoint::from_number(report.evacuation_point),
            age_millis: Some(report.evacuation_age_millis)
                .filter(|millis| *millis != NO_AGE)
                .map(u64::from),
        };
        let changes = self.evacuations.borrow_mut().apply_report(self.now(), &reported);
        if !changes.is_empty() {
            self.apply_evacuation_changes(&changes, &source.to_string());
        }
    }

    /// Applies evacuations that began and ended: closes idle connections, and reports and logs it.
    pub(crate) fn apply_evacuation_changes(&self, changes: &[EvacuationChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        let servers = self.list_domain_servers();
        for (number, change) in changes.iter().enumerate() {
            let found = servers.get(&change.domain);
            if number < MAX_LOGGED_CHANGES {
                log_change(change, found, source);
            }
            if let Some((name, _)) = found {
                let obeyed = change.begins.then(unix_millis);
                record_evacuation_obeyed(name, obeyed);
            }
            if change.begins {
                let affected = found.map_or(&[][..], |(_, servers)| servers);
                affected.iter().for_each(|server| self.pool.borrow_mut().drop_idle_to(*server));
            } else {
                self.expect_cold_servers(change.domain);
            }
        }
        if changes.len() > MAX_LOGGED_CHANGES {
            log::warn!(
                "evacuations: many objects changed at once; the others are not logged. \
                 changes={} evacuated={} source={source}",
                changes.len(),
                self.evacuations.borrow().len()
            );
        }
        self.updates.borrow_mut().send_now = true;
        self.selection_input_change.notify_waiters();
    }

    /// The name and the servers of each failure domain.
    fn list_domain_servers(&self) -> BTreeMap<DomainId, (String, Vec<ServerId>)> {
        let mut domains: BTreeMap<DomainId, (String, Vec<ServerId>)> = BTreeMap::new();
        for known in self.servers.borrow().iter() {
            let found = domains.entry(known.domain);
            let (_, servers) = found.or_insert_with(|| (known.record.domain.clone(), Vec::new()));
            servers.push(known.server);
        }
        domains
    }

    /// Servers of `service` that may get requests.
    pub(crate) fn usable_servers<'a>(
        &'a self,
        servers: &'a ServerBook,
        service: &'a str,
    ) -> impl Iterator<Item = &'a KnownServer> {
        let evacuations = self.evacuations.borrow();
        servers.usable(service).filter(move |known| !evacuations.contains(known.domain))
    }

    /// Number of servers of `service` that get no requests since their domains are evacuated.
    pub(crate) fn count_evacuated(&self, service: &str) -> usize {
        let evacuations = self.evacuations.borrow();
        if evacuations.is_empty() {
            return 0;
        }
        let servers = self.servers.borrow();
        servers.usable(service).filter(|known| evacuations.contains(known.domain)).count()
    }

    /// Whether a server is in an evacuated domain.
    pub(crate) fn is_evacuated(&self, server: ServerId) -> bool {
        let evacuations = self.evacuations.borrow();
        let servers = self.servers.borrow();
        !evacuations.is_empty()
            && servers.get(server).is_some_and(|known| evacuations.contains(known.domain))
    }

    /// Whether a service has servers that could get requests, all of them in evacuated domains.
    pub(crate) fn is_service_evacuated(&self, service: &str) -> bool {
        !self.evacuations.borrow().is_empty()
            && self.usable_servers(&self.servers.borrow(), service).next().is_none()
            && self.count_evacuated(service) > 0
    }

    /// Records that a request was kept away from the evacuated servers of its service.
    pub(crate) fn record_kept_away(&self, service: &str, request: &str) {
        if self.evacuations.borrow().is_empty() {
            return;
        }
        let servers = self.servers.borrow();
        let mut evacuations = self.evacuations.borrow_mut();
        let evacuated = servers.usable(service).filter(|known| evacuations.contains(known.domain));
        let domains: BTreeMap<DomainId, &str> =
            evacuated.map(|known| (known.domain, known.record.domain.as_str())).collect();
        if domains.is_empty() {
            return;
        }
        metrics::counter!("catkin_entry_evacuated_total").increment(1);
        for (domain, name) in domains {
            if let Some(millis) = evacuations.record_kept_away(self.now(), domain) {
                log::info!(
                    "evacuations: first request kept away from a failure domain. domain={} \
                     request={request} known_millis={millis}",
                    shorten_name(name)
                );
            }
        }
    }

    /// Whether it is known which domains are evacuated, or was waited for long enough.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.evacuations.borrow().point().is_some()
            || self.settings().evacuation_bound().is_none()
            || self.started.elapsed() >= EVACUATIONS_WAIT
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn log_change(change: &EvacuationChange, found: Option<&(String, Vec<ServerId>)>, source: &str) {
    let listed = found.map(|(name, _)| name.as_str());
    let name = change.name.as_deref().or(listed);
    let name = name.map_or_else(|| change.domain.to_string(), shorten_name);
    let servers = found.map_or(0, |(_, servers)| servers.len());
    if !change.begins {
        log::info!(
            "evacuations: evacuation ended; requests go to its servers again. domain={name} \
             servers={servers} source={source}"
        );
    } else if servers == 0 {
        log::warn!(
            "evacuations: evacuated failure domain has no listed server; no effect until one is \
             listed. domain={name} source={source}"
        );
    } else {
        log::info!(
            "evacuations: failure domain is evacuated; no new requests to its servers. \
             domain={name} servers={servers} source={source}"
        );
    }
}

/// The begin of a name, without characters that would break a log line.
fn shorten_name(name: &str) -> String {
    let escaped = name.chars().flat_map(char::escape_default);
    escaped.take(MAX_LOGGED_NAME).collect()
}

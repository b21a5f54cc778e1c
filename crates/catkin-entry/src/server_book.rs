//! The backend servers that the store lists, with their departures.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, ServerId, hash_parts};

use crate::departure_table::{DepartureTable, ReportAudience, ServerDeparture};
use crate::origin_book::SoftwareKey;
use crate::record::ServerRecord;
use crate::store_point::StorePoint;

/// A server and the latest state of its entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownServer {
    /// Name of its entry in the store.
    pub name: String,
    /// Identifier of this incarnation of the server; changes when the server restarts.
    pub server: ServerId,
    /// Content of its entry.
    pub record: ServerRecord,
    /// Its failure domain.
    pub domain: DomainId,
    /// Key of its software version.
    pub software: SoftwareKey,
    /// Point of the last change of its entry.
    pub point: StorePoint,
    /// While its entry is missing: until when it may still be used.
    missing_until: Option<ClockTime>,
}

impl KnownServer {
    /// Whether its entry is missing from the store.
    pub fn is_missing(&self) -> bool {
        self.missing_until.is_some()
    }

    /// Whether this is a later incarnation than that of an entry in a copy from which the store was restored.
    fn is_later(&self, record: &ServerRecord, point: StorePoint) -> bool {
        let starts_later = self.record.started_unix_millis > record.started_unix_millis;
        starts_later && point.era() > self.point.era()
    }
}

/// Effect of an entry on the set of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// None that matters for requests.
    Unchanged,
    /// A server appeared or restarted.
    Appeared(ServerId),
    /// A server gets no further requests; others may still fetch cached parts from it.
    Leaving(ServerId),
    /// A server was removed.
    Removed(ServerId),
}

/// All listed servers, by the names of their entries.
#[derive(Debug, Clone, Default)]
pub struct ServerBook {
    servers: BTreeMap<String, KnownServer>,
    /// Names of entries by server identifier.
    names: BTreeMap<ServerId, String>,
    departures: DepartureTable,
    /// Point of the store that the list reflects; `None` before the first list.
    point: Option<StorePoint>,
    /// Point of the latest change of a server's entry.
    latest_change: StorePoint,
}

/// Derives the identifier of one incarnation of a server from its name, start time and address.
pub fn derive_server_id(name: &str, record: &ServerRecord) -> ServerId {
    let started = record.started_unix_millis.to_le_bytes();
    let address = record.address.to_string();
    ServerId(hash_parts(&[name.as_bytes(), &started, address.as_bytes()]))
}

impl ServerBook {
    /// Point of the store that the list of servers reflects; the earliest one before the first
    /// list.
    pub fn point(&self) -> StorePoint {
        self.point.unwrap_or_default()
    }

    /// Point of the latest change of a server's entry that is reflected. Unlike the point of the
    /// list it does not advance with writes of other kinds, so it is what routers compare.
    pub fn latest_change(&self) -> StorePoint {
        self.latest_change
    }

    /// Whether the servers were listed.
    pub fn is_listed(&self) -> bool {
        self.point.is_some()
    }

    /// Whether the list lacks a change of a server's entry that another router knows.
    pub fn is_outdated(&self, change: StorePoint) -> bool {
        change > self.point().max(self.latest_change)
    }

    /// Advances the point that the list reflects; an earlier one is ignored.
    pub fn advance_point(&mut self, point: StorePoint) {
        self.point = self.point.max(Some(point));
    }

    /// Applies an entry of the store; earlier points than the known one are ignored. `record` is
    /// `None` if the entry can't be used, and removes the server.
    ///
    /// The first entry of a new era may be older than what is known: a server that was leaving stays so, and
    /// for good if it stated that itself, and an earlier incarnation does not replace a later one.
    pub fn apply_entry(
        &mut self,
        now: ClockTime,
        name: &str,
        point: StorePoint,
        record: Option<ServerRecord>,
    ) -> ServerChange {
        self.latest_change = self.latest_change.max(point);
        let known = self.servers.get_mut(name);
        if known.as_ref().is_some_and(|known| known.point > point) {
            return ServerChange::Unchanged;
        }
        let Some(mut record) = record else { return self.remove_server(now, name, point) };
        if let Some(known) = known.as_ref().filter(|known| known.is_later(&record, point)) {
            record = known.record.clone();
        }
        let server = derive_server_id(name, &record);
        record.leaving = self.departures.apply_entry(now, server, point, record.leaving);
        if let Some(known) = known.filter(|known| known.server == server) {
            let left = record.leaving && !known.record.leaving;
            known.domain = DomainId::from_name(&record.domain);
            known.software = SoftwareKey::from_name(&record.software);
            known.record = record;
            known.point = point;
            known.missing_until = None;
            if left {
                let departure = ServerDeparture { server, point, stated: false };
                self.departures.record_departure(now, departure);
                return ServerChange::Leaving(server);
            }
            return ServerChange::Unchanged;
        }
        let leaving = record.leaving;
        let name = name.to_owned();
        let software = SoftwareKey::from_name(&record.software);
        let known = KnownServer {
            name: name.clone(),
            server,
            domain: DomainId::from_name(&record.domain),
            record,
            software,
            point,
            missing_until: None,
        };
        self.names.insert(server, name.clone());
        if let Some(before) = self.servers.insert(name, known) {
            self.names.remove(&before.server);
        }
        if leaving { ServerChange::Leaving(server) } else { ServerChange::Appeared(server) }
    }

    /// Applies the removal of an entry. Around an outage of the store the server may still be used, until
    /// `missing_until`.
    pub fn apply_removal(
        &mut self,
        now: ClockTime,
        name: &str,
        point: StorePoint,
        missing_until: Option<ClockTime>,
    ) -> ServerChange {
        self.latest_change = self.latest_change.max(point);
        self.drop_entry(now, name, point, missing_until)
    }

    /// Drops an entry that is missing as of `point`, which may be later than its removal.
    fn drop_entry(
        &mut self,
        now: ClockTime,
        name: &str,
        point: StorePoint,
        missing_until: Option<ClockTime>,
    ) -> ServerChange {
        let Some(known) = self.servers.get_mut(name) else { return ServerChange::Unchanged };
        if known.point > point {
            return ServerChange::Unchanged;
        }
        let Some(until) = missing_until else { return self.remove_server(now, name, point) };
        known.missing_until = Some(known.missing_until.map_or(until, |earlier| earlier.min(until)));
        ServerChange::Unchanged
    }

    /// Applies a complete list as of `point`; servers not in it are removed as in
    /// [`Self::apply_removal`].
    pub fn apply_list(
        &mut self,
        now: ClockTime,
        point: StorePoint,
        entries: Vec<(String, StorePoint, Option<ServerRecord>)>,
        missing_until: Option<ClockTime>,
    ) -> Vec<ServerChange> {
        let listed: std::collections::BTreeSet<&str> =
            entries.iter().map(|(name, ..)| name.as_str()).collect();
        let missing = self.servers.keys().filter(|name| !listed.contains(name.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        let mut changes = Vec::new();
        for name in missing {
            changes.push(self.drop_entry(now, &name, point, missing_until));
        }
        for (name, entry_point, record) in entries {
            changes.push(self.apply_entry(now, &name, entry_point, record));
        }
        self.advance_point(point);
        changes.retain(|change| *change != ServerChange::Unchanged);
        changes
    }

    /// Removes the servers whose entries stayed missing for too long and returns them. Also
    /// removes old departures.
    pub fn remove_missing(&mut self, now: ClockTime) -> Vec<ServerId> {
        let overdue = |known: &KnownServer| known.missing_until.is_some_and(|until| until <= now);
        let names: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, known)| overdue(known))
            .map(|(name, _)| name.clone())
            .collect();
        let mut dropped = Vec::new();
        for name in names {
            if let ServerChange::Removed(server) = self.remove_server(now, &name, StorePoint::MAX) {
                dropped.push(server);
            }
        }
        self.departures.remove_expired(now);
        dropped
    }

    /// Marks a server as leaving because another router reported its departure as of `point`;
    /// returns false if that is outdated or known.
    pub fn mark_leaving(&mut self, now: ClockTime, server: ServerId, point: StorePoint) -> bool {
        let name = self.names.get(&server);
        let Some(known) = name.and_then(|name| self.servers.get_mut(name)) else { return false };
        if known.point > point || known.record.leaving {
            return false;
        }
        known.record.leaving = true;
        let departure = ServerDeparture { server, point, stated: false };
        self.departures.record_departure(now, departure);
        true
    }

    /// Records that a server stated in an answer that it leaves, whether or not it is listed; returns
    /// false if that is known.
    pub fn record_leave_statement(&mut self, now: ClockTime, server: ServerId) -> bool {
        let is_new = self.departures.record_statement(now, server);
        let name = self.names.get(&server);
        let known = name.and_then(|name| self.servers.get_mut(name));
        let point = known.as_ref().map_or_else(StorePoint::default, |known| known.point);
        if let Some(known) = known {
            known.record.leaving = true;
        }
        if is_new {
            let departure = ServerDeparture { server, point, stated: true };
            self.departures.record_departure(now, departure);
        }
        is_new
    }

    /// The newest departures.
    pub fn departures(&self) -> impl Iterator<Item = ServerDeparture> {
        self.departures.newest()
    }

    /// Chooses the departures of the next report to an audience. Successive reports name all of them.
    pub fn choose_departures(&mut self, audience: ReportAudience) -> Vec<ServerDeparture> {
        self.departures.choose_reported(audience)
    }

    /// Whether departures wait for the next report.
    pub fn has_unreported_departures(&self) -> bool {
        self.departures.has_unreported()
    }

    /// How long it has been known that a server leaves, by its last statement or entry; `None` if neither
    /// says so.
    pub fn leave_age_millis(&self, now: ClockTime, server: ServerId) -> Option<u64> {
        self.departures.leave_age_millis(now, server)
    }

    /// Listed servers that stated that they leave, whatever their entries say.
    pub fn stated_leaves(&self) -> impl Iterator<Item = ServerDeparture> {
        let stated = self.iter().filter(|known| self.departures.has_stated(known.server));
        stated.map(|known| ServerDeparture {
            server: known.server,
            point: known.point,
            stated: true,
        })
    }

    /// Servers of `service` that may get requests.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownServer> {
        let servers = self.servers.values();
        servers.filter(move |known| known.record.service == service && !known.record.leaving)
    }

    /// Whether a server is listed and may get requests.
    pub fn may_get_requests(&self, server: ServerId) -> bool {
        self.get(server).is_some_and(|known| !known.record.leaving)
    }

    /// Servers of `service` that are leaving: they get no requests and still run.
    pub fn leaving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a KnownServer> {
        let servers = self.servers.values();
        servers.filter(move |known| known.record.service == service && known.record.leaving)
    }

    /// All servers, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    /// The server with this identifier.
    pub fn get(&self, server: ServerId) -> Option<&KnownServer> {
        self.names.get(&server).and_then(|name| self.servers.get(name))
    }

    /// Number of servers whose entries are missing.
    pub fn count_missing(&self) -> usize {
        self.iter().filter(|known| known.is_missing()).count()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Removes a server and records its departure.
    fn remove_server(&mut self, now: ClockTime, name: &str, point: StorePoint) -> ServerChange {
        let Some(known) = self.servers.remove(name) else { return ServerChange::Unchanged };
        self.names.remove(&known.server);
        // The latest point stands for none; the one of the entry is used then.
        let point = if point == StorePoint::MAX { known.point } else { point };
        let stated = self.departures.has_stated(known.server);
        let departure = ServerDeparture { server: known.server, point, stated };
        self.departures.record_departure(now, departure);
        if known.record.started_unix_millis == 0 {
            // A later incarnation has the same identifier.
            self.departures.forget_leave(known.server);
        }
        ServerChange::Removed(known.server)
    }
}

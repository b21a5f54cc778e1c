//! Builds the reports that a router sends to other routers, from the shared state.

use std::cell::RefCell;
use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    EntryReport, EntryScope, KeptPart, LeavingServer, OpenCount, OutcomeCount, PeerMessage,
    SlowServer,
};

use crate::cache_index::CachedPart;
use crate::departure_table::{ReportAudience, ServerDeparture};
use crate::limit_exchange::encode_demand;
use crate::load_table::{OpenLoad, ServiceKey};
use crate::origin_exchange::encode_standing;
use crate::origin_plan::WriterStanding;
use crate::reach_watch::reach_key;
use crate::speed_book::PEER_FACTOR_MILLIS;
use crate::speed_exchange::{encode_statement, fill_relayed_speeds};
use crate::state::{EntryState, RelayUpdates};
use crate::waiting_room::{TeamDemands, bound_team_demands, encode_team};

/// Maximum number of cached parts in one report, so that it fits a datagram.
const MAX_PARTS: usize = 24;
/// Maximum number of slow servers in a router's own report.
const MAX_SLOW: usize = 12;
/// Maximum number of servers with open requests in one fragment of a relay's report, so that it
/// fits a datagram.
const MAX_OPENS: usize = 40;
/// Maximum number of fragments that a relay sends at once in one direction. Updates that don't fit
/// are sent with the next report.
const MAX_FRAGMENTS: u32 = 64;

pub(crate) fn has_updates<W>(state: &EntryState<W>) -> bool {
    let updates = state.updates.borrow();
    updates.loads_changed
        || updates.send_now
        || !updates.limits.is_empty()
        || !updates.brittle.is_empty()
        || !updates.cold.is_empty()
        || !updates.cached_parts.is_empty()
        || !updates.crashes.is_empty()
        || state.servers.borrow().has_unreported_departures()
}

pub(crate) fn list_cached_parts<W>(state: &EntryState<W>) -> Vec<KeptPart> {
    let index = state.cache_index.borrow();
    index.parts().map(encode_part).collect()
}

pub(crate) fn encode_part(part: CachedPart) -> KeptPart {
    KeptPart { part: part.key, server: part.server.0, tokens: part.tokens }
}

pub(crate) fn encode_departure(departure: ServerDeparture) -> LeavingServer {
    let ServerDeparture { server, point, stated } = departure;
    LeavingServer { server: server.0, revision: point.as_number(), stated }
}

/// Chooses the departures that the next report to an audience names.
fn choose_leaving<W>(state: &EntryState<W>, audience: ReportAudience) -> Vec<LeavingServer> {
    let chosen = state.servers.borrow_mut().choose_departures(audience);
    chosen.into_iter().map(encode_departure).collect()
}

/// Builds the fields that every report has: versions, leaving servers, ejected servers.
pub(crate) fn build_status<W>(state: &EntryState<W>) -> EntryReport {
    let servers = state.servers.borrow();
    let leaving = servers.departures();
    let leaving = leaving.map(encode_departure);
    let outcomes = state.outcomes.borrow();
    // A router that may be cut off knows nothing of the servers that it can't connect to.
    let now = state.now();
    let reach = state.reach.borrow();
    let is_known = |server: &ServerId| {
        let known = servers.get(*server);
        known.is_none_or(|known| !reach.is_doubtful(now, reach_key(&known.record.service)))
    };
    let ejected = outcomes.local_ejections(now).filter(is_known);
    let ejected = ejected.map(ejected_count);
    let settings = state.settings();
    let standing = state.writer_standing();
    let callers_port = if state.is_stopping() { 0 } else { settings.callers.port() };
    let mut report = EntryReport {
        declaration: state.route_table().map_or(0, |table| table.version()),
        directory: servers.latest_change().as_number(),
        domain: state.local_domain.0,
        strength: settings.strength(),
        callers_port: callers_port.into(),
        stores_origins: standing == Some(WriterStanding::Able),
        origin_writer: encode_standing(standing).into(),
        stored_versions: state.origins.borrow().stored_digests(now),
        stopping_help: state.stopping_help(),
        lost_services: reach.suspected_services(now).map(|service| service.0).collect(),
        leaving: leaving.collect(),
        outcomes: ejected.collect(),
        ..EntryReport::default()
    };
    state.fill_evacuations(&mut report);
    report
}

/// Builds a report with the status, the open requests of this router and the servers that it found
/// slow, without updates.
pub(crate) fn build_load_report<W>(state: &EntryState<W>) -> EntryReport {
    state.update_local_rates();
    let mut report = build_status(state);
    report.demands = state.loads.borrow().local_demands().iter().map(encode_demand).collect();
    report.team_demands = state.local_team_demands().iter().map(encode_team).collect();
    report.opens = state.loads.borrow().local_loads().iter().map(open_count).collect();
    let speeds = state.speeds.borrow();
    let slow = speeds.local_slow(state.now()).take(MAX_SLOW);
    report.slow = slow.map(|(server, factor)| encode_slow(server, factor)).collect();
    report.routers = 1;
    report.pieces = 1;
    report
}

/// Builds a report with the status, the open requests and the updates since the last report. Every
/// cached part is sent in two successive reports.
pub(crate) fn build_report<W>(state: &EntryState<W>) -> EntryReport {
    let mut report = build_load_report(state);
    report.leaving = choose_leaving(state, ReportAudience::Direct);
    let mut updates = state.updates.borrow_mut();
    updates.loads_changed = false;
    updates.send_now = false;
    let statements = state.collect_slow_statements(std::mem::take(&mut updates.stated_speeds));
    let now = state.now();
    report.stated_speeds = statements.iter().map(|row| encode_statement(now, row)).collect();
    let repeated = std::mem::take(&mut updates.parts_to_repeat);
    let capacity = MAX_PARTS.saturating_sub(repeated.len().min(MAX_PARTS / 2));
    let fresh: Vec<_> = updates.cached_parts.iter().take(capacity).copied().collect();
    updates.cached_parts.drain(..fresh.len());
    let parts = repeated.iter().take(MAX_PARTS / 2).chain(&fresh);
    report.kept = parts.copied().map(encode_part).collect();
    updates.parts_to_repeat = fresh;
    let mut relayed = state.to_other_domains.borrow_mut();
    relayed.cached_parts.extend(&updates.parts_to_repeat);
    relayed.stated_speeds.extend(statements.iter().map(|row| (row.server, *row)));
    updates.crashes.fill_report(state.now(), &mut report, Some(&mut relayed.crashes));
    updates.limits.fill_report(state.now(), &mut report, Some(&mut relayed.limits));
    updates.brittle.fill_report(state.now(), &mut report, Some(&mut relayed.brittle));
    updates.cold.fill_report(state.now(), &mut report, Some(&mut relayed.cold));
    let until = state.now().plus_millis(PEER_FACTOR_MILLIS);
    for row in &report.slow {
        relayed.slow.insert(ServerId(row.server), (decode_factor(*row), until));
    }
    report
}

/// Wraps a message body for the peer link.
pub(crate) fn wrap_message(kind: Kind) -> PeerMessage {
    PeerMessage { kind: Some(kind) }
}

/// Builds the reports of a relay to the relays of other domains: the load totals and the updates of
/// its own domain.
pub(crate) fn build_domain_reports<W>(state: &EntryState<W>) -> Vec<EntryReport> {
    state.update_local_rates();
    let loads = state.loads.borrow();
    let (routers, opens) = loads.aggregate_domain(state.now());
    let teams = loads.domain_team_demands(state.local_team_demands());
    let totals = LoadTotals { routers, opens, demands: loads.domain_demands(), teams };
    drop(loads);
    let leaving = choose_leaving(state, ReportAudience::OtherDomains);
    build_relayed_reports(state, EntryScope::Domain, leaving, &totals, &state.to_other_domains)
}

/// Builds the reports of a relay to its own domain: the load totals and the updates of the other
/// domains.
pub(crate) fn build_other_domain_reports<W>(state: &EntryState<W>) -> Vec<EntryReport> {
    let loads = state.loads.borrow();
    let (routers, opens) = loads.aggregate_other_domains(state.now());
    let teams = loads.other_domain_team_demands();
    let totals = LoadTotals { routers, opens, demands: loads.other_domain_demands(), teams };
    drop(loads);
    let leaving = choose_leaving(state, ReportAudience::OwnDomain);
    build_relayed_reports(state, EntryScope::Elsewhere, leaving, &totals, &state.to_own_domain)
}

/// Aggregated requests of several routers.
struct LoadTotals {
    routers: u32,
    opens: BTreeMap<ServerId, OpenLoad>,
    demands: BTreeMap<ServiceKey, u32>,
    teams: TeamDemands,
}

fn build_relayed_reports<W>(
    state: &EntryState<W>,
    scope: EntryScope,
    leaving: Vec<LeavingServer>,
    totals: &LoadTotals,
    updates: &RefCell<RelayUpdates>,
) -> Vec<EntryReport> {
    let routers = totals.routers;
    let status = EntryReport { scope: scope.into(), routers, leaving, ..build_status(state) };
    let mut reports = split_report(&status, &totals.opens, &mut updates.borrow_mut(), state.now());
    reports[0].demands = totals.demands.iter().map(encode_demand).collect();
    let teams = bound_team_demands(totals.teams.clone());
    reports[0].team_demands = teams.iter().map(encode_team).collect();
    reports
}

/// Splits a report into fragments that fit a datagram each. The server's identifier alone
/// determines its fragment for a given number of fragments.
fn split_report(
    status: &EntryReport,
    opens: &BTreeMap<ServerId, OpenLoad>,
    updates: &mut RelayUpdates,
    now: ClockTime,
) -> Vec<EntryReport> {
    updates.ejected.retain(|_, until| now < *until);
    updates.slow.retain(|_, (_, until)| now < *until);
    let pieces =
        opens.len().div_ceil(MAX_OPENS).max(updates.cached_parts.len().div_ceil(MAX_PARTS));
    let pieces = (pieces.max(1) as u32).min(MAX_FRAGMENTS);
    let mut reports: Vec<EntryReport> =
        (0..pieces).map(|piece| EntryReport { piece, pieces, ..status.clone() }).collect();
    for row in opens {
        let piece = row.0.0 % u64::from(pieces);
        reports[piece as usize].opens.push(open_count(row));
    }
    for (server, (factor, _)) in &updates.slow {
        let piece = server.0 % u64::from(pieces);
        reports[piece as usize].slow.push(encode_slow(*server, *factor));
    }
    for report in &mut reports {
        let count = updates.cached_parts.len().min(MAX_PARTS);
        report.kept = updates.cached_parts.drain(..count).map(encode_part).collect();
    }
    let first = &mut reports[0];
    first.outcomes.extend(updates.ejected.keys().map(|server| ejected_count(*server)));
    updates.crashes.fill_report(now, first, None);
    updates.limits.fill_report(now, first, None);
    updates.brittle.fill_report(now, first, None);
    fill_relayed_speeds(now, updates, first);
    updates.cold.fill_report(now, first, None);
    reports
}

fn open_count((server, load): (&ServerId, &OpenLoad)) -> OpenCount {
    OpenCount {
        server: server.0,
        open: load.open,
        unread_tokens: load.unread_tokens,
        recent_sends: load.recent_sends,
    }
}

/// Encodes an ejected server, which the message carries as an outcome count of zero.
fn ejected_count(server: ServerId) -> OutcomeCount {
    OutcomeCount { server: server.0, ..OutcomeCount::default() }
}

fn encode_slow(server: ServerId, factor: f64) -> SlowServer {
    SlowServer { server: server.0, factor_percent: (factor * 100.0) as u32 }
}

/// Returns the factor by which a server is slower than its service.
pub(crate) fn decode_factor(row: SlowServer) -> f64 {
    f64::from(row.factor_percent) / 100.0
}

//! What a router tells the others: built from the shared state.

use std::cell::RefCell;
use std::collections::BTreeMap;

use catkin_base::{ClockTime, RequestDigest, ServerId};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    EntryReport, EntryScope, KeptPart, LeavingServer, OpenCount, OutcomeCount, PeerMessage,
    StrikeReport,
};

use crate::cache_index::CachedPart;
use crate::load_table::OpenLoad;
use crate::state::{EntryState, RelayUpdates};

/// Kept parts in one report, so that it fits a datagram.
const MAX_KEPT: usize = 24;
/// Strikes in one report.
const MAX_STRIKES: usize = 8;
/// Servers with open requests in one report that a relay sends, so that it fits a datagram.
const MAX_OPENS: usize = 40;
/// Reports that a relay sends at once in one direction; the rest of the news waits.
const MAX_PIECES: u32 = 64;

pub(crate) fn has_news<W>(state: &EntryState<W>) -> bool {
    let news = state.updates.borrow();
    news.changed || news.urgent || !news.cached_parts.is_empty() || !news.strikes.is_empty()
}

pub(crate) fn list_kept<W>(state: &EntryState<W>) -> Vec<KeptPart> {
    let kept = state.cache_index.borrow();
    kept.parts().map(kept_part).collect()
}

pub(crate) fn kept_part(pair: CachedPart) -> KeptPart {
    KeptPart { part: pair.key, server: pair.server.0, tokens: pair.tokens }
}

/// What is always told: versions, departures, servers set aside.
pub(crate) fn build_status<W>(state: &EntryState<W>) -> EntryReport {
    let servers = state.servers.borrow();
    let leaving = servers.departures();
    let leaving = leaving.map(|(server, revision)| LeavingServer { server: server.0, revision });
    let outcomes = state.outcomes.borrow();
    let held = outcomes.held(state.now());
    let held = held.map(held_count);
    EntryReport {
        declaration: state.table().map_or(0, |table| table.version()),
        directory: servers.directory(),
        domain: state.local_domain.0,
        strength: state.settings().strength(),
        leaving: leaving.collect(),
        outcomes: held.collect(),
        ..EntryReport::default()
    }
}

/// What is always told, and this router's open requests.
pub(crate) fn build_own<W>(state: &EntryState<W>) -> EntryReport {
    let mut report = build_status(state);
    report.opens = state.loads.borrow().local_loads().iter().map(open_count).collect();
    report.routers = 1;
    report.pieces = 1;
    report
}

/// A report with the news since the last one.
pub(crate) fn build_report<W>(state: &EntryState<W>) -> EntryReport {
    let mut report = build_own(state);
    let mut news = state.updates.borrow_mut();
    news.changed = false;
    news.urgent = false;
    let again = std::mem::take(&mut news.repeated_parts);
    let room = MAX_KEPT.saturating_sub(again.len().min(MAX_KEPT / 2));
    let fresh: Vec<_> = news.cached_parts.iter().take(room).copied().collect();
    news.cached_parts.drain(..fresh.len());
    let kept = again.iter().take(MAX_KEPT / 2).chain(&fresh);
    report.kept = kept.copied().map(kept_part).collect();
    news.repeated_parts = fresh;
    let count = news.strikes.len().min(MAX_STRIKES);
    let strikes: Vec<_> = news.strikes.drain(..count).collect();
    report.strikes = strikes.iter().copied().map(strike_report).collect();
    let mut outward = state.to_other_domains.borrow_mut();
    outward.cached_parts.extend(&news.repeated_parts);
    outward.strikes.extend(strikes);
    report
}

/// Puts a message into its envelope.
pub(crate) fn wrap(kind: Kind) -> PeerMessage {
    PeerMessage { kind: Some(kind) }
}

/// What a relay tells the relays of other domains: the sums and the news of its own.
pub(crate) fn build_domain_reports<W>(state: &EntryState<W>) -> Vec<EntryReport> {
    let sums = state.loads.borrow().aggregate_domain(state.now());
    build_relayed(state, EntryScope::Domain, sums, &state.to_other_domains)
}

/// What a relay tells its own domain: the sums and the news of the others.
pub(crate) fn build_elsewhere_reports<W>(state: &EntryState<W>) -> Vec<EntryReport> {
    let sums = state.loads.borrow().aggregate_elsewhere(state.now());
    build_relayed(state, EntryScope::Elsewhere, sums, &state.to_own_domain)
}

fn build_relayed<W>(
    state: &EntryState<W>,
    scope: EntryScope,
    (routers, opens): (u32, BTreeMap<ServerId, OpenLoad>),
    news: &RefCell<RelayUpdates>,
) -> Vec<EntryReport> {
    let status = EntryReport { scope: scope.into(), routers, ..build_status(state) };
    split_report(&status, &opens, &mut news.borrow_mut(), state.now())
}

/// Splits what does not fit one datagram. Each server has its place in one of the pieces.
fn split_report(
    status: &EntryReport,
    opens: &BTreeMap<ServerId, OpenLoad>,
    news: &mut RelayUpdates,
    now: ClockTime,
) -> Vec<EntryReport> {
    news.ejected.retain(|_, until| now < *until);
    let pieces = opens.len().div_ceil(MAX_OPENS).max(news.cached_parts.len().div_ceil(MAX_KEPT));
    let pieces = (pieces.max(1) as u32).min(MAX_PIECES);
    let mut reports: Vec<EntryReport> =
        (0..pieces).map(|piece| EntryReport { piece, pieces, ..status.clone() }).collect();
    for row in opens {
        let piece = row.0.0 % u64::from(pieces);
        reports[piece as usize].opens.push(open_count(row));
    }
    for report in &mut reports {
        let count = news.cached_parts.len().min(MAX_KEPT);
        report.kept = news.cached_parts.drain(..count).map(kept_part).collect();
    }
    let first = &mut reports[0];
    first.outcomes.extend(news.ejected.keys().map(|server| held_count(*server)));
    let count = news.strikes.len().min(MAX_STRIKES);
    first.strikes = news.strikes.drain(..count).map(strike_report).collect();
    reports
}

fn open_count((server, load): (&ServerId, &OpenLoad)) -> OpenCount {
    OpenCount { server: server.0, open: load.open, unread_tokens: load.unread_tokens }
}

fn held_count(server: ServerId) -> OutcomeCount {
    OutcomeCount { server: server.0, ..OutcomeCount::default() }
}

fn strike_report((digest, server): (RequestDigest, ServerId)) -> StrikeReport {
    StrikeReport { digest: digest.0, server: server.0, confirmed: false }
}

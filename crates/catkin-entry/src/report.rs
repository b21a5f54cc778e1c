//! What a router tells the others: built from the shared state.

use catkin_base::{RequestDigest, ServerId};
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    EntryReport, KeptPart, LeavingServer, OpenCount, OutcomeCount, PeerMessage, StrikeReport,
};

use crate::kept_book::KeptPair;
use crate::state::EntryState;

/// Kept parts in one report, so that it fits a datagram.
const MAX_KEPT: usize = 24;
/// Strikes in one report.
const MAX_STRIKES: usize = 8;

pub(crate) fn has_news<W>(state: &EntryState<W>) -> bool {
    let news = state.news.borrow();
    news.changed || news.urgent || !news.kept.is_empty() || !news.strikes.is_empty()
}

pub(crate) fn list_kept<W>(state: &EntryState<W>) -> Vec<KeptPart> {
    let kept = state.kept.borrow();
    kept.pairs().map(kept_part).collect()
}

pub(crate) fn kept_part(pair: KeptPair) -> KeptPart {
    KeptPart { part: pair.key, server: pair.server.0, tokens: pair.tokens }
}

/// What is always told: versions, loads, departures, servers set aside.
pub(crate) fn build_status<W>(state: &EntryState<W>) -> EntryReport {
    let loads = state.loads.borrow();
    let opens = loads.own().iter().map(|(server, load)| OpenCount {
        server: server.0,
        open: load.open,
        unread_tokens: load.unread_tokens,
    });
    let servers = state.servers.borrow();
    let leaving = servers.departures();
    let leaving = leaving.map(|(server, revision)| LeavingServer { server: server.0, revision });
    let outcomes = state.outcomes.borrow();
    let held = outcomes.held(state.now());
    let held = held.map(|server| OutcomeCount { server: server.0, ..OutcomeCount::default() });
    EntryReport {
        declaration: state.table().map_or(0, |table| table.version()),
        directory: servers.directory(),
        opens: opens.collect(),
        leaving: leaving.collect(),
        outcomes: held.collect(),
        ..EntryReport::default()
    }
}

/// A report with the news since the last one.
pub(crate) fn build_report<W>(state: &EntryState<W>) -> EntryReport {
    let mut report = build_status(state);
    let mut news = state.news.borrow_mut();
    news.changed = false;
    news.urgent = false;
    let again = std::mem::take(&mut news.kept_again);
    let room = MAX_KEPT.saturating_sub(again.len().min(MAX_KEPT / 2));
    let fresh: Vec<_> = news.kept.iter().take(room).copied().collect();
    news.kept.drain(..fresh.len());
    let kept = again.iter().take(MAX_KEPT / 2).chain(&fresh);
    report.kept = kept.copied().map(kept_part).collect();
    news.kept_again = fresh;
    let count = news.strikes.len().min(MAX_STRIKES);
    let strikes = news.strikes.drain(..count);
    let strike = |(digest, server): (RequestDigest, ServerId)| StrikeReport {
        digest: digest.0,
        server: server.0,
        confirmed: false,
    };
    report.strikes = strikes.map(strike).collect();
    report
}

/// Puts a message into its envelope.
pub(crate) fn wrap(kind: Kind) -> PeerMessage {
    PeerMessage { kind: Some(kind) }
}

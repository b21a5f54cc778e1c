//! Chooses the server of a request.
//!
//! Each server is given the time that the request would lose there: waiting behind prompts that
//! are still to be read, and reading or fetching what the server lacks of the shared prompt. The
//! server with the least loss is chosen, within a bound on its load against the others.

use catkin_base::{ServerId, copy_type, hash_parts};

/// Prompt tokens that an engine reads in a millisecond; engines of the deployments read 60 to 70.
const READ_TOKENS_PER_MILLI: f64 = 60.0;
/// Milliseconds lost for each request already open on a server: steps grow a little longer.
const OPEN_MILLIS: f64 = 0.5;
/// Milliseconds costs for each request above the soft bound.
const OVER_SOFT_MILLIS: f64 = 40.0;
/// Milliseconds costs for a missing token that another server keeps. Fetching takes a third of
/// the time of reading and delays nobody's tokens.
const FETCH_MILLIS: f64 = 0.03;
/// The same while only one server keeps the part: a second copy outlives the loss of the first.
const SECOND_COPY_MILLIS: f64 = 0.015;
/// Milliseconds costs for a missing token that must be read: ten times what reading takes, since
/// it also delays all requests beside it.
const READ_MILLIS: f64 = 0.16;
/// Milliseconds costs for a new token on a server whose room for shared parts is full: it drives
/// out as much that would be read again later.
const CROWDED_MILLIS: f64 = 0.02;
/// Milliseconds costs to the only keeper of a part when a second copy is wanted.
const ONLY_KEEPER_MILLIS: f64 = 60.0;
/// Milliseconds costs for another failure domain.
const FAR_MILLIS: f64 = 1.0;
/// Servers this close to the best share new parts by rank, so that routers agree without talk.
const AGREE_MILLIS: f64 = 40.0;

copy_type! {
    /// What a server may be used for.
    pub enum CandidateState {
        /// Any request.
        Available,
        /// Requests only if no open server has room; others may fetch from it.
        Ejected,
        /// Requests only if no other server has room; nothing can be fetched from it.
        Unreachable,
        /// No request; others may still fetch from it.
        Leaving,
    }
}

/// A server that could take a request, or that others could fetch from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerCandidate {
    /// The server.
    pub server: ServerId,
    /// Requests open on it, over all routers.
    pub load: u32,
    /// Prompt tokens that it has yet to read, over all routers.
    pub unread_tokens: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this router's failure domain.
    pub same_domain: bool,
    /// Tokens of the prompt's shared part that it is known to keep.
    pub cached_tokens: u32,
    /// Shared parts that it is known to keep, against its room for them.
    pub cache_fill: f64,
    /// What it may be used for.
    pub state: CandidateState,
}

/// Bounds on the load of one server against the mean of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBounds {
    /// Requests over which a server is costs: this many times the mean.
    pub soft_factor: f64,
    /// Requests that the soft bound allows beyond that.
    pub soft_extra: f64,
    /// Requests that no server may hold: this many times the mean.
    pub hard_factor: f64,
    /// Requests that the hard bound allows beyond that.
    pub hard_extra: f64,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelectionQuery {
    /// Hash that decides between equals, the same on every router: the longest shared part, or
    /// the request itself.
    pub affinity: u64,
    /// Tokens of the shared part of the prompt; zero if nothing is shared.
    pub shared_tokens: u32,
    /// Whether the request should bring a part that only one server keeps to a second one.
    pub second_copy: bool,
}

/// The choice, and what it rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSelection {
    /// The server.
    pub server: ServerId,
    /// A server that keeps what the chosen one lacks.
    pub fetch_from: Option<ServerId>,
    /// Load of the chosen server before this request.
    pub load: u32,
    /// Mean load of the service.
    pub mean: f64,
    /// Tokens of the shared part that the chosen server keeps.
    pub cached_tokens: u32,
    /// Prompt tokens that the chosen server has yet to read, this request's left out.
    pub unread_tokens: u64,
}

/// Why nothing was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionError {
    /// No server is known.
    NoServer,
    /// Every server is as full as it may be.
    Full,
}

/// Chooses among `candidates`, all of one service.
pub fn select_server(
    query: SelectionQuery,
    candidates: &[ServerCandidate],
    bounds: &LoadBounds,
) -> Result<ServerSelection, SelectionError> {
    let staying = || candidates.iter().filter(|row| row.state != CandidateState::Leaving);
    let count = staying().count();
    if count == 0 {
        return Err(SelectionError::NoServer);
    }
    let mean = f64::from(staying().map(|row| row.load).sum::<u32>()) / count as f64;
    let hard = mean * bounds.hard_factor + bounds.hard_extra;
    let soft = (mean * bounds.soft_factor + bounds.soft_extra).min(hard);
    let fits = |row: &&ServerCandidate| f64::from(row.load) + 1.0 <= hard && row.load < row.slots;
    let open = staying().filter(|row| row.state == CandidateState::Available).filter(fits);
    let holders: Vec<ServerCandidate> =
        candidates.iter().filter(|row| row.cached_tokens > 0).copied().collect();
    let chosen = select_candidate(query, open, &holders, soft)
        .or_else(|| select_candidate(query, staying().filter(fits), &holders, soft))
        .ok_or(SelectionError::Full)?;
    Ok(ServerSelection {
        server: chosen.server,
        fetch_from: choose_source(query, &holders, &chosen),
        load: chosen.load,
        mean,
        cached_tokens: chosen.cached_tokens,
        unread_tokens: chosen.unread_tokens,
    })
}

fn select_candidate<'a>(
    query: SelectionQuery,
    rows: impl Iterator<Item = &'a ServerCandidate>,
    holders: &[ServerCandidate],
    soft: f64,
) -> Option<ServerCandidate> {
    let costs = rows.map(|row| (estimate_cost(query, row, holders, soft), *row));
    let costs: Vec<(f64, ServerCandidate)> = costs.collect();
    let least = costs.iter().map(|(millis, _)| *millis).min_by(f64::total_cmp)?;
    let kept = costs.iter().any(|(_, row)| row.cached_tokens > 0);
    // A new part goes where every router sends it; anything else where it loses least.
    let slack = if query.shared_tokens > 0 && !kept { AGREE_MILLIS } else { 0.0 };
    let close = costs.iter().filter(|(millis, _)| *millis <= least + slack);
    let best = close.max_by_key(|(_, row)| rank_server(query.affinity, row.server));
    best.map(|(_, row)| *row)
}

/// What a request would lose at a server, in milliseconds.
fn estimate_cost(
    query: SelectionQuery,
    row: &ServerCandidate,
    holders: &[ServerCandidate],
    soft: f64,
) -> f64 {
    let waiting = row.unread_tokens as f64 / READ_TOKENS_PER_MILLI;
    let load = f64::from(row.load);
    let over = (load + 1.0 - soft).max(0.0) * OVER_SOFT_MILLIS;
    let far = if row.same_domain { 0.0 } else { FAR_MILLIS };
    // Plain services run few requests at once: a place taken is a wait.
    let crowd = if query.shared_tokens == 0 {
        load / f64::from(row.slots.max(1)) * OVER_SOFT_MILLIS
    } else {
        load * OPEN_MILLIS
    };
    waiting + over + far + crowd + estimate_prompt_cost(query, row, holders)
}

/// What reading or fetching the missing part of the prompt costs, in milliseconds. `holders` are all
/// servers that keep something of it.
fn estimate_prompt_cost(
    query: SelectionQuery,
    row: &ServerCandidate,
    holders: &[ServerCandidate],
) -> f64 {
    let lacks = |kept: u32| query.shared_tokens.saturating_sub(kept);
    let missing = lacks(row.cached_tokens);
    if missing == 0 {
        let keeps = |other: &&ServerCandidate| other.cached_tokens >= query.shared_tokens;
        let only = query.shared_tokens > 0 && holders.iter().filter(keeps).count() == 1;
        // More than another server is costs for the copy, or none would ever be made.
        let copying = f64::from(query.shared_tokens) * SECOND_COPY_MILLIS;
        return if only && query.second_copy { ONLY_KEEPER_MILLIS + copying } else { 0.0 };
    }
    let sources = holders.iter().filter(|other| other.cached_tokens > row.cached_tokens);
    let sources = sources.filter(|other| other.state != CandidateState::Unreachable);
    let best = sources.clone().map(|other| other.cached_tokens).max().unwrap_or(row.cached_tokens);
    let copies = sources.filter(|other| other.cached_tokens == best).count();
    let fetch = if copies == 1 { SECOND_COPY_MILLIS } else { FETCH_MILLIS };
    let crowded = f64::from(missing) * row.cache_fill * CROWDED_MILLIS;
    f64::from(missing - lacks(best)) * fetch + f64::from(lacks(best)) * READ_MILLIS + crowded
}

fn choose_source(
    query: SelectionQuery,
    holders: &[ServerCandidate],
    chosen: &ServerCandidate,
) -> Option<ServerId> {
    if chosen.cached_tokens >= query.shared_tokens {
        return None;
    }
    let fuller = holders.iter().filter(|row| row.cached_tokens > chosen.cached_tokens);
    let sound = fuller.filter(|row| row.state != CandidateState::Unreachable);
    sound
        .max_by_key(|row| (row.cached_tokens, row.same_domain, u32::MAX - row.load))
        .map(|row| row.server)
}

fn rank_server(affinity: u64, server: ServerId) -> u64 {
    hash_parts(&[&affinity.to_le_bytes(), &server.0.to_le_bytes()])
}

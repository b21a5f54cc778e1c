//! Chooses the server of a request.
//!
//! A request goes to a server that keeps the longest shared part of its prompt, unless that one
//! holds too much beside the others; then to another one, which fetches the part from the keeper.

use catkin_base::{ServerId, hash_parts};

/// A server that could take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Requests open on it, over all routers.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this router's failure domain.
    pub near: bool,
    /// Tokens of the shared prompt that it is known to keep.
    pub kept_tokens: u32,
    /// Whether it gets no ordinary work for now.
    pub held: bool,
}

/// Bounds on the load of one server against the mean of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBounds {
    /// Requests over which reuse gives way to another server: this many times the mean.
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
pub struct PlaceQuery {
    /// Hash that decides between equals, the same on every router: the longest shared part, or
    /// the request itself.
    pub affinity: u64,
    /// Tokens of the shared part of the prompt; zero if nothing is shared.
    pub shared_tokens: u32,
}

/// The choice, and what it rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceChoice {
    /// The server.
    pub server: ServerId,
    /// A server that keeps what the chosen one lacks.
    pub fetch_from: Option<ServerId>,
    /// Load of the chosen server before this request.
    pub load: u32,
    /// Mean load of the service.
    pub mean: f64,
    /// Tokens of the shared part that the chosen server keeps.
    pub kept_tokens: u32,
}

/// Why nothing was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// No server is known.
    NoServer,
    /// Every server is as full as it may be.
    Full,
}

/// Chooses among `candidates`, all of one service.
pub fn choose_place(
    query: PlaceQuery,
    candidates: &[Candidate],
    bounds: &LoadBounds,
) -> Result<PlaceChoice, NoPlace> {
    if candidates.is_empty() {
        return Err(NoPlace::NoServer);
    }
    let mean = mean_load(candidates);
    let hard = mean * bounds.hard_factor + bounds.hard_extra;
    let soft = (mean * bounds.soft_factor + bounds.soft_extra).min(hard);
    let fits = |candidate: &&Candidate| {
        let next = f64::from(candidate.load) + 1.0;
        next <= hard && candidate.load < candidate.slots
    };
    let open: Vec<Candidate> = candidates.iter().filter(fits).copied().collect();
    let sound: Vec<Candidate> = open.iter().filter(|row| !row.held).copied().collect();
    let rows = if sound.is_empty() { open } else { sound };
    let chosen = choose_row(query, &rows, soft).ok_or(NoPlace::Full)?;
    Ok(PlaceChoice {
        server: chosen.server,
        fetch_from: choose_source(query, candidates, &chosen),
        load: chosen.load,
        mean,
        kept_tokens: chosen.kept_tokens,
    })
}

fn choose_row(query: PlaceQuery, rows: &[Candidate], soft: f64) -> Option<Candidate> {
    if query.shared_tokens == 0 {
        return choose_idle(query.affinity, rows);
    }
    let under = |row: &&Candidate| f64::from(row.load) + 1.0 <= soft;
    let keepers = rows.iter().filter(|row| row.kept_tokens >= query.shared_tokens);
    let keeper = keepers.filter(under).min_by_key(|row| (row.load, !row.near, row.server));
    if let Some(keeper) = keeper {
        return Some(*keeper);
    }
    let nobody_keeps = rows.iter().all(|row| row.kept_tokens < query.shared_tokens);
    if nobody_keeps {
        let first = rows.iter().filter(under).max_by_key(|row| rank_of(query.affinity, row.server));
        if let Some(first) = first {
            return Some(*first);
        }
    }
    choose_idle(query.affinity, rows)
}

/// The least loaded server, against its size; between equals one in the same domain.
fn choose_idle(affinity: u64, rows: &[Candidate]) -> Option<Candidate> {
    let order = |row: &&Candidate| {
        let share = u64::from(row.load) * 1_000 / u64::from(row.slots.max(1));
        (share, !row.near, rank_of(affinity, row.server))
    };
    rows.iter().min_by_key(order).copied()
}

fn choose_source(
    query: PlaceQuery,
    candidates: &[Candidate],
    chosen: &Candidate,
) -> Option<ServerId> {
    if chosen.kept_tokens >= query.shared_tokens {
        return None;
    }
    let keepers = candidates.iter().filter(|row| row.kept_tokens > chosen.kept_tokens);
    let best = keepers.filter(|row| !row.held && row.server != chosen.server);
    best.max_by_key(|row| (row.kept_tokens, row.near, u32::MAX - row.load)).map(|row| row.server)
}

fn mean_load(candidates: &[Candidate]) -> f64 {
    let sum: u32 = candidates.iter().map(|row| row.load).sum();
    f64::from(sum) / candidates.len() as f64
}

fn rank_of(affinity: u64, server: ServerId) -> u64 {
    hash_parts(&[&affinity.to_le_bytes(), &server.0.to_le_bytes()])
}

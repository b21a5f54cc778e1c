//! Selects the server for a request.
//!
//! Each server gets a cost: the time in milliseconds that the request would lose there. It
//! consists of waiting behind prompts that are not prefilled yet and of prefilling or fetching the
//! shared prefix that the server does not have in its cache. The server with the lowest cost is
//! selected; bounds limit its load relative to the mean of its service.

use catkin_base::{ServerId, copy_type, hash_parts};

use crate::load_spread::{FillCost, SpreadQuery, choose_by_fill};
use crate::origin_book::SoftwareKey;

/// Cost of each request already open on a server, in milliseconds, for requests with a shared
/// prefix: each one makes the engine's decoding steps a little longer.
const OPEN_REQUEST_MILLIS: f64 = 0.5;
/// Cost of each request above the soft bound, in milliseconds. For requests without a shared
/// prefix, also the cost of a server with all slots in use; it is proportional to the slots in use.
const OVER_SOFT_MILLIS: f64 = 40.0;
/// Cost of a missing token that another server caches, in multiples of the time of prefilling it.
/// It is lower than that of prefilling, since fetching is faster and does not delay other requests'
/// tokens.
const FETCH_COST: f64 = 1.8;
/// Cost of a missing token while only one server caches the part, in the same unit. It is lower
/// because a second copy survives the loss of the first.
const SECOND_COPY_COST: f64 = 0.9;
/// Cost of a missing token that must be prefilled, in the same unit: far above 1, since it also
/// delays all other requests on the server.
const PREFILL_COST: f64 = 9.6;
/// Cost of a new token on a server whose cache capacity for shared parts is full, in the same unit:
/// it evicts another token that would have to be prefilled again later.
const EVICTION_COST: f64 = 1.2;
/// Cost of the only server that caches a part when a second copy is wanted, in milliseconds.
const ONLY_COPY_MILLIS: f64 = 60.0;
/// Cost of a server in another failure domain, in milliseconds.
const REMOTE_DOMAIN_MILLIS: f64 = 1.0;
/// Cost of a server that names a limit for a request whose shared prefix it does not cache, in
/// milliseconds.
const LIMITED_MILLIS: f64 = 20.0;
/// For a part that no server caches, servers whose cost is within this many milliseconds of the
/// lowest are ranked by hash, so that routers select the same one without communicating.
const HASH_RANKING_MILLIS: f64 = 40.0;
/// Cost of each request already open on a server if loads are to be even, in milliseconds, for requests
/// with a shared prefix.
const EVEN_REQUEST_MILLIS: f64 = 2.0;
/// Multiple of the mean load above which each request adds to the cost of a server if loads are to be
/// even.
const EVEN_FACTOR: f64 = 1.1;
/// Cost of each request above that, in milliseconds. Short parts are then fetched by other servers;
/// prompts of thousands of tokens stay where they are cached up to a few requests more.
const OVER_EVEN_MILLIS: f64 = 20.0;

copy_type! {
    /// What a candidate may be used for.
    pub enum CandidateState {
        /// Any request.
        Available,
        /// Requests only if no available server has free capacity; others may fetch from it.
        Ejected,
        /// Requests only if no other server has free capacity; nothing can be fetched from it.
        Unreachable,
        /// Not this request, since its software version can't continue the stream. It counts in the
        /// mean load.
        OtherVersion,
        /// No requests at the moment, since the limit that it names is used up; others may fetch from
        /// it.
        Limited,
        /// No requests at the moment, since it asked for a pause; others may fetch from it.
        Paused,
        /// No requests; others may still fetch from it.
        Leaving,
    }
}

/// A server that could take a request, or that others could fetch cached parts from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerCandidate {
    /// Identifier of the server.
    pub server: ServerId,
    /// Requests open on the server, from all routers.
    pub load: u32,
    /// Prompt tokens that the server has yet to prefill, from all routers.
    pub unread_tokens: u64,
    /// Maximum number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server is in this router's failure domain.
    pub same_domain: bool,
    /// Tokens of the prompt's shared prefix that the server is known to cache.
    pub cached_tokens: u32,
    /// Tokens of all shared parts that the server is known to cache, divided by its capacity for
    /// them.
    pub cache_fill: f64,
    /// Factor by which the server takes longer than its service; 1 unless it is slow.
    pub slow_factor: f64,
    /// Version of the server's software. Cached parts are fetched only within one version.
    pub software: SoftwareKey,
    /// Whether the server names a limit on its requests or asked for a pause. If it has few for that
    /// reason, the others may still have more.
    pub is_restricted: bool,
    /// What the server may be used for.
    pub state: CandidateState,
}

impl ServerCandidate {
    /// Whether this server can fetch cached parts from `other`.
    fn can_fetch_from(&self, other: &Self) -> bool {
        other.software == self.software && other.state != CandidateState::Unreachable
    }

    /// Whether the server gets no requests at the moment because it said so.
    fn is_withheld(&self) -> bool {
        matches!(self.state, CandidateState::Limited | CandidateState::Paused)
    }
}

/// Bounds on the load of one server, relative to the mean load of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBounds {
    /// Multiple of the mean above which each request adds to the cost of a server.
    pub soft_factor: f64,
    /// Requests added to the soft bound.
    pub soft_extra: f64,
    /// Multiple of the mean that no server may exceed.
    pub hard_factor: f64,
    /// Requests added to the hard bound.
    pub hard_extra: f64,
}

/// The properties of a request that determine its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionQuery {
    /// Hash that decides between servers of equal cost, the same on every router: that of the
    /// longest shared prefix, or of the request itself.
    pub affinity: u64,
    /// Tokens of the shared prefix of the prompt; zero if nothing is shared.
    pub shared_tokens: u32,
    /// Whether the request should copy a part that only one server caches to a second one.
    pub second_copy: bool,
    /// Time that an engine of the service takes to prefill a token, in milliseconds.
    pub token_millis: f64,
    /// Time until an idle server of the service starts the answer, in milliseconds.
    pub answer_millis: f64,
    /// Time for which the request may wait in the queue of a server whose slots are in use, in
    /// milliseconds; zero if it must not wait there.
    pub queue_millis: f64,
    /// How the request is spread over servers whose loads are known late. `None` if the server of the
    /// lowest cost gets it.
    pub spread: Option<SpreadQuery>,
}

/// Loads above which each request adds to the cost of a server.
#[derive(Debug, Clone, Copy)]
struct CostBounds {
    soft: f64,
    even: f64,
}

/// The selected server, and the figures that the selection is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSelection {
    /// The selected server.
    pub server: ServerId,
    /// A server that caches what the selected one lacks of the shared prefix.
    pub fetch_from: Option<ServerId>,
    /// Requests open on the selected server, this one not counted.
    pub load: u32,
    /// Mean load of the servers of the service.
    pub mean: f64,
    /// Number of servers that the mean was taken over.
    pub servers: usize,
    /// Tokens of the shared prefix that the selected server caches.
    pub cached_tokens: u32,
    /// Prompt tokens that the selected server has yet to prefill, without those of this request.
    pub unread_tokens: u64,
    /// Factor by which the selected server takes longer than its service.
    pub slow_factor: f64,
}

/// Why no server was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionError {
    /// No server of the service is known.
    NoServer,
    /// No server has both a free place and a load that stays within the hard bound.
    Full,
    /// All servers name limits that are used up, or asked for a pause.
    Restricted,
}

/// Selects a server among `candidates`, which all belong to one service.
pub fn select_server(
    query: SelectionQuery,
    candidates: &[ServerCandidate],
    bounds: &LoadBounds,
) -> Result<ServerSelection, SelectionError> {
    let not_leaving =
        || candidates.iter().filter(|candidate| candidate.state != CandidateState::Leaving);
    let selectable =
        || not_leaving().filter(|candidate| candidate.state != CandidateState::OtherVersion);
    if selectable().next().is_none() {
        return Err(SelectionError::NoServer);
    }
    let (mean, count) = average_load(not_leaving);
    let hard = mean * bounds.hard_factor + bounds.hard_extra;
    let soft = (mean * bounds.soft_factor + bounds.soft_extra).min(hard);
    // Without shared prefixes the slots in use already make loads even.
    let is_even = query.spread.is_some() && query.shared_tokens > 0;
    let even = if is_even { mean * EVEN_FACTOR } else { f64::INFINITY };
    let limits = CostBounds { soft, even };
    let fits = |candidate: &&ServerCandidate| {
        !candidate.is_withheld()
            && f64::from(candidate.load) + 1.0 <= hard
            && f64::from(candidate.load) < count_places(query, candidate)
    };
    let available =
        selectable().filter(|candidate| candidate.state == CandidateState::Available).filter(fits);
    let caching_servers: Vec<ServerCandidate> =
        candidates.iter().filter(|candidate| candidate.cached_tokens > 0).copied().collect();
    if selectable().all(ServerCandidate::is_withheld) {
        return Err(SelectionError::Restricted);
    }
    let selected = select_candidate(query, available, &caching_servers, limits)
        .or_else(|| select_candidate(query, selectable().filter(fits), &caching_servers, limits))
        .ok_or(SelectionError::Full)?;
    Ok(ServerSelection {
        server: selected.server,
        fetch_from: choose_source(query, &caching_servers, &selected),
        load: selected.load,
        mean,
        servers: count,
        cached_tokens: selected.cached_tokens,
        unread_tokens: selected.unread_tokens,
        slow_factor: selected.slow_factor,
    })
}

/// Returns the mean load of the servers, and over how many it is taken: over all, or over those without
/// a limit or a pause if these have more requests.
fn average_load<'a, Candidates>(candidates: impl Fn() -> Candidates) -> (f64, usize)
where
    Candidates: Iterator<Item = &'a ServerCandidate>,
{
    let average = |counts: fn(&&ServerCandidate) -> bool| {
        let count = candidates().filter(counts).count();
        let load: u32 = candidates().filter(counts).map(|candidate| candidate.load).sum();
        (f64::from(load) / count.max(1) as f64, count)
    };
    let (of_all, of_free) = (average(|_| true), average(|candidate| !candidate.is_restricted));
    if of_free.0 > of_all.0 { of_free } else { of_all }
}

/// Number of requests that may be open on a server: its slots, and the requests that it works off
/// while one may wait in its queue. The loads that a router knows are older than a short request
/// takes, so requests of such a service that wait for a free slot are refused in vain.
fn count_places(query: SelectionQuery, candidate: &ServerCandidate) -> f64 {
    let slots = f64::from(candidate.slots);
    let answer_millis = query.answer_millis.max(1.0) * candidate.slow_factor;
    slots + (slots * query.queue_millis / answer_millis).floor()
}

/// Selects the candidate with the lowest cost, or one near it if requests are spread.
fn select_candidate<'a>(
    query: SelectionQuery,
    candidates: impl Iterator<Item = &'a ServerCandidate>,
    caching_servers: &[ServerCandidate],
    bounds: CostBounds,
) -> Option<ServerCandidate> {
    let costs = candidates
        .map(|candidate| (estimate_cost(query, candidate, caching_servers, bounds), candidate));
    let costs: Vec<(f64, &ServerCandidate)> = costs.collect();
    let least = costs.iter().map(|(millis, _)| *millis).min_by(f64::total_cmp)?;
    let cached = costs.iter().any(|(_, candidate)| candidate.cached_tokens > 0);
    let spread = query.spread.filter(|_| query.shared_tokens == 0 || cached);
    let chosen = spread.and_then(|spread| spread_request(query, &spread, &costs, bounds));
    if chosen.is_some() {
        return chosen;
    }
    // All routers must send a part that no server caches to the same server, though the loads that
    // they know differ a little. Other requests go to the lowest cost.
    let slack = if query.shared_tokens > 0 && !cached { HASH_RANKING_MILLIS } else { 0.0 };
    let tied = costs.iter().filter(|(millis, _)| *millis <= least + slack);
    let best = tied.max_by_key(|(_, candidate)| rank_server(query.affinity, candidate.server));
    best.map(|(_, candidate)| **candidate)
}

/// Selects a candidate near the lowest cost, so that routers with the same loads select different ones.
/// `None` if no requests are unseen.
fn spread_request(
    query: SelectionQuery,
    spread: &SpreadQuery,
    costs: &[(f64, &ServerCandidate)],
    bounds: CostBounds,
) -> Option<ServerCandidate> {
    let least = costs.iter().min_by(|one, other| one.0.total_cmp(&other.0))?;
    // Requests with this part go to the servers that cache it, and those are a part of all requests.
    let alike = costs.iter().filter(|(_, other)| other.cached_tokens == least.1.cached_tokens);
    let alike: Vec<&(f64, &ServerCandidate)> = alike.collect();
    let unseen = spread.unseen_requests * alike.len() as f64;
    let fill_cost = |(millis, candidate): &&(f64, &ServerCandidate)| FillCost {
        millis: *millis,
        request_millis: estimate_request_cost(query, spread, candidate, bounds),
    };
    let fill_costs: Vec<FillCost> = alike.iter().map(fill_cost).collect();
    let index = choose_by_fill(&fill_costs, unseen, spread.lot);
    index.map(|index| *alike[index].1)
}

/// Estimates what one more request would add to the cost of a server, in milliseconds.
fn estimate_request_cost(
    query: SelectionQuery,
    spread: &SpreadQuery,
    candidate: &ServerCandidate,
    bounds: CostBounds,
) -> f64 {
    let next = f64::from(candidate.load) + 1.0;
    let over = if next >= bounds.soft { OVER_SOFT_MILLIS } else { 0.0 };
    let uneven = if next >= bounds.even { OVER_EVEN_MILLIS } else { 0.0 };
    let occupancy = occupancy_cost(query, candidate, 1.0);
    over + uneven + (occupancy + spread.own_millis) * candidate.slow_factor
}

/// Estimates the time that a request loses by `load` requests that are open on the server.
fn occupancy_cost(query: SelectionQuery, candidate: &ServerCandidate, load: f64) -> f64 {
    // Servers of services without shared prompts run few requests at once, so that each slot in
    // use is likely to mean a wait.
    if query.shared_tokens == 0 {
        load / f64::from(candidate.slots.max(1)) * OVER_SOFT_MILLIS
    } else {
        load * query.spread.map_or(OPEN_REQUEST_MILLIS, |_| EVEN_REQUEST_MILLIS)
    }
}

/// Estimates the time that a request would lose at a server, in milliseconds.
fn estimate_cost(
    query: SelectionQuery,
    candidate: &ServerCandidate,
    caching_servers: &[ServerCandidate],
    bounds: CostBounds,
) -> f64 {
    let queueing = candidate.unread_tokens as f64 * query.token_millis;
    let load = f64::from(candidate.load);
    let over = (load + 1.0 - bounds.soft).max(0.0) * OVER_SOFT_MILLIS;
    let uneven = (load + 1.0 - bounds.even).max(0.0) * OVER_EVEN_MILLIS;
    let distance = if candidate.same_domain { 0.0 } else { REMOTE_DOMAIN_MILLIS };
    let occupancy = occupancy_cost(query, candidate, load);
    let slowness = (candidate.slow_factor - 1.0) * (queueing + occupancy + query.answer_millis);
    let prompt = estimate_prompt_cost(query, candidate, caching_servers);
    // The few requests that a server with a limit takes are best those whose parts it caches.
    let lacks = candidate.cached_tokens < query.shared_tokens;
    let scarcity = if candidate.is_restricted && lacks { LIMITED_MILLIS } else { 0.0 };
    queueing + over + uneven + distance + occupancy + slowness + prompt + scarcity
}

/// Estimates the cost of prefilling or fetching the missing part of the shared prefix, in
/// milliseconds. `caching_servers` are all servers that cache some of it.
fn estimate_prompt_cost(
    query: SelectionQuery,
    candidate: &ServerCandidate,
    caching_servers: &[ServerCandidate],
) -> f64 {
    let lacks = |cached: u32| query.shared_tokens.saturating_sub(cached);
    let missing = lacks(candidate.cached_tokens);
    if missing == 0 {
        let has_all = |other: &&ServerCandidate| other.cached_tokens >= query.shared_tokens;
        let only = query.shared_tokens > 0 && caching_servers.iter().filter(has_all).count() == 1;
        // This must exceed the cost of copying to another server, or no copy would be made.
        let copying = f64::from(query.shared_tokens) * SECOND_COPY_COST * query.token_millis;
        return if only && query.second_copy { ONLY_COPY_MILLIS + copying } else { 0.0 };
    }
    let sources =
        caching_servers.iter().filter(|other| other.cached_tokens > candidate.cached_tokens);
    let sources = sources.filter(|other| candidate.can_fetch_from(other));
    let best =
        sources.clone().map(|other| other.cached_tokens).max().unwrap_or(candidate.cached_tokens);
    let copies = sources.filter(|other| other.cached_tokens == best).count();
    let fetch = if copies == 1 { SECOND_COPY_COST } else { FETCH_COST };
    let eviction = f64::from(missing) * candidate.cache_fill * EVICTION_COST;
    let prefill = f64::from(lacks(best)) * PREFILL_COST * candidate.slow_factor;
    (f64::from(missing - lacks(best)) * fetch + prefill + eviction) * query.token_millis
}

/// Chooses the server to fetch from that caches the most of what the selected one lacks.
fn choose_source(
    query: SelectionQuery,
    caching_servers: &[ServerCandidate],
    selected: &ServerCandidate,
) -> Option<ServerId> {
    if selected.cached_tokens >= query.shared_tokens {
        return None;
    }
    let with_more_cached =
        caching_servers.iter().filter(|other| other.cached_tokens > selected.cached_tokens);
    let sources = with_more_cached.filter(|other| selected.can_fetch_from(other));
    sources
        .max_by_key(|other| (other.cached_tokens, other.same_domain, u32::MAX - other.load))
        .map(|other| other.server)
}

/// Ranks servers by rendezvous hashing.
fn rank_server(affinity: u64, server: ServerId) -> u64 {
    hash_parts(&[&affinity.to_le_bytes(), &server.0.to_le_bytes()])
}

//! The entry router's plan: for which server to request admission next.

use std::collections::{BTreeMap, VecDeque};

use catkin_base::{ChatId, RefusalReason, ServerId, copy_type};

use crate::grant::{GrantAnswer, GrantRefusal, GrantResult, OverflowCause};

/// Maximum number of grant requests for one inference request before it is refused.
const MAX_ASKS: u32 = 9;
/// Maximum number of servers tried for a free slot before the request queues at one.
const MAX_SLOT_ASKS: usize = 4;
/// Number of ranked servers tried for a free slot before the least loaded servers.
const RANKED_BEFORE_LEAST_LOADED: usize = 3;
/// Maximum number of attempts at one server while routers disagree about its owner.
const MAX_OWNER_ATTEMPTS: u32 = 3;
/// Time after which a caller may retry that was refused because no server was left to try, in
/// milliseconds.
const NO_SERVER_RETRY_AFTER_MILLIS: u32 = 1_000;

copy_type! {
    /// The next grant request, to the owner of a server.
    pub struct PlanAsk {
        /// The server.
        pub server: ServerId,
        /// Position of the server in the chat's ranking, from zero.
        pub rank: u32,
        /// Whether the request should wait at this server.
        pub must_queue: bool,
        /// Whether the owner should accept only if the chat is warm there or the server is its
        /// home.
        pub follow_directory: bool,
    }

    /// Next step of the entry router.
    pub enum PlanStep {
        /// Send a grant request to the owner of a server.
        Ask(PlanAsk),
        /// Wait for another answer to the last grant request.
        Wait,
        /// Send the request to the server.
        Use(ServerId),
        /// Refuse the request.
        Refuse(GrantRefusal),
    }
}

/// Selects the server of one request from the answers of owners.
///
/// The plan first tries servers where the chat may be warm, then servers that may have a free slot,
/// and finally requests that one server queues the request.
#[derive(Debug, Clone)]
pub struct PlacementPlan {
    chat: ChatId,
    ranked: Vec<ServerId>,
    least_loaded: VecDeque<ServerId>,
    may_be_cached: bool,
    warm_asks: VecDeque<PlanAsk>,
    skipped: BTreeMap<ServerId, SkipCause>,
    /// Servers named by the caller or by redirects, whose placements the home knows.
    located: Vec<ServerId>,
    pending: Option<PlanAsk>,
    asks: u32,
    owner_attempts: u32,
    /// Number of grant requests for a free slot, which the plan limits separately.
    slot_asks: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SkipCause {
    Full,
    Unusable,
}

impl PlacementPlan {
    /// Creates a plan for a chat from its `ranked` servers, best first, the least loaded servers
    /// (`least_loaded`), and the server that the caller named (`hint`).
    pub fn new(
        chat: ChatId,
        ranked: Vec<ServerId>,
        least_loaded: Vec<ServerId>,
        hint: Option<ServerId>,
    ) -> Self {
        let mut plan = Self {
            chat,
            ranked,
            least_loaded: least_loaded.into(),
            may_be_cached: true,
            warm_asks: VecDeque::new(),
            skipped: BTreeMap::new(),
            located: hint.into_iter().collect(),
            pending: None,
            asks: 0,
            owner_attempts: 0,
            slot_asks: 0,
        };
        plan.warm_asks.extend(hint.map(warm_ask));
        plan.warm_asks.extend(plan.home().filter(|home| Some(*home) != hint).map(warm_ask));
        plan.pending = plan.choose_ask();
        plan
    }

    /// Changes the plan for a chat without an earlier turn: its prefix is in no cache, so that no
    /// warm server is searched for.
    pub fn without_cached_prefix(mut self) -> Self {
        self.may_be_cached = false;
        self.warm_asks.clear();
        self.pending = self.choose_ask();
        self
    }

    /// Returns the home of the chat: its first-ranked server, whose owner holds its directory
    /// entry.
    pub fn home(&self) -> Option<ServerId> {
        self.ranked.first().copied()
    }

    /// Returns the home whose owner must be notified that the chat was placed on `used`. `None` if
    /// `used` is the home, or was known from a redirect or from the caller's hint.
    pub fn home_to_notify(&self, used: ServerId) -> Option<ServerId> {
        let found = self.located.contains(&used);
        self.home().filter(|home| *home != used && !found)
    }

    /// Returns the chat.
    pub fn chat(&self) -> ChatId {
        self.chat
    }

    /// Returns the grant request that awaits an answer. It stays the same until an answer or a
    /// timeout is handled.
    pub fn next_ask(&self) -> Option<PlanAsk> {
        self.pending
    }

    /// Handles an answer. An answer about another server than the pending one changes nothing.
    pub fn handle_answer(&mut self, answer: &GrantAnswer) -> PlanStep {
        let Some(ask) = self.pending.filter(|ask| ask.server == answer.server) else {
            return PlanStep::Wait;
        };
        match answer.result {
            GrantResult::Granted { .. } => PlanStep::Use(ask.server),
            GrantResult::Queued => PlanStep::Wait,
            GrantResult::Redirect { server } => self.follow_redirect(server),
            GrantResult::Overflow { cause, light } => self.handle_overflow(ask, cause, light),
            GrantResult::NotOwner => self.retry_owner(ask),
            GrantResult::Refused(refusal) => PlanStep::Refuse(refusal),
        }
    }

    /// Handles that the owner of the pending server did not answer in time. The caller must also
    /// send that owner a release, since it may have granted the request.
    pub fn handle_timeout(&mut self) -> PlanStep {
        self.skip_pending()
    }

    /// Handles that the server could not be reached although its owner granted the request.
    pub fn handle_unreachable(&mut self) -> PlanStep {
        self.skip_pending()
    }

    /// Handles that the request was queued at the pending server for too long. The other servers
    /// that were full, and `others`, are tried again before the request queues again.
    pub fn handle_queue_timeout(&mut self, others: Vec<ServerId>) -> PlanStep {
        self.skipped.retain(|_, cause| *cause != SkipCause::Full);
        if let Some(ask) = self.pending {
            self.skipped.insert(ask.server, SkipCause::Full);
        }
        self.least_loaded = others.into();
        self.slot_asks = 0;
        self.asks = 0;
        self.advance()
    }

    fn skip_pending(&mut self) -> PlanStep {
        if let Some(ask) = self.pending {
            self.skipped.insert(ask.server, SkipCause::Unusable);
        }
        self.advance()
    }

    fn retry_owner(&mut self, ask: PlanAsk) -> PlanStep {
        self.owner_attempts += 1;
        if self.owner_attempts < MAX_OWNER_ATTEMPTS {
            return PlanStep::Ask(ask);
        }
        self.skip_pending()
    }

    fn follow_redirect(&mut self, server: ServerId) -> PlanStep {
        self.located.push(server);
        if !self.skipped.contains_key(&server) {
            self.warm_asks.push_front(PlanAsk { rank: 1, ..warm_ask(server) });
        }
        self.advance()
    }

    fn handle_overflow(
        &mut self,
        ask: PlanAsk,
        cause: OverflowCause,
        light: Option<ServerId>,
    ) -> PlanStep {
        match cause {
            OverflowCause::NotWarm => self.plan_second_ranked(ask),
            OverflowCause::Full | OverflowCause::Handover => {
                self.skipped.insert(ask.server, SkipCause::Full);
            }
            _ => {
                self.skipped.insert(ask.server, SkipCause::Unusable);
            }
        }
        if let Some(light) = light.filter(|light| !self.least_loaded.contains(light)) {
            self.least_loaded.push_front(light);
        }
        self.advance()
    }

    /// Plans a grant request for the second-ranked server, which was the home if the first-ranked
    /// server joined later.
    fn plan_second_ranked(&mut self, ask: PlanAsk) {
        let second = self.ranked.get(1).copied();
        if Some(ask.server) == self.home() && self.may_be_cached {
            self.warm_asks.extend(second.map(|server| PlanAsk { rank: 1, ..warm_ask(server) }));
        }
    }

    fn advance(&mut self) -> PlanStep {
        self.owner_attempts = 0;
        self.pending = self.choose_ask();
        match self.pending {
            Some(ask) => PlanStep::Ask(ask),
            None => PlanStep::Refuse(GrantRefusal {
                reason: RefusalReason::Overloaded,
                retry_after_millis: NO_SERVER_RETRY_AFTER_MILLIS,
            }),
        }
    }

    fn choose_ask(&mut self) -> Option<PlanAsk> {
        if self.asks >= MAX_ASKS {
            return None;
        }
        self.asks += 1;
        self.next_warm_ask().or_else(|| self.next_slot_ask()).or_else(|| self.next_queue_ask())
    }

    fn next_warm_ask(&mut self) -> Option<PlanAsk> {
        let skipped = &self.skipped;
        self.warm_asks.retain(|ask| !skipped.contains_key(&ask.server));
        self.warm_asks.pop_front()
    }

    fn next_slot_ask(&mut self) -> Option<PlanAsk> {
        if self.slot_asks >= MAX_SLOT_ASKS {
            return None;
        }
        let first = self.ranked.iter().take(RANKED_BEFORE_LEAST_LOADED);
        let later = self.ranked.iter().skip(RANKED_BEFORE_LEAST_LOADED);
        let mut candidates = first.chain(self.least_loaded.iter()).chain(later).copied();
        let server = candidates.find(|server| !self.skipped.contains_key(server))?;
        self.slot_asks += 1;
        Some(PlanAsk {
            server,
            rank: self.find_rank(server),
            must_queue: false,
            follow_directory: false,
        })
    }

    fn next_queue_ask(&mut self) -> Option<PlanAsk> {
        let mut candidates = self.ranked.iter().chain(self.least_loaded.iter()).copied();
        let server =
            candidates.find(|server| self.skipped.get(server) != Some(&SkipCause::Unusable))?;
        Some(PlanAsk {
            server,
            rank: self.find_rank(server),
            must_queue: true,
            follow_directory: false,
        })
    }

    fn find_rank(&self, server: ServerId) -> u32 {
        let index = self.ranked.iter().position(|other| *other == server);
        index.unwrap_or(self.ranked.len()) as u32
    }
}

fn warm_ask(server: ServerId) -> PlanAsk {
    PlanAsk { server, rank: 0, must_queue: false, follow_directory: true }
}

//! The entry router's own decision: which server to ask for next.

use std::collections::{BTreeMap, VecDeque};

use catkin_base::{ChatId, RefusalReason, ServerId, copy_type};

use crate::grant::{GrantAnswer, GrantRefusal, GrantResult, OverflowCause};

/// Most asks for one request before it is refused.
const MAX_ASKS: u32 = 9;
/// Servers asked for a free place before the request waits at one.
const MAX_SLOT_ASKS: usize = 4;
/// Ranked servers asked for a place before lightly loaded ones.
const RANKED_BEFORE_LIGHT: usize = 3;
/// Asks at one server whose owner is in dispute.
const MAX_OWNER_ATTEMPTS: u32 = 3;
/// Time after which a refused caller may come back, in milliseconds.
const OVERLOAD_RETRY_AFTER_MILLIS: u32 = 1_000;

copy_type! {
    /// The next question to the owner of a server.
    pub struct PlanAsk {
        /// The server.
        pub server: ServerId,
        /// Place of the server among those preferred for the chat; zero for the first.
        pub rank: u32,
        /// Whether the request should wait there.
        pub must_queue: bool,
        /// Whether the server should take it only if the chat is warm or at home there.
        pub follow_directory: bool,
    }

    /// What the entry router does next.
    pub enum PlanStep {
        /// Ask the owner of a server.
        Ask(PlanAsk),
        /// Wait for another answer to the last ask.
        Wait,
        /// Send the request to the server.
        Use(ServerId),
        /// Refuse the request.
        Refuse(GrantRefusal),
    }
}

/// Decides, from the answers of owners, where one request goes.
///
/// First the servers where the chat may be warm are asked, then those with room, and at last one
/// is asked to queue the request.
#[derive(Debug, Clone)]
pub struct PlacementPlan {
    chat: ChatId,
    ranked: Vec<ServerId>,
    light: VecDeque<ServerId>,
    has_history: bool,
    warm_asks: VecDeque<PlanAsk>,
    skipped: BTreeMap<ServerId, SkipCause>,
    located: Vec<ServerId>,
    pending: Option<PlanAsk>,
    asks: u32,
    owner_attempts: u32,
    slot_asks: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SkipCause {
    Full,
    Unusable,
}

impl PlacementPlan {
    /// A plan for a chat with its ranked servers, servers known to have little load, and the server
    /// that the caller named.
    pub fn new(
        chat: ChatId,
        ranked: Vec<ServerId>,
        light: Vec<ServerId>,
        hint: Option<ServerId>,
    ) -> Self {
        let mut plan = Self {
            chat,
            ranked,
            light: light.into(),
            has_history: true,
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

    /// This plan for a chat that has no earlier turn, whose prefix can't be warm anywhere.
    pub fn without_history(mut self) -> Self {
        self.has_history = false;
        self.warm_asks.clear();
        self.pending = self.choose_ask();
        self
    }

    /// The chat's first-ranked server, whose owner keeps its directory entry.
    pub fn home(&self) -> Option<ServerId> {
        self.ranked.first().copied()
    }

    /// The home whose owner should be told that the chat was placed on `used`; `None` if the chat
    /// is at home, or was found on `used` by a redirect or by the caller's hint.
    pub fn home_to_notify(&self, used: ServerId) -> Option<ServerId> {
        let found = self.located.contains(&used);
        self.home().filter(|home| *home != used && !found)
    }

    /// The chat.
    pub fn chat(&self) -> ChatId {
        self.chat
    }

    /// The ask that awaits an answer; the same one until an answer is noted.
    pub fn next_ask(&self) -> Option<PlanAsk> {
        self.pending
    }

    /// Takes an answer. One to another server than that of the pending ask changes nothing.
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

    /// Notes that the owner of the pending server did not answer in time. The caller must also
    /// send it a release, since the owner may have granted the request.
    pub fn handle_timeout(&mut self) -> PlanStep {
        self.skip_pending()
    }

    /// Notes that the server could not be reached although its owner granted the request.
    pub fn handle_unreachable(&mut self) -> PlanStep {
        self.skip_pending()
    }

    /// Notes that the request has waited at the pending server for a while. The servers that were
    /// full and `others` are asked once more before it waits again.
    pub fn handle_queue_timeout(&mut self, others: Vec<ServerId>) -> PlanStep {
        self.skipped.retain(|_, cause| *cause != SkipCause::Full);
        if let Some(ask) = self.pending {
            self.skipped.insert(ask.server, SkipCause::Full);
        }
        self.light = others.into();
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
            OverflowCause::NotWarm => self.ask_second_home(ask),
            OverflowCause::Full | OverflowCause::Handover => {
                self.skipped.insert(ask.server, SkipCause::Full);
            }
            _ => {
                self.skipped.insert(ask.server, SkipCause::Unusable);
            }
        }
        if let Some(light) = light.filter(|light| !self.light.contains(light)) {
            self.light.push_front(light);
        }
        self.advance()
    }

    /// The second-ranked server was the home before a server joined that ranks first.
    fn ask_second_home(&mut self, ask: PlanAsk) {
        let second = self.ranked.get(1).copied();
        if Some(ask.server) == self.home() && self.has_history {
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
                retry_after_millis: OVERLOAD_RETRY_AFTER_MILLIS,
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
        let first = self.ranked.iter().take(RANKED_BEFORE_LIGHT);
        let later = self.ranked.iter().skip(RANKED_BEFORE_LIGHT);
        let mut candidates = first.chain(self.light.iter()).chain(later).copied();
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
        let mut candidates = self.ranked.iter().chain(self.light.iter()).copied();
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

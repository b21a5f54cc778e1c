//! Immediate answers of an owner to grant requests.

use catkin_base::{ClockTime, RefusalReason, RequestId, ServerId, copy_type};

use crate::grant::{GrantAnswer, GrantAsk, GrantRefusal, GrantResult, OverflowCause};
use crate::ledger::{GrantRow, ServerLedger};
use crate::owner::AdmissionOwner;
use crate::queue::QueuedAsk;
use crate::rank::mix_pair;
use crate::rules::ClassPolicy;

/// Maximum number of requests that wait for one server, per slot of the server.
const MAX_QUEUED_PER_SLOT: u32 = 8;
/// Time after which a caller may retry that an owner refused because of the team's limit or the
/// deadline, in milliseconds.
pub(crate) const OWNER_RETRY_AFTER_MILLIS: u32 = 1_000;

copy_type! {
    /// Identity of a [`GrantAsk`]: two with the same key get the same answer.
    pub(crate) struct AskKey {
        request: RequestId,
        server: ServerId,
        must_queue: bool,
        follow_directory: bool,
    }
}

impl AskKey {
    pub(crate) fn new(ask: &GrantAsk) -> Self {
        Self {
            request: ask.request,
            server: ask.server,
            must_queue: ask.must_queue,
            follow_directory: ask.follow_directory,
        }
    }
}

impl AdmissionOwner {
    /// Decides on a grant request. A repeated one gets the same answer and no second grant.
    pub fn handle_ask(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantAnswer {
        let result = self.known_result(ask).unwrap_or_else(|| self.decide_ask(now, ask));
        GrantAnswer { request: ask.request, entry: ask.entry, server: ask.server, result }
    }

    fn known_result(&self, ask: &GrantAsk) -> Option<GrantResult> {
        if self.released.get(&(ask.request, ask.server)).is_some() {
            return Some(refused(RefusalReason::Cancelled, 0));
        }
        let ledger = self.ledgers.get(&ask.server)?;
        if let Some(row) = ledger.grant(ask.request) {
            return Some(GrantResult::Granted { warm: row.warm });
        }
        if ledger.queue.find(ask.request).is_some() {
            return Some(GrantResult::Queued);
        }
        self.answers.get(&AskKey::new(ask))
    }

    fn decide_ask(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let result = match self.screen_ask(now, ledger, ask) {
            Some(result) => result,
            None => self.admit_ask(now, ask),
        };
        if !matches!(result, GrantResult::Granted { .. } | GrantResult::Queued) {
            self.answers.insert(AskKey::new(ask), result);
        }
        result
    }

    /// Returns the answer if it does not depend on the load of the server.
    fn screen_ask(
        &self,
        now: ClockTime,
        ledger: &ServerLedger,
        ask: &GrantAsk,
    ) -> Option<GrantResult> {
        if !ledger.spec.pools.contains(&ask.pool) {
            return Some(self.overflow(ask, OverflowCause::WrongPool));
        }
        if let Some(cause) = unavailable_cause(now, ledger) {
            let redirect = find_redirect(ledger, ask);
            return Some(redirect.unwrap_or_else(|| self.overflow(ask, cause)));
        }
        if self.team_open(ask.team) >= self.rules.team(ask.team).max_open {
            return Some(refused(RefusalReason::TeamLimit, OWNER_RETRY_AFTER_MILLIS));
        }
        if ask.follow_directory && !ledger.warm.holds(ask.chat) {
            return self.redirect_cold_chat(now, ledger, ask);
        }
        None
    }

    /// Returns the answer to a returning chat that is not known to be warm on this server: a
    /// redirect, or an overflow. `None` if the server should take the chat, because it is the home
    /// and the chat may be in its cache although the index does not show it.
    fn redirect_cold_chat(
        &self,
        now: ClockTime,
        ledger: &ServerLedger,
        ask: &GrantAsk,
    ) -> Option<GrantResult> {
        if let Some(redirect) = find_redirect(ledger, ask) {
            return Some(redirect);
        }
        let stays_home = ask.rank == 0 && !ledger.warm.is_complete(now);
        (!stays_home).then(|| self.overflow(ask, OverflowCause::NotWarm))
    }

    fn admit_ask(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let policy = self.rules.class(ask.class);
        let queued = self.build_queued(now, ledger, ask, policy);
        let first = ledger.queue.count_ahead(&queued) == 0;
        if first && ledger.has_capacity(now, self.bound(now, ledger), policy.quick, &self.rules) {
            return self.grant(now, ask, policy, queued.warm);
        }
        self.queue_or_overflow(now, ledger.spec.slots, queued)
    }

    fn queue_or_overflow(&mut self, now: ClockTime, slots: u32, queued: QueuedAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&queued.ask.server) else {
            return GrantResult::NotOwner;
        };
        let wait_micros = self.estimate_wait(now, ledger, &queued);
        let worth_waiting = queued.warm && self.prefers_waiting(&queued, wait_micros);
        if !queued.ask.must_queue && !worth_waiting {
            if let Some(redirect) = find_redirect(ledger, &queued.ask) {
                return redirect;
            }
            let cause = if ledger.is_load_unknown() {
                OverflowCause::Handover
            } else {
                OverflowCause::Full
            };
            return self.overflow(&queued.ask, cause);
        }
        let needed = wait_micros + queued.expected_micros;
        if now.0.saturating_add(needed) > queued.deadline.0 {
            return refused(RefusalReason::DeadlineUnmet, (wait_micros / 1000) as u32);
        }
        if ledger.queue.len() as u32 >= slots.saturating_mul(MAX_QUEUED_PER_SLOT) {
            return refused(RefusalReason::Overloaded, (wait_micros / 1000) as u32);
        }
        let queue_deadline = (!queued.ask.must_queue).then(|| ClockTime(now.0 + 2 * wait_micros));
        let queued = QueuedAsk { queue_deadline, ..queued };
        if let Some(ledger) = self.ledgers.get_mut(&queued.ask.server) {
            ledger.queue.push(queued);
        }
        GrantResult::Queued
    }

    fn build_queued(
        &self,
        now: ClockTime,
        ledger: &ServerLedger,
        ask: &GrantAsk,
        policy: ClassPolicy,
    ) -> QueuedAsk {
        QueuedAsk {
            ask: *ask,
            policy,
            queued_at: now,
            deadline: now.plus_millis(u64::from(ask.deadline_millis)),
            queue_deadline: None,
            expected_micros: self.history.estimate_micros(ask.class, policy),
            warm: ledger.warm.holds(ask.chat),
        }
    }

    /// Whether waiting here costs less than computing the prefix again on another server.
    fn prefers_waiting(&self, queued: &QueuedAsk, wait_micros: u64) -> bool {
        let prefill =
            u64::from(queued.ask.prompt_tokens) * u64::from(self.rules.prefill_micros_per_token);
        let cold_cost = prefill * u64::from(self.rules.reuse_weight_percent);
        let wait_cost = wait_micros * u64::from(self.rules.skew_weight_percent);
        wait_cost <= cold_cost
    }

    /// Returns the expected wait of a request that is queued now, in microseconds.
    fn estimate_wait(&self, now: ClockTime, ledger: &ServerLedger, queued: &QueuedAsk) -> u64 {
        let ahead = ledger.queue.count_ahead(queued) as u64;
        let running = u64::from(ledger.load().min(self.bound(now, ledger)).max(1));
        (ahead + 1) * queued.expected_micros / running
    }

    pub(crate) fn grant(
        &mut self,
        now: ClockTime,
        ask: &GrantAsk,
        policy: ClassPolicy,
        warm: bool,
    ) -> GrantResult {
        let Some(ledger) = self.ledgers.get_mut(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let row = GrantRow {
            entry: ask.entry,
            team: ask.team,
            class: ask.class,
            quick: policy.quick,
            warm,
            imported: false,
            granted_at: now,
        };
        ledger.insert_grant(ask.request, row);
        ledger.warm.record_use(now, ask.chat);
        *self.team_open.entry(ask.team).or_default() += 1;
        GrantResult::Granted { warm }
    }

    pub(crate) fn overflow(&self, ask: &GrantAsk, cause: OverflowCause) -> GrantResult {
        GrantResult::Overflow { cause, light: self.choose_least_loaded(ask) }
    }

    /// Returns one of the least loaded servers of the pool, selected by a hash of the request so
    /// that requests spread over these servers.
    fn choose_least_loaded(&self, ask: &GrantAsk) -> Option<ServerId> {
        let light = self.light_servers.get(&ask.pool)?;
        let others: Vec<ServerId> =
            light.iter().copied().filter(|server| *server != ask.server).collect();
        let index = mix_pair(ask.request.0, ask.server.0) as usize;
        others.get(index % others.len().max(1)).copied()
    }
}

pub(crate) fn refused(reason: RefusalReason, retry_after_millis: u32) -> GrantResult {
    GrantResult::Refused(GrantRefusal { reason, retry_after_millis })
}

/// Returns a redirect to the server that the placement directory names for the chat, if that is
/// another one and the grant request allows redirects.
fn find_redirect(ledger: &ServerLedger, ask: &GrantAsk) -> Option<GrantResult> {
    let placed_on = ledger.directory.find(ask.chat).filter(|server| *server != ask.server);
    placed_on.filter(|_| ask.follow_directory).map(|server| GrantResult::Redirect { server })
}

/// Returns why a server accepts no request at all; `None` if it accepts some.
pub(crate) fn unavailable_cause(now: ClockTime, ledger: &ServerLedger) -> Option<OverflowCause> {
    if ledger.leaving {
        return Some(OverflowCause::Leaving);
    }
    (!ledger.health.accepts_work(now)).then_some(OverflowCause::HeldDown)
}

//! Decisions on asks: what an owner answers at once.

use catkin_base::{ClockTime, RefusalReason, RequestId, ServerId, copy_type};

use crate::grant::{GrantAnswer, GrantAsk, GrantRefusal, GrantResult, OverflowCause};
use crate::ledger::{GrantRow, ServerLedger};
use crate::owner::AdmissionOwner;
use crate::queue::QueuedAsk;
use crate::rank::mix_pair;
use crate::rules::ClassPolicy;

/// Most requests that wait for one server, relative to its slots.
const QUEUE_PER_SLOT: u32 = 8;
/// Time after which a refused caller may come back, in milliseconds.
pub(crate) const RETRY_MILLIS: u32 = 1_000;

copy_type! {
    /// What makes two asks the same one.
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
    /// Decides on a request. A repeated ask gets the same answer.
    pub fn handle_ask(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantAnswer {
        let result = self.known_result(ask).unwrap_or_else(|| self.decide_new(now, ask));
        GrantAnswer { request: ask.request, entry: ask.entry, server: ask.server, result }
    }

    fn known_result(&self, ask: &GrantAsk) -> Option<GrantResult> {
        if self.closed.get(&(ask.request, ask.server)).is_some() {
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

    fn decide_new(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let result = match self.screen(now, ledger, ask) {
            Some(result) => result,
            None => self.place(now, ask),
        };
        if !matches!(result, GrantResult::Granted { .. } | GrantResult::Queued) {
            self.answers.insert(AskKey::new(ask), result);
        }
        result
    }

    /// Answers that don't depend on the server's load.
    fn screen(&self, now: ClockTime, ledger: &ServerLedger, ask: &GrantAsk) -> Option<GrantResult> {
        if !ledger.spec.pools.contains(&ask.pool) {
            return Some(self.overflow(ask, OverflowCause::WrongPool));
        }
        if let Some(cause) = closed_cause(now, ledger) {
            let away = find_away(ledger, ask);
            return Some(away.unwrap_or_else(|| self.overflow(ask, cause)));
        }
        if self.team_open(ask.team) >= self.rules.team(ask.team).max_open {
            return Some(refused(RefusalReason::TeamLimit, RETRY_MILLIS));
        }
        if ask.follow_directory && !ledger.warm.holds(ask.chat) {
            return self.find_elsewhere(now, ledger, ask);
        }
        None
    }

    fn find_elsewhere(
        &self,
        now: ClockTime,
        ledger: &ServerLedger,
        ask: &GrantAsk,
    ) -> Option<GrantResult> {
        if let Some(redirect) = find_away(ledger, ask) {
            return Some(redirect);
        }
        let at_home = ask.rank == 0 && !ledger.warm.is_complete(now);
        (!at_home).then(|| self.overflow(ask, OverflowCause::NotWarm))
    }

    fn place(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let policy = self.rules.class(ask.class);
        let entry = self.queue_entry(now, ledger, ask, policy);
        let first = ledger.queue.count_ahead(&entry) == 0;
        if first && ledger.has_room(now, self.bound(now, ledger), policy.quick, &self.rules) {
            return self.grant(now, ask, policy, entry.warm);
        }
        self.wait_or_overflow(now, ledger.spec.slots, entry)
    }

    fn wait_or_overflow(&mut self, now: ClockTime, slots: u32, entry: QueuedAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&entry.ask.server) else {
            return GrantResult::NotOwner;
        };
        let wait_micros = self.expect_wait(now, ledger, &entry);
        let worth_waiting = entry.warm && self.prefers_waiting(&entry, wait_micros);
        if !entry.ask.must_queue && !worth_waiting {
            if let Some(redirect) = find_away(ledger, &entry.ask) {
                return redirect;
            }
            let cause =
                if ledger.is_blind() { OverflowCause::Handover } else { OverflowCause::Full };
            return self.overflow(&entry.ask, cause);
        }
        let needed = wait_micros + entry.expect_micros;
        if now.0.saturating_add(needed) > entry.deadline.0 {
            return refused(RefusalReason::DeadlineUnmet, (wait_micros / 1000) as u32);
        }
        if ledger.queue.len() as u32 >= slots.saturating_mul(QUEUE_PER_SLOT) {
            return refused(RefusalReason::Overloaded, (wait_micros / 1000) as u32);
        }
        let patience = (!entry.ask.must_queue).then(|| ClockTime(now.0 + 2 * wait_micros));
        let entry = QueuedAsk { patience, ..entry };
        if let Some(ledger) = self.ledgers.get_mut(&entry.ask.server) {
            ledger.queue.push(entry);
        }
        GrantResult::Queued
    }

    fn queue_entry(
        &self,
        now: ClockTime,
        ledger: &ServerLedger,
        ask: &GrantAsk,
        policy: ClassPolicy,
    ) -> QueuedAsk {
        QueuedAsk {
            ask: *ask,
            policy,
            at: now,
            deadline: now.plus_millis(u64::from(ask.deadline_millis)),
            patience: None,
            expect_micros: self.history.expect_micros(ask.class, policy),
            warm: ledger.warm.holds(ask.chat),
        }
    }

    /// Whether waiting costs less than computing the prefix again on another server.
    fn prefers_waiting(&self, entry: &QueuedAsk, wait_micros: u64) -> bool {
        let prefill =
            u64::from(entry.ask.prompt_tokens) * u64::from(self.rules.prefill_micros_per_token);
        let cold_cost = prefill * u64::from(self.rules.reuse_weight_percent);
        let wait_cost = wait_micros * u64::from(self.rules.skew_weight_percent);
        wait_cost <= cold_cost
    }

    /// Expected wait of a request that would be queued now, in microseconds.
    fn expect_wait(&self, now: ClockTime, ledger: &ServerLedger, entry: &QueuedAsk) -> u64 {
        let ahead = ledger.queue.count_ahead(entry) as u64;
        let running = u64::from(ledger.load().min(self.bound(now, ledger)).max(1));
        (ahead + 1) * entry.expect_micros / running
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
            at: now,
        };
        ledger.insert_grant(ask.request, row);
        ledger.warm.note_use(now, ask.chat);
        *self.team_open.entry(ask.team).or_default() += 1;
        GrantResult::Granted { warm }
    }

    pub(crate) fn overflow(&self, ask: &GrantAsk, cause: OverflowCause) -> GrantResult {
        GrantResult::Overflow { cause, light: self.choose_light(ask) }
    }

    /// One of the pool's light servers, drawn by the request so that requests spread over them.
    fn choose_light(&self, ask: &GrantAsk) -> Option<ServerId> {
        let light = self.light.get(&ask.pool)?;
        let others: Vec<ServerId> =
            light.iter().copied().filter(|server| *server != ask.server).collect();
        let place = mix_pair(ask.request.0, ask.server.0) as usize;
        others.get(place % others.len().max(1)).copied()
    }
}

pub(crate) fn refused(reason: RefusalReason, retry_after_millis: u32) -> GrantResult {
    GrantResult::Refused(GrantRefusal { reason, retry_after_millis })
}

/// A redirect to the other server where the directory has the chat, if the ask follows those.
fn find_away(ledger: &ServerLedger, ask: &GrantAsk) -> Option<GrantResult> {
    let away = ledger.directory.find(ask.chat).filter(|server| *server != ask.server);
    away.filter(|_| ask.follow_directory).map(|server| GrantResult::Redirect { server })
}

/// Why a server takes no work at all.
pub(crate) fn closed_cause(now: ClockTime, ledger: &ServerLedger) -> Option<OverflowCause> {
    if ledger.leaving {
        return Some(OverflowCause::Leaving);
    }
    (!ledger.health.takes_work(now)).then_some(OverflowCause::HeldDown)
}

//! Queued requests: admits them when a server has capacity, and rejects those that it can't serve.

use catkin_base::{ClockTime, RefusalReason, ServerId};

use crate::decision::{AskKey, OWNER_RETRY_AFTER_MILLIS, refused, unavailable_cause};
use crate::grant::{GrantAnswer, GrantAsk, GrantResult, OverflowCause};
use crate::ledger::ServerLedger;
use crate::owner::AdmissionOwner;
use crate::queue::QueuedAsk;

impl AdmissionOwner {
    /// Decides on queued requests and returns the answers, in the order of the decisions.
    pub fn poll(&mut self, now: ClockTime) -> Vec<GrantAnswer> {
        self.needs_poll = false;
        let servers: Vec<ServerId> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.queue.len() > 0)
            .map(|(server, _)| *server)
            .collect();
        for server in servers {
            self.reject_waiting(now, server);
            self.admit_queued(now, server);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Returns when [`Self::poll`] must run next; `None` if no request is queued and no answer is
    /// due.
    pub fn next_due(&self, now: ClockTime) -> Option<ClockTime> {
        let waiting = self.ledgers.values().filter(|ledger| ledger.queue.len() > 0);
        if !self.outbox.is_empty() || (self.needs_poll && waiting.clone().next().is_some()) {
            return Some(now);
        }
        let slow_starts = waiting.clone().map(ServerLedger::slow_start_end).filter(|at| *at > now);
        let deadlines = waiting.flat_map(|ledger| ledger.queue.iter()).map(QueuedAsk::due_at);
        slow_starts.chain(deadlines).min()
    }

    /// Rejects queued requests that `server` can't serve: with a refusal if the deadline is out of
    /// reach, otherwise with an overflow to another server.
    fn reject_waiting(&mut self, now: ClockTime, server: ServerId) {
        let Some(ledger) = self.ledgers.get_mut(&server) else {
            return;
        };
        let unavailable = unavailable_cause(now, ledger);
        let late = ledger.queue.remove_all(|queued| now >= queued.latest_start());
        let moved = ledger.queue.remove_all(|queued| {
            unavailable.is_some()
                || queued.queue_deadline.is_some_and(|queue_deadline| now >= queue_deadline)
        });
        for queued in late {
            let result = refused(RefusalReason::DeadlineUnmet, OWNER_RETRY_AFTER_MILLIS);
            self.answer_queued(&queued.ask, result);
        }
        for queued in moved {
            let result = self.overflow(&queued.ask, unavailable.unwrap_or(OverflowCause::Full));
            self.answer_queued(&queued.ask, result);
        }
    }

    fn admit_queued(&mut self, now: ClockTime, server: ServerId) {
        while let Some(queued) = self.pop_admissible(now, server) {
            let result = self.grant(now, &queued.ask, queued.policy, queued.warm);
            self.answer_queued(&queued.ask, result);
        }
    }

    fn pop_admissible(&mut self, now: ClockTime, server: ServerId) -> Option<QueuedAsk> {
        let ledger = self.ledgers.get(&server)?;
        let bound = self.bound(now, ledger);
        let quick_fits = ledger.has_capacity(now, bound, true, &self.rules);
        let long_fits = ledger.has_capacity(now, bound, false, &self.rules);
        let ledger = self.ledgers.get_mut(&server)?;
        if !quick_fits {
            return None;
        }
        ledger.queue.pop(now, long_fits, &self.rules)
    }

    fn answer_queued(&mut self, ask: &GrantAsk, result: GrantResult) {
        if !matches!(result, GrantResult::Granted { .. }) {
            self.answers.insert(AskKey::new(ask), result);
        }
        let answer =
            GrantAnswer { request: ask.request, entry: ask.entry, server: ask.server, result };
        self.outbox.push(answer);
    }
}

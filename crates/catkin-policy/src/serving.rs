//! Requests that wait: serving them as room comes, and turning away those that can't be served.

use catkin_base::{ClockTime, RefusalReason, ServerId};

use crate::decision::{AskKey, RETRY_MILLIS, closed_cause, refused};
use crate::grant::{GrantAnswer, GrantAsk, GrantResult, OverflowCause};
use crate::ledger::ServerLedger;
use crate::owner::AdmissionOwner;
use crate::queue::QueuedAsk;

impl AdmissionOwner {
    /// Answers to asks that were queued, in the order in which they were decided.
    pub fn poll(&mut self, now: ClockTime) -> Vec<GrantAnswer> {
        self.changed = false;
        let servers: Vec<ServerId> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.queue.len() > 0)
            .map(|(server, _)| *server)
            .collect();
        for server in servers {
            self.turn_away(now, server);
            self.serve_queue(now, server);
        }
        std::mem::take(&mut self.outbox)
    }

    /// When [`Self::poll`] must run next; `None` if nothing waits.
    pub fn next_due(&self, now: ClockTime) -> Option<ClockTime> {
        let waiting = self.ledgers.values().filter(|ledger| ledger.queue.len() > 0);
        if !self.outbox.is_empty() || (self.changed && waiting.clone().next().is_some()) {
            return Some(now);
        }
        let settled = waiting.clone().map(ServerLedger::settled_at).filter(|at| *at > now);
        let entries = waiting.flat_map(|ledger| ledger.queue.iter()).map(QueuedAsk::due_at);
        settled.chain(entries).min()
    }

    /// Answers waiting requests that this server won't serve.
    fn turn_away(&mut self, now: ClockTime, server: ServerId) {
        let Some(ledger) = self.ledgers.get_mut(&server) else {
            return;
        };
        let closed = closed_cause(now, ledger);
        let late = ledger.queue.take_all(|entry| now >= entry.latest_start());
        let moved = ledger.queue.take_all(|entry| {
            closed.is_some() || entry.patience.is_some_and(|patience| now >= patience)
        });
        for entry in late {
            let result = refused(RefusalReason::DeadlineUnmet, RETRY_MILLIS);
            self.answer_queued(&entry.ask, result);
        }
        for entry in moved {
            let result = self.overflow(&entry.ask, closed.unwrap_or(OverflowCause::Full));
            self.answer_queued(&entry.ask, result);
        }
    }

    fn serve_queue(&mut self, now: ClockTime, server: ServerId) {
        while let Some(entry) = self.next_served(now, server) {
            let result = self.grant(now, &entry.ask, entry.policy, entry.warm);
            self.answer_queued(&entry.ask, result);
        }
    }

    fn next_served(&mut self, now: ClockTime, server: ServerId) -> Option<QueuedAsk> {
        let ledger = self.ledgers.get(&server)?;
        let bound = self.bound(now, ledger);
        let room_quick = ledger.has_room(now, bound, true, &self.rules);
        let room_long = ledger.has_room(now, bound, false, &self.rules);
        let ledger = self.ledgers.get_mut(&server)?;
        if !room_quick {
            return None;
        }
        ledger.queue.pop(now, room_long, &self.rules)
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

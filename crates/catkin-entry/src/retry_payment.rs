//! Payments for retries: when one is spent, and when it must be spent again.

use catkin_base::{ClockTime, copy_type};

use crate::call::EntryCall;
use crate::state::EntryState;

/// Time for which a payment holds, in milliseconds. A retry that waits longer for a server or a
/// connection arrives in another window than the one it was paid for.
const PAYMENT_MILLIS: u64 = 300;

copy_type! {
    /// One retry that was taken from the budget of a service.
    pub struct RetryPayment {
        paid: ClockTime,
    }
}

impl RetryPayment {
    /// Creates the payment of a retry that was taken from the budget at `paid`.
    pub const fn new(paid: ClockTime) -> Self {
        Self { paid }
    }

    /// Whether the retry may still be sent without another payment.
    pub const fn holds(self, now: ClockTime) -> bool {
        now.millis_since(self.paid) <= PAYMENT_MILLIS
    }
}

impl<W> EntryState<W> {
    /// Spends one retry of the budget of the service; `None` if it is exhausted.
    pub(crate) fn spend_retry(&self, call: &EntryCall) -> Option<RetryPayment> {
        self.accrue_retries();
        let now = self.now();
        let taken = self.budgets.borrow_mut().try_retry(now, &call.service);
        if taken {
            metrics::counter!("catkin_entry_retries_total", "service" => call.service.clone())
                .increment(1);
            return Some(RetryPayment::new(now));
        }
        let usage = self.budgets.borrow().usage(now, &call.service);
        log::info!(
            "call: retry budget is exhausted; not retrying. request={} retries={} allowed={} \
             requests={} routers={}",
            call.id_text(),
            usage.retries,
            usage.allowed,
            usage.requests,
            self.budget_routers()
        );
        metrics::counter!("catkin_entry_budget_spent_total").increment(1);
        None
    }

    /// Whether an attempt with this payment may be sent now; a payment that no longer holds is made again.
    pub(crate) fn renew_payment(&self, call: &EntryCall, payment: RetryPayment) -> bool {
        payment.holds(self.now()) || self.spend_retry(call).is_some()
    }
}

//! An idle timeout for many successive waits that rarely resets the runtime's timer.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep_until};

/// Applies the same timeout to each wait. All waits share one timer, which is reset only when it
/// fires.
#[derive(Debug)]
pub(crate) struct IdleLimit {
    limit: Duration,
    timer: Pin<Box<Sleep>>,
}

impl IdleLimit {
    pub(crate) fn new(limit: Duration) -> Self {
        Self { limit, timer: Box::pin(sleep_until(Instant::now() + limit)) }
    }

    /// Waits for `future`. Returns `None` if it takes longer than the limit.
    pub(crate) async fn watch<F: Future>(&mut self, future: F) -> Option<F::Output> {
        let deadline = Instant::now() + self.limit;
        let mut future = pin!(future);
        poll_fn(|context| match future.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending => self.poll_deadline(deadline, context).map(|()| None),
        })
        .await
    }

    fn poll_deadline(&mut self, deadline: Instant, context: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(context).is_ready() {
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(deadline);
        }
        Poll::Pending
    }
}

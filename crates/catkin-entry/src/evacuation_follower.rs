//! Follows the evacuations of failure domains in the store, at the routers that others rely on for that,
//! and at any other one that no report has told of them for a while. Where the settings have no bound for
//! evacuations, nothing is read.

use std::rc::Rc;
use std::time::Duration;

use catkin_base::ClockTime;
use tokio::time::{Instant, sleep};

use crate::evacuation_table::{EvacuationTimes, ReadDecision};
use crate::state::EntryState;
use crate::store_client::{GrowingTimeout, StoreCallError, StoreClient};
use crate::store_pace::StorePace;
use crate::store_point::StorePoint;
use crate::wire::{EntryWire, StoreKind, StorePage};

/// Delay between a change and the next watch, so that one watch returns several changes.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// An answer within this time shows that the store is not slow.
const FAST_ANSWER: Duration = Duration::from_millis(150);
/// Interval of checks whether failure domains may be evacuated.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const KIND: StoreKind = StoreKind::Evacuations;

/// Follows evacuations until dropped.
pub(crate) async fn follow_evacuations<W: EntryWire>(state: Rc<EntryState<W>>) {
    let mut follower = EvacuationFollower {
        client: StoreClient::new(state.settings().store),
        must_list: false,
        pace: StorePace::default(),
        timeout: GrowingTimeout::default(),
        state: Rc::clone(&state),
    };
    loop {
        let Some(bound) = state.settings().evacuation_bound() else {
            sleep(SETTINGS_CHECK_INTERVAL).await;
            continue;
        };
        let times = EvacuationTimes::choose(bound, state.local_vm);
        let follows = state.short_watches.get();
        let decision = state.evacuations.borrow().choose_read(state.now(), follows, times);
        match decision {
            ReadDecision::Rely(left) => follower.rely(left).await,
            ReadDecision::Read => {
                if let Err(error) = follower.read_next(times).await {
                    follower.handle_error(&error).await;
                }
            }
        }
    }
}

struct EvacuationFollower<W> {
    state: Rc<EntryState<W>>,
    client: StoreClient<W>,
    /// Whether the next call must list all objects, although a point is known.
    must_list: bool,
    pace: StorePace,
    timeout: GrowingTimeout,
}

impl<W: EntryWire> EvacuationFollower<W> {
    /// Waits while other routers report evacuations.
    async fn rely(&mut self, left: Duration) {
        self.client.reset();
        // A list confirms the set at once, so that the others need not read, too.
        self.must_list = true;
        tokio::select! {
            () = sleep(left) => {}
            () = self.state.watches_shortened.notified() => {}
            () = self.state.process_resumed.notified() => self.expire(),
        }
    }

    /// Lists all objects, or watches for the next changes, and applies the result.
    async fn read_next(&mut self, times: EvacuationTimes) -> Result<(), StoreCallError> {
        let state = Rc::clone(&self.state);
        let point = state.evacuations.borrow().point().filter(|_| !self.must_list);
        let reading = async {
            match point {
                None => self.list_all().await,
                Some(point) => self.watch(point, times.watch).await,
            }
        };
        tokio::select! {
            read = reading => return read,
            () = state.process_resumed.notified() => {}
        }
        self.expire();
        Ok(())
    }

    /// Forgets what was confirmed before a pause of the process.
    fn expire(&mut self) {
        self.state.evacuations.borrow_mut().expire();
        self.client.reset();
        self.must_list = true;
    }

    async fn list_all(&mut self) -> Result<(), StoreCallError> {
        let (sent, asked) = (self.state.now(), Instant::now());
        let list = self.client.list(KIND, self.timeout.current()).await?;
        self.record_answer(asked.elapsed());
        self.must_list = false;
        let names = list.entries.iter().map(|entry| entry.name.as_str());
        let mut evacuations = self.state.evacuations.borrow_mut();
        let changes = evacuations.apply_list(self.state.now(), sent, list.point(), names);
        drop(evacuations);
        log::debug!("evacuations: listed. point={} objects={}", list.point(), list.entries.len());
        self.state.apply_evacuation_changes(&changes, "store");
        self.state.selection_input_change.notify_waiters();
        Ok(())
    }

    /// Watches for changes after `point`.
    async fn watch(&mut self, point: StorePoint, wait: Duration) -> Result<(), StoreCallError> {
        let (sent, asked) = (self.state.now(), Instant::now());
        let watching =
            self.client.watch(KIND, point.revision(), wait, self.timeout.current(), false);
        let page = watching.await?;
        self.record_answer(asked.elapsed().saturating_sub(wait));
        if page.era != point.era() {
            // The changes of one era don't follow on a set of another one.
            self.must_list = true;
            return Ok(());
        }
        self.apply_page(&page, sent.plus(asked.elapsed().min(wait)));
        if !page.entries.is_empty() {
            sleep(BATCH_DELAY).await;
        }
        Ok(())
    }

    fn apply_page(&self, page: &StorePage, confirmed: ClockTime) {
        let changes = page.entries.iter().map(|entry| (entry.name.as_str(), entry.removed));
        let mut evacuations = self.state.evacuations.borrow_mut();
        let changes = evacuations.apply_changes(self.state.now(), confirmed, page.point(), changes);
        drop(evacuations);
        self.state.apply_evacuation_changes(&changes, "store");
    }

    /// Records an answer that took `late` longer than it had to.
    fn record_answer(&mut self, late: Duration) {
        self.state.store_answered.borrow_mut().insert(KIND, Instant::now());
        self.pace.reset();
        // The timeout stays long while the store is slow.
        if late < FAST_ANSWER {
            self.timeout = GrowingTimeout::default();
        }
    }

    async fn handle_error(&mut self, error: &StoreCallError) {
        log::warn!(
            "evacuations: call failed; all objects are listed again. evacuated={} error={error}",
            self.state.evacuations.borrow().len()
        );
        self.client.reset();
        self.must_list = true;
        if matches!(error, StoreCallError::HistoryGone | StoreCallError::Restored { .. }) {
            return;
        }
        metrics::counter!("catkin_entry_store_failures_total").increment(1);
        self.timeout.grow();
        let informed = self.state.evacuations.borrow().point().is_some();
        let delay = self.pace.next_delay(informed, &mut rand::rng());
        sleep(Duration::from_millis(delay)).await;
    }
}

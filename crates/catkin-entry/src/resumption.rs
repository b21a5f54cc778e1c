//! Finds where a stream that a caller resumes may go on, and asks other routers and the store if this router is
//! not sure.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::call::EntryCall;
use crate::origin_book::{ResumeChoice, SoftwareKey, StreamKey};
use crate::refusal::RefusalCause;
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Maximum wait for other routers to tell where a stream began.
const ORIGIN_ANSWER_WAIT: Duration = Duration::from_millis(150);
/// Maximum wait for the store to tell it.
const ORIGIN_READ_WAIT: Duration = Duration::from_millis(450);

/// Finds the software version at which the stream that the request resumes must go on; `None` if it
/// resumes none. Asks other routers and the store if this router is not sure where the stream began.
pub(crate) async fn find_resumed_software<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
) -> Result<Option<SoftwareKey>, RefusalCause> {
    if !call.is_resumed() {
        return Ok(None);
    }
    let began = Instant::now();
    let key = call.resumed_id.as_ref().map(|id| StreamKey::from_request(id.as_bytes()));
    let choose = || {
        let is_doubtful = state.is_list_doubtful();
        state.origins.borrow().choose_resume(state.now(), &call.service, key, is_doubtful)
    };
    let is_known = || matches!(choose(), ResumeChoice::OnlyVersion(_));
    if !is_known() {
        wait_for_origin(state, call.deadline, key, is_known).await;
    }
    let choice = choose();
    log_resumption(state, call, choice, began.elapsed());
    match choice {
        ResumeChoice::OnlyVersion(software) => Ok(Some(software)),
        // Servers of another version may serve, and nobody has told where the stream began.
        ResumeChoice::LikelyVersion(_) if state.is_list_doubtful() => {
            Err(RefusalCause::OriginUnknown)
        }
        ResumeChoice::LikelyVersion(software) => Ok(Some(software)),
        ResumeChoice::EarlierVersion(software) if state.origin_access.is_fresh() => {
            Ok(Some(software))
        }
        ResumeChoice::EarlierVersion(_) => Err(RefusalCause::OriginUnknown),
        ResumeChoice::Unknown => Err(RefusalCause::OriginUnknown),
    }
}

/// Asks other routers and the store where a stream began until `is_known`, or until none of them may know.
async fn wait_for_origin<W: EntryWire>(
    state: &EntryState<W>,
    deadline: Instant,
    key: Option<StreamKey>,
    is_known: impl Fn() -> bool,
) {
    let routers_until = deadline.min(Instant::now() + ORIGIN_ANSWER_WAIT);
    let store_until = deadline.min(Instant::now() + ORIGIN_READ_WAIT);
    let _asked = key.map(|key| AskedOrigin::new(state, key));
    if key.is_some() || state.origins.borrow().is_incomplete(state.now()) {
        state.origin_access.request();
    }
    loop {
        let changed = state.origins_change.notified();
        if is_known() {
            return;
        }
        let is_read = !state.origin_access.is_pending();
        let until = if is_read { routers_until } else { store_until };
        if timeout_at(until, changed).await.is_err() && Instant::now() >= until {
            return;
        }
    }
}

/// Logs where a resumed stream goes on, with what the router knew of its origin.
fn log_resumption<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    choice: ResumeChoice,
    waited: Duration,
) {
    log::info!(
        "call: resumes a stream; going on at servers of the choice. request={} resumes={} \
         choice={choice:?} versions={} uptime_millis={} waited_millis={}",
        call.id_text(),
        call.resumed_id.as_deref().unwrap_or("-"),
        state.origins.borrow().count_versions(&call.service),
        state.started.elapsed().as_millis(),
        waited.as_millis()
    );
}

/// Asks other routers for the origin of a stream until dropped.
struct AskedOrigin<'a, W> {
    state: &'a EntryState<W>,
    key: StreamKey,
}

impl<'a, W> AskedOrigin<'a, W> {
    fn new(state: &'a EntryState<W>, key: StreamKey) -> Self {
        state.asked_origins.borrow_mut().insert(key);
        state.asked_origins_change.notify_waiters();
        Self { state, key }
    }
}

impl<W> Drop for AskedOrigin<'_, W> {
    fn drop(&mut self) {
        self.state.asked_origins.borrow_mut().remove(&self.key);
    }
}

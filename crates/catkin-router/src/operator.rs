//! Operators' requests to one router: status, declarations, history, apply, rollback and drain.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use catkin_operator::{
    ApplyAnswer, ApplyMetadata, ApplyOutcome, ApplyRequest, DrainAnswer, FleetStatus,
    HistoryAnswer, LeaseStatus, OperatorError, OperatorService, PlatformStatus, RetryStore,
    RevisionAnswer, RollbackRequest, apply_declarations, read_history, rollback_declarations,
};
use catkin_platform::{CallCounts, CallKind, HttpStore, PlatformHealth, read_lease};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::runtime::Handle;

use crate::process::ProcessEnvironment;
use crate::status::RouterView;

/// Maximum number of revisions in a history answer.
const MAX_HISTORY_LENGTH: usize = 50;

/// Answers operators' requests to one router, on the threads of the operators' listener.
pub(crate) struct RouterOperator {
    view: RouterView<ProcessEnvironment>,
    /// Platform client for operators' requests, with rate limits of its own.
    store: RetryStore<HttpStore>,
    metrics: Option<PrometheusHandle>,
    runtime: Handle,
}

impl RouterOperator {
    pub(crate) fn new(
        view: RouterView<ProcessEnvironment>,
        store: Arc<HttpStore>,
        metrics: Option<PrometheusHandle>,
    ) -> Self {
        Self { view, store: RetryStore::new(store), metrics, runtime: Handle::current() }
    }

    /// Record of who applies a change, when and why.
    fn build_note(&self, apply_id: String, author: String, comment: String) -> ApplyMetadata {
        ApplyMetadata { apply_id, author, comment, unix_millis: self.view.unix_millis() }
    }
}

impl OperatorService for RouterOperator {
    fn status(&self) -> FleetStatus {
        let store = self.view.store();
        let counts = store.counts().plus(self.store.inner().counts());
        let platform = PlatformStatus {
            healthy: store.health() == PlatformHealth::Up,
            calls: list_calls(&counts),
            failed: counts.failures,
            held_back: counts.held_back,
        };
        let leases = self.runtime.block_on(read_leases(store, &self.view.regions()));
        FleetStatus { platform, leases, ..self.view.status() }
    }

    fn declarations(&self) -> Result<RevisionAnswer, OperatorError> {
        let index = self.view.index().ok_or(OperatorError::NoDeclarations)?;
        let head = self.runtime.block_on(self.view.head());
        let head = head.ok_or(OperatorError::NoDeclarations)?;
        Ok(RevisionAnswer {
            revision: index.revision(),
            digest: head.digest,
            declarations: index.declarations().clone(),
        })
    }

    fn history(&self) -> Result<HistoryAnswer, OperatorError> {
        let history = self.runtime.block_on(read_history(&self.store, MAX_HISTORY_LENGTH));
        history.map(|revisions| HistoryAnswer { revisions }).map_err(|_| OperatorError::Unavailable)
    }

    fn apply(&self, request: ApplyRequest) -> Result<ApplyAnswer, OperatorError> {
        let note = self.build_note(request.apply_id, request.author, request.comment);
        let applied = apply_declarations(&self.store, &request.declarations, request.base, &note);
        Ok(to_answer(self.runtime.block_on(applied)?))
    }

    fn rollback(&self, request: RollbackRequest) -> Result<ApplyAnswer, OperatorError> {
        let note = self.build_note(request.apply_id, request.author, request.comment);
        let applied = rollback_declarations(&self.store, request.revision, request.base, &note);
        Ok(to_answer(self.runtime.block_on(applied)?))
    }

    fn drain(&self) -> Result<DrainAnswer, OperatorError> {
        self.view.start_drain();
        let open = u32::try_from(self.view.open_calls()).unwrap_or(u32::MAX);
        Ok(DrainAnswer { open })
    }

    fn metrics(&self) -> String {
        self.metrics.as_ref().map_or(String::new(), PrometheusHandle::render)
    }

    fn is_ready(&self) -> bool {
        self.view.is_ready()
    }
}

fn to_answer(outcome: ApplyOutcome) -> ApplyAnswer {
    ApplyAnswer { revision: outcome.revision, digest: outcome.digest, unchanged: outcome.unchanged }
}

/// Reads the regions' leases; leaves out those that cannot be read or do not exist.
async fn read_leases(store: &HttpStore, regions: &BTreeSet<String>) -> Vec<LeaseStatus> {
    let mut leases = Vec::new();
    for region in regions {
        if let Ok(Some(lease)) = read_lease(store, region).await {
            let name = region.clone();
            leases.push(LeaseStatus { name, holder: lease.holder, fence: lease.fence });
        }
    }
    leases
}

/// Platform calls by kind.
fn list_calls(counts: &CallCounts) -> BTreeMap<String, u64> {
    let kinds = [
        (CallKind::Get, counts.gets),
        (CallKind::Put, counts.puts),
        (CallKind::Delete, counts.deletes),
        (CallKind::List, counts.lists),
        (CallKind::Watch, counts.watches),
        (CallKind::ListVms, counts.vm_lists),
    ];
    kinds.into_iter().map(|(kind, count)| (kind.as_word().to_owned(), count)).collect()
}

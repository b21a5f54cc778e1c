//! Applying, loading and collecting revisions on a store with injected faults.
//!
//! The tests guard against revisions that are applied twice, lost or only in part when responses
//! are lost, writes are delayed or reads are stale; against readers that return to an older
//! revision; and against garbage collection that deletes chunks in use.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use catkin_operator::{
    ApplyError, ApplyOutcome, ChangeKind, ChunkSource, FetchError, FetchOutcome, HEAD_KEY,
    RetryStore, RevisionHead, RevisionReader, StoreSource, apply_declarations, collect_garbage,
    list_changes, read_history, rollback_declarations,
};
use catkin_platform::{ObjectStore, StoreError, StoredObject, WriteCondition};
use catkin_settings::FleetDeclarations;

use support::{
    FaultRates, MemoryStore, PlannedFault, build_fleet, build_large_fleet, build_metadata,
    with_quota,
};

/// A router as a source: it serves what its reader has loaded.
struct PeerSource(RevisionReader);

impl ChunkSource for PeerSource {
    async fn fetch_head(&self) -> Result<Option<RevisionHead>, StoreError> {
        Ok(self.0.head().cloned())
    }

    async fn fetch_chunk(&self, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.0.chunk(digest).map(<[u8]>::to_vec))
    }
}

/// Applies declarations that must be accepted, and returns the new revision.
async fn apply(store: &MemoryStore, declarations: &FleetDeclarations, base: u64, id: &str) -> u64 {
    let outcome = apply_declarations(store, declarations, Some(base), &build_metadata(id)).await;
    outcome.expect("the apply succeeds").revision
}

/// Loads the newest revision of `source`, and returns its declarations if it is newer than before.
async fn load<C: ChunkSource>(
    reader: &mut RevisionReader,
    source: &C,
) -> Result<Option<FleetDeclarations>, FetchError> {
    let Some(head) = reader.read_head(source).await? else { return Ok(None) };
    match reader.fetch(source, &head).await? {
        FetchOutcome::Loaded { declarations, .. } => Ok(Some(*declarations)),
        FetchOutcome::NotNewer => Ok(None),
    }
}

/// Loads the revision in force with a new reader.
async fn load_newest(store: &MemoryStore) -> (RevisionReader, FleetDeclarations) {
    let mut reader = RevisionReader::new();
    let declarations = load(&mut reader, &StoreSource::new(store)).await;
    let declarations = declarations.expect("readable").expect("something is in force");
    (reader, declarations)
}

#[tokio::test(start_paused = true)]
async fn applied_declarations_can_be_loaded() {
    let store = MemoryStore::new();
    let declarations = build_fleet(300);

    let revision = apply(&store, &declarations, 0, "first").await;
    let (reader, loaded) = load_newest(&store).await;

    assert_eq!(revision, 1);
    assert_eq!(reader.revision(), Some(1));
    assert_eq!(loaded, declarations);
}

#[tokio::test(start_paused = true)]
async fn invalid_declarations_change_nothing() {
    let store = MemoryStore::new();
    let mut declarations = build_fleet(1);
    declarations.default_class = "none".to_owned();

    let result = apply_declarations(&store, &declarations, None, &build_metadata("first")).await;

    assert!(matches!(result, Err(ApplyError::Invalid(errors)) if errors.len() == 1));
    assert!(store.keys("").is_empty());
}

#[tokio::test(start_paused = true)]
async fn apply_on_an_old_base_lists_the_changed_paths() {
    let store = MemoryStore::new();
    let first = build_fleet(100);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 7, 9), 1, "second").await;

    let late =
        apply_declarations(&store, &with_quota(&first, 8, 9), Some(1), &build_metadata("late"))
            .await;

    let changed = vec!["teams.team-00007".to_owned()];
    assert_eq!(late, Err(ApplyError::Conflict { revision: 2, changed }));
}

#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_applies_succeeds() {
    for seed in 0..32 {
        let store = MemoryStore::with_faults(seed, FaultRates::default());
        let first = build_fleet(100);
        apply(&store, &first, 0, "first").await;
        let (left, right) = (with_quota(&first, 1, 9), with_quota(&first, 2, 9));
        let (left_metadata, right_metadata) = (build_metadata("left"), build_metadata("right"));

        let (left_result, right_result) = tokio::join!(
            apply_declarations(&store, &left, Some(1), &left_metadata),
            apply_declarations(&store, &right, Some(1), &right_metadata),
        );

        let (_, in_force) = load_newest(&store).await;
        let (winner, loser, changed) = match left_result {
            Ok(_) => (&left, right_result, "teams.team-00001"),
            Err(_) => (&right, left_result, "teams.team-00002"),
        };
        assert_eq!(&in_force, winner, "seed {seed}");
        let changed = vec![changed.to_owned()];
        assert_eq!(loser, Err(ApplyError::Conflict { revision: 2, changed }), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn lost_response_of_the_head_write_is_confirmed_by_the_apply_id() {
    let store = MemoryStore::new();
    store.plan_fault(PlannedFault::LoseResponse, HEAD_KEY);

    let outcome =
        apply_declarations(&store, &build_fleet(1), Some(0), &build_metadata("first")).await;

    assert_eq!(outcome.expect("confirmed").revision, 1);
    assert_eq!(read_history(&store, 10).await.expect("readable").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_head_write_is_repeated() {
    let store = MemoryStore::new();
    store.plan_fault(PlannedFault::LoseWrite, HEAD_KEY);

    let outcome =
        apply_declarations(&store, &build_fleet(1), Some(0), &build_metadata("first")).await;

    assert_eq!(outcome.expect("repeated").revision, 1);
}

#[tokio::test(start_paused = true)]
async fn lost_response_and_stale_read_back_do_not_apply_twice() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    store.plan_fault(PlannedFault::LoseResponse, HEAD_KEY);
    store.plan_fault(PlannedFault::StaleRead, HEAD_KEY);
    let second = with_quota(&first, 3, 9);

    let outcome = apply_declarations(&store, &second, Some(1), &build_metadata("second")).await;

    assert_eq!(outcome.expect("confirmed").revision, 2);
    let history = read_history(&store, 10).await.expect("readable");
    assert_eq!(history.iter().filter(|head| head.apply_id == "second").count(), 1);
}

#[tokio::test(start_paused = true)]
async fn stale_read_of_the_base_is_repeated() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 3, 8), 1, "second").await;
    store.plan_fault(PlannedFault::StaleRead, HEAD_KEY);

    let outcome =
        apply_declarations(&store, &with_quota(&first, 3, 9), Some(2), &build_metadata("third"))
            .await;

    assert_eq!(outcome.expect("read again").revision, 3);
}

#[tokio::test(start_paused = true)]
async fn apply_on_a_stale_head_is_a_conflict() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 3, 8), 1, "second").await;
    store.plan_fault(PlannedFault::StaleRead, HEAD_KEY);

    let late =
        apply_declarations(&store, &with_quota(&first, 4, 9), Some(1), &build_metadata("late"))
            .await;

    let changed = vec!["teams.team-00003".to_owned()];
    assert_eq!(late, Err(ApplyError::Conflict { revision: 2, changed }));
}

#[tokio::test(start_paused = true)]
async fn content_of_a_stale_head_does_not_count_as_unchanged() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 3, 8), 1, "second").await;
    store.plan_fault(PlannedFault::StaleRead, HEAD_KEY);

    let late = apply_declarations(&store, &first, Some(1), &build_metadata("late")).await;

    let changed = vec!["teams.team-00003".to_owned()];
    assert_eq!(late, Err(ApplyError::Conflict { revision: 2, changed }));
}

#[tokio::test(start_paused = true)]
async fn delayed_head_write_does_not_replace_a_newer_revision() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    for _ in 0..6 {
        store.plan_fault(PlannedFault::DelayWrite, HEAD_KEY);
    }
    let delayed =
        apply_declarations(&store, &with_quota(&first, 3, 9), Some(1), &build_metadata("delayed"))
            .await;
    let newer =
        apply_declarations(&store, &with_quota(&first, 4, 9), Some(1), &build_metadata("newer"))
            .await;

    for _ in 0..100 {
        read_history(&store, 10).await.expect("readable");
    }

    let history = read_history(&store, 10).await.expect("readable");
    let ids: Vec<&str> = history.iter().map(|head| head.apply_id.as_str()).collect();
    assert_eq!(delayed, Err(ApplyError::Unconfirmed));
    let is_newer = newer.is_ok();
    assert_eq!(ids, if is_newer { ["newer", "first"] } else { ["delayed", "first"] });
}

#[tokio::test(start_paused = true)]
async fn repeated_apply_finds_its_revision_after_a_newer_one() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    let second = with_quota(&first, 3, 9);
    apply(&store, &second, 1, "second").await;
    apply(&store, &with_quota(&second, 4, 9), 2, "third").await;

    let repeated = apply_declarations(&store, &second, Some(1), &build_metadata("second")).await;

    let outcome = repeated.expect("found");
    assert_eq!((outcome.revision, outcome.unchanged), (2, true));
    assert_eq!(read_history(&store, 10).await.expect("readable").len(), 3);
}

#[tokio::test(start_paused = true)]
async fn repeated_apply_that_cannot_read_the_history_is_unconfirmed() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    let second = with_quota(&first, 3, 9);
    apply(&store, &second, 1, "second").await;
    apply(&store, &with_quota(&second, 4, 9), 2, "third").await;
    store.plan_fault(PlannedFault::StaleRead, "config/history/");

    let repeated = apply_declarations(&store, &second, Some(1), &build_metadata("second")).await;

    assert_eq!(repeated, Err(ApplyError::Unconfirmed));
}

#[tokio::test(start_paused = true)]
async fn apply_that_fails_between_chunks_leaves_the_old_revision_intact() {
    let store = MemoryStore::new();
    let first = build_large_fleet(3, 300);
    apply(&store, &first, 0, "first").await;
    let mut second = first.clone();
    second.teams.values_mut().for_each(|team| team.max_open = 5);
    store.plan_fault(PlannedFault::Refuse, "config/history/");
    for _ in 0..20 {
        store.plan_fault(PlannedFault::Refuse, "config/chunks/");
    }

    let interrupted = apply_declarations(&store, &second, Some(1), &build_metadata("second")).await;
    let (_, between) = load_newest(&store).await;
    for _ in 0..20 {
        let _ = apply_declarations(&store, &second, Some(1), &build_metadata("second")).await;
    }
    let (_, after) = load_newest(&store).await;

    assert!(matches!(interrupted, Err(ApplyError::Unavailable(_))));
    assert_eq!(between, first);
    assert_eq!(after, second);
}

#[tokio::test(start_paused = true)]
async fn retry_store_completes_an_apply_above_the_rate_limit() {
    let store = Arc::new(MemoryStore::new());
    for _ in 0..300 {
        store.plan_fault(PlannedFault::RateLimit, "config/chunks/");
    }
    let declarations = build_large_fleet(100, 1_000);
    let retry_store = RetryStore::new(Arc::clone(&store));

    let refused =
        apply_declarations(&*store, &declarations, Some(0), &build_metadata("first")).await;
    let applied =
        apply_declarations(&retry_store, &declarations, Some(0), &build_metadata("first")).await;

    assert!(matches!(refused, Err(ApplyError::Unavailable(_))));
    assert_eq!(applied.expect("a retried call succeeds").revision, 1);
}

#[tokio::test(start_paused = true)]
async fn paused_reader_loads_the_newest_revision_and_not_the_one_it_was_reading() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    let (mut reader, _) = load_newest(&store).await;
    apply(&store, &with_quota(&first, 1, 8), 1, "second").await;
    let paused = reader.read_head(&StoreSource::new(&store)).await.expect("readable");
    apply(&store, &with_quota(&first, 1, 9), 2, "third").await;

    let newest = load(&mut reader, &StoreSource::new(&store)).await.expect("readable");
    let late = reader.fetch(&StoreSource::new(&store), &paused.expect("in force")).await;

    assert_eq!(newest, Some(with_quota(&first, 1, 9)));
    assert_eq!(late, Ok(FetchOutcome::NotNewer));
    assert_eq!(reader.revision(), Some(3));
}

#[tokio::test(start_paused = true)]
async fn apply_during_an_outage_changes_nothing() {
    let store = MemoryStore::new();
    apply(&store, &build_fleet(1), 0, "first").await;
    store.set_down(true);

    let result =
        apply_declarations(&store, &build_fleet(2), Some(1), &build_metadata("second")).await;
    store.set_down(false);

    assert!(matches!(result, Err(ApplyError::Unavailable(_))));
    assert_eq!(load_newest(&store).await.1, build_fleet(1));
}

#[tokio::test(start_paused = true)]
async fn stale_head_does_not_return_a_reader_to_an_older_revision() {
    let store = MemoryStore::new();
    apply(&store, &build_fleet(1), 0, "first").await;
    apply(&store, &build_fleet(2), 1, "second").await;
    let (mut reader, _) = load_newest(&store).await;
    store.plan_fault(PlannedFault::StaleRead, HEAD_KEY);

    let loaded = load(&mut reader, &StoreSource::new(&store)).await;

    assert_eq!(loaded, Ok(None));
    assert_eq!(reader.revision(), Some(2));
}

#[tokio::test(start_paused = true)]
async fn router_that_starts_during_an_outage_loads_from_a_peer() {
    let store = MemoryStore::new();
    let declarations = build_large_fleet(100, 500);
    apply(&store, &declarations, 0, "first").await;
    let peer = PeerSource(load_newest(&store).await.0);
    store.set_down(true);
    let mut reader = RevisionReader::new();

    let from_platform = load(&mut reader, &StoreSource::new(&store)).await;
    let from_peer = load(&mut reader, &peer).await;

    assert!(matches!(from_platform, Err(FetchError::Source(_))));
    assert_eq!(from_peer, Ok(Some(declarations)));
}

#[tokio::test(start_paused = true)]
async fn interrupted_load_continues_with_the_missing_chunks() {
    let store = MemoryStore::new();
    let declarations = build_large_fleet(100, 500);
    apply(&store, &declarations, 0, "first").await;
    let (complete, _) = load_newest(&store).await;
    let head = complete.head().expect("loaded").clone();
    let mut reader = RevisionReader::new();
    let partial = PartialSource { source: PeerSource(complete), remaining: 4.into() };
    let interrupted = reader.fetch(&partial, &head).await;
    store.take_counts();

    let loaded = reader.fetch(&StoreSource::new(&store), &head).await;

    assert!(matches!(interrupted, Err(FetchError::Missing(_))));
    assert!(matches!(loaded, Ok(FetchOutcome::Loaded { revision: 1, .. })));
    let chunks = store.keys("config/chunks/").len();
    assert_eq!(store.take_counts().reads, chunks - 4);
}

/// A source that serves a limited number of chunks and then has none.
struct PartialSource {
    source: PeerSource,
    remaining: Mutex<usize>,
}

impl ChunkSource for PartialSource {
    async fn fetch_head(&self) -> Result<Option<RevisionHead>, StoreError> {
        self.source.fetch_head().await
    }

    async fn fetch_chunk(&self, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        {
            let mut remaining = self.remaining.lock().expect("one thread");
            if *remaining == 0 {
                return Ok(None);
            }
            *remaining -= 1;
        }
        self.source.fetch_chunk(digest).await
    }
}

#[tokio::test(start_paused = true)]
async fn corrupt_chunk_is_refused_and_read_again() {
    let store = MemoryStore::new();
    apply(&store, &build_fleet(1), 0, "first").await;
    let (complete, declarations) = load_newest(&store).await;
    let key = store.keys("config/chunks/")[0].clone();
    let digest = key.rsplit('/').next().expect("a digest").to_owned();
    let content = complete.chunk(&digest).expect("cached").to_vec();
    store.overwrite(&key, b"{}");
    let mut reader = RevisionReader::new();

    let corrupt = load(&mut reader, &StoreSource::new(&store)).await;
    store.overwrite(&key, &content);
    let repaired = load(&mut reader, &StoreSource::new(&store)).await;

    assert_eq!(corrupt, Err(FetchError::Corrupt(digest)));
    assert_eq!(repaired, Ok(Some(declarations)));
}

#[tokio::test(start_paused = true)]
async fn rollback_is_a_new_revision() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 1, 9), 1, "second").await;

    let outcome = rollback_declarations(&store, 1, Some(2), &build_metadata("back")).await;

    assert_eq!(outcome.expect("in the history").revision, 3);
    let (reader, in_force) = load_newest(&store).await;
    assert_eq!((reader.revision(), in_force), (Some(3), first));
}

#[tokio::test(start_paused = true)]
async fn rollback_to_an_unknown_revision_is_refused() {
    let store = MemoryStore::new();
    apply(&store, &build_fleet(1), 0, "first").await;

    let outcome = rollback_declarations(&store, 7, Some(1), &build_metadata("back")).await;

    assert_eq!(outcome, Err(ApplyError::UnknownRevision(7)));
}

#[tokio::test(start_paused = true)]
async fn one_change_among_31_000_teams_transfers_three_small_objects() {
    let store = MemoryStore::new();
    let first = build_large_fleet(860, 31_000);
    apply(&store, &first, 0, "first").await;
    let (mut reader, _) = load_newest(&store).await;
    store.take_counts();

    apply(&store, &with_quota(&first, 12_345, 9), 1, "second").await;
    let written = store.take_counts();
    let loaded = load(&mut reader, &StoreSource::new(&store)).await;
    let read = store.take_counts();

    println!("apply: {written:?}");
    println!("router: {read:?}, holds {} bytes", reader.chunk_bytes());
    assert!(loaded.expect("readable").is_some());
    assert_eq!(read.reads, 3);
    assert!(read.read_bytes <= 12 * 1024, "{} bytes", read.read_bytes);
    assert!(written.writes <= 4, "{} writes", written.writes);
}

#[tokio::test(start_paused = true)]
async fn changes_are_listed_by_entry_and_field() {
    let old = build_fleet(3);
    let mut new = with_quota(&old, 1, 9);
    new.teams.remove("team-00002");
    new.deployment = "other".to_owned();
    new.limits.retry_percent = 20;

    new.teams.insert("a.b".to_owned(), old.teams["team-00000"].clone());

    let changes = list_changes(&old, &new);

    let changes: Vec<_> =
        changes.iter().map(|change| (change.path.as_str(), change.change)).collect();
    let expected = [
        ("deployment", ChangeKind::Changed),
        ("limits.retry_percent", ChangeKind::Changed),
        ("teams.a.b", ChangeKind::Added),
        ("teams.team-00001", ChangeKind::Changed),
        ("teams.team-00002", ChangeKind::Removed),
    ];
    assert_eq!(changes, expected);
}

#[tokio::test(start_paused = true)]
async fn garbage_is_deleted_and_recorded_revisions_stay_readable() {
    let store = MemoryStore::new();
    let first = build_fleet(100);
    apply(&store, &first, 0, "first").await;
    let orphan = "config/chunks/0000000000000000000000000000000000000000000000000000000000000000";
    store.overwrite(orphan, b"{}");
    apply(&store, &with_quota(&first, 1, 9), 1, "second").await;

    let outcome = collect_garbage(&store, Duration::ZERO).await.expect("collected");

    assert_eq!((outcome.unreferenced_chunks, outcome.deleted_chunks), (1, 1));
    let back = rollback_declarations(&store, 1, Some(2), &build_metadata("back")).await;
    assert_eq!(back.expect("in the history").revision, 3);
}

/// A store that runs an apply just before the first delete.
struct ApplyBeforeDelete {
    store: MemoryStore,
    pending: Mutex<Option<FleetDeclarations>>,
}

impl ObjectStore for ApplyBeforeDelete {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.store.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> Result<u64, StoreError> {
        self.store.put(key, value, condition).await
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let pending = self.pending.lock().expect("one thread").take();
        if let Some(declarations) = pending {
            apply(&self.store, &declarations, 1, "second").await;
        }
        self.store.delete(key, version).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<String>, StoreError> {
        self.store.list(prefix, after, limit).await
    }

    async fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.store.watch(key, version, wait).await
    }
}

#[tokio::test(start_paused = true)]
async fn chunk_written_again_survives_a_collector_that_had_selected_it() {
    let store = MemoryStore::new();
    let first = build_fleet(10);
    let second = with_quota(&first, 1, 9);
    apply(&store, &first, 0, "first").await;
    for _ in 0..6 {
        store.plan_fault(PlannedFault::Refuse, HEAD_KEY);
    }
    let refused = apply_declarations(&store, &second, Some(1), &build_metadata("refused")).await;
    let store = ApplyBeforeDelete { store, pending: Some(second.clone()).into() };

    let outcome = collect_garbage(&store, Duration::ZERO).await.expect("collected");

    assert!(matches!(refused, Err(ApplyError::Unavailable(_))));
    assert!(outcome.unreferenced_chunks > outcome.deleted_chunks);
    assert_eq!(load_newest(&store.store).await.1, second);
}

/// Result of one apply of a concurrent writer.
struct ApplyReport {
    id: String,
    result: Result<ApplyOutcome, ApplyError>,
}

/// Changes the quota of the writer's own team repeatedly, each time based on the revision that it
/// loaded last.
async fn run_writer(store: &MemoryStore, writer: usize) -> Vec<ApplyReport> {
    let mut reports = Vec::new();
    let mut reader = RevisionReader::new();
    let mut loaded = None;
    for attempt in 0..12 {
        if let Ok(Some(declarations)) = load(&mut reader, &StoreSource::new(store)).await {
            loaded = Some(declarations);
        }
        let Some(current) = &loaded else { continue };
        let changed = with_quota(current, writer, 10 + attempt % 2);
        let id = format!("writer-{writer}-{attempt}");
        let result =
            apply_declarations(store, &changed, reader.revision(), &build_metadata(&id)).await;
        reports.push(ApplyReport { id, result });
    }
    reports
}

#[tokio::test(start_paused = true)]
async fn concurrent_writers_collector_and_faults_leave_every_revision_complete() {
    let rates = FaultRates {
        lose_response: 0.05,
        lose_write: 0.05,
        delay_write: 0.05,
        refuse: 0.05,
        stale_read: 0.05,
    };
    for seed in 0..40 {
        let store = MemoryStore::with_faults(seed, FaultRates::default());
        apply(&store, &build_fleet(6), 0, "first").await;
        store.set_rates(rates);

        let collector = async {
            for _ in 0..40 {
                let _ = collect_garbage(&store, Duration::ZERO).await;
            }
        };
        let (left, middle, right, ()) = tokio::join!(
            run_writer(&store, 0),
            run_writer(&store, 1),
            run_writer(&store, 2),
            collector
        );
        store.set_rates(FaultRates::default());

        let history = read_history(&store, 1_000).await.expect("readable");
        let applied: Vec<&str> = history.iter().map(|head| head.apply_id.as_str()).collect();
        for report in [left, middle, right].iter().flatten() {
            let count = applied.iter().filter(|id| **id == report.id).count();
            match &report.result {
                Ok(outcome) if outcome.unchanged => assert!(count <= 1, "seed {seed}"),
                Ok(_) => assert_eq!(count, 1, "seed {seed}: {} was confirmed", report.id),
                Err(ApplyError::Unconfirmed) => assert!(count <= 1, "seed {seed}: {}", report.id),
                Err(_) => assert_eq!(count, 0, "seed {seed}: {} was refused", report.id),
            }
        }
        for (age, head) in history.iter().enumerate() {
            assert_eq!(head.revision as usize, history.len() - age, "seed {seed}");
            let loaded = RevisionReader::new().fetch(&StoreSource::new(&store), head).await;
            assert!(matches!(loaded, Ok(FetchOutcome::Loaded { .. })), "seed {seed}: {loaded:?}");
        }
    }
}

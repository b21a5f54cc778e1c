//! Revisions: applied whole or not at all, by one of several writers, never backwards.

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

use support::{FaultRates, MemoryStore, PlannedFault, fleet_of, large_fleet, note, with_quota};

/// A router that serves what its reader holds.
struct PeerChunks(RevisionReader);

impl ChunkSource for PeerChunks {
    async fn fetch_head(&self) -> Result<Option<RevisionHead>, StoreError> {
        Ok(self.0.head().cloned())
    }

    async fn fetch_chunk(&self, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.0.chunk(digest).map(<[u8]>::to_vec))
    }
}

async fn apply(store: &MemoryStore, declarations: &FleetDeclarations, base: u64, id: &str) -> u64 {
    let outcome = apply_declarations(store, declarations, Some(base), &note(id)).await;
    outcome.expect("the apply succeeds").revision
}

/// Lets `reader` take what `source` has, and returns the declarations if they are newer.
async fn take<C: ChunkSource>(
    reader: &mut RevisionReader,
    source: &C,
) -> Result<Option<FleetDeclarations>, FetchError> {
    let Some(head) = reader.read_head(source).await? else { return Ok(None) };
    match reader.fetch(source, &head).await? {
        FetchOutcome::Loaded { declarations, .. } => Ok(Some(*declarations)),
        FetchOutcome::NotNewer => Ok(None),
    }
}

async fn read_all(store: &MemoryStore) -> (RevisionReader, FleetDeclarations) {
    let mut reader = RevisionReader::new();
    let declarations = take(&mut reader, &StoreSource::new(store)).await;
    let declarations = declarations.expect("readable").expect("something is in force");
    (reader, declarations)
}

#[tokio::test(start_paused = true)]
async fn applied_declarations_are_read_back() {
    let store = MemoryStore::new();
    let declarations = fleet_of(300);

    let revision = apply(&store, &declarations, 0, "first").await;
    let (reader, read) = read_all(&store).await;

    assert_eq!(revision, 1);
    assert_eq!(reader.revision(), Some(1));
    assert_eq!(read, declarations);
}

#[tokio::test(start_paused = true)]
async fn faulty_declarations_change_nothing() {
    let store = MemoryStore::new();
    let mut declarations = fleet_of(1);
    declarations.default_class = "none".to_owned();

    let result = apply_declarations(&store, &declarations, None, &note("first")).await;

    assert!(matches!(result, Err(ApplyError::Invalid(faults)) if faults.len() == 1));
    assert!(store.keys("").is_empty());
}

#[tokio::test(start_paused = true)]
async fn apply_on_an_old_base_names_what_changed() {
    let store = MemoryStore::new();
    let first = fleet_of(100);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 7, 9), 1, "second").await;

    let late = apply_declarations(&store, &with_quota(&first, 8, 9), Some(1), &note("late")).await;

    let changed = vec!["teams.team-00007".to_owned()];
    assert_eq!(late, Err(ApplyError::Conflict { revision: 2, changed }));
}

#[tokio::test(start_paused = true)]
async fn of_two_applies_at_the_same_moment_one_wins() {
    for seed in 0..32 {
        let store = MemoryStore::with_faults(seed, FaultRates::default());
        let first = fleet_of(100);
        apply(&store, &first, 0, "first").await;
        let (left, right) = (with_quota(&first, 1, 9), with_quota(&first, 2, 9));
        let (left_note, right_note) = (note("left"), note("right"));

        let (left_result, right_result) = tokio::join!(
            apply_declarations(&store, &left, Some(1), &left_note),
            apply_declarations(&store, &right, Some(1), &right_note),
        );

        let (_, in_force) = read_all(&store).await;
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
async fn lost_answer_of_the_head_is_settled_by_the_apply_id() {
    let store = MemoryStore::new();
    store.plan(PlannedFault::LoseAnswer, HEAD_KEY);

    let outcome = apply_declarations(&store, &fleet_of(1), Some(0), &note("first")).await;

    assert_eq!(outcome.expect("settled").revision, 1);
    assert_eq!(read_history(&store, 10).await.expect("readable").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_write_of_the_head_is_repeated() {
    let store = MemoryStore::new();
    store.plan(PlannedFault::LoseWrite, HEAD_KEY);

    let outcome = apply_declarations(&store, &fleet_of(1), Some(0), &note("first")).await;

    assert_eq!(outcome.expect("repeated").revision, 1);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_and_stale_read_back_do_not_apply_twice() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    store.plan(PlannedFault::LoseAnswer, HEAD_KEY);
    store.plan(PlannedFault::StaleRead, HEAD_KEY);
    let second = with_quota(&first, 3, 9);

    let outcome = apply_declarations(&store, &second, Some(1), &note("second")).await;

    assert_eq!(outcome.expect("settled").revision, 2);
    let history = read_history(&store, 10).await.expect("readable");
    assert_eq!(history.iter().filter(|head| head.apply_id == "second").count(), 1);
}

#[tokio::test(start_paused = true)]
async fn stale_read_of_the_base_is_read_again() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 3, 8), 1, "second").await;
    store.plan(PlannedFault::StaleRead, HEAD_KEY);

    let outcome =
        apply_declarations(&store, &with_quota(&first, 3, 9), Some(2), &note("third")).await;

    assert_eq!(outcome.expect("read again").revision, 3);
}

#[tokio::test(start_paused = true)]
async fn apply_on_a_stale_head_is_a_conflict() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 3, 8), 1, "second").await;
    store.plan(PlannedFault::StaleRead, HEAD_KEY);

    let late = apply_declarations(&store, &with_quota(&first, 4, 9), Some(1), &note("late")).await;

    let changed = vec!["teams.team-00003".to_owned()];
    assert_eq!(late, Err(ApplyError::Conflict { revision: 2, changed }));
}

#[tokio::test(start_paused = true)]
async fn content_of_a_stale_head_does_not_pass_for_unchanged() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 3, 8), 1, "second").await;
    store.plan(PlannedFault::StaleRead, HEAD_KEY);

    let late = apply_declarations(&store, &first, Some(1), &note("late")).await;

    let changed = vec!["teams.team-00003".to_owned()];
    assert_eq!(late, Err(ApplyError::Conflict { revision: 2, changed }));
}

#[tokio::test(start_paused = true)]
async fn delayed_write_of_the_head_does_not_undo_a_newer_revision() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    for _ in 0..6 {
        store.plan(PlannedFault::DelayWrite, HEAD_KEY);
    }
    let delayed =
        apply_declarations(&store, &with_quota(&first, 3, 9), Some(1), &note("delayed")).await;
    let newer =
        apply_declarations(&store, &with_quota(&first, 4, 9), Some(1), &note("newer")).await;

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
async fn repeated_apply_finds_its_revision_under_a_newer_one() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    let second = with_quota(&first, 3, 9);
    apply(&store, &second, 1, "second").await;
    apply(&store, &with_quota(&second, 4, 9), 2, "third").await;

    let repeated = apply_declarations(&store, &second, Some(1), &note("second")).await;

    let outcome = repeated.expect("found");
    assert_eq!((outcome.revision, outcome.unchanged), (2, true));
    assert_eq!(read_history(&store, 10).await.expect("readable").len(), 3);
}

#[tokio::test(start_paused = true)]
async fn repeated_apply_that_cannot_read_the_history_is_not_settled() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    let second = with_quota(&first, 3, 9);
    apply(&store, &second, 1, "second").await;
    apply(&store, &with_quota(&second, 4, 9), 2, "third").await;
    store.plan(PlannedFault::StaleRead, "config/history/");

    let repeated = apply_declarations(&store, &second, Some(1), &note("second")).await;

    assert_eq!(repeated, Err(ApplyError::Unconfirmed));
}

#[tokio::test(start_paused = true)]
async fn apply_cut_short_among_its_chunks_leaves_the_old_revision_whole() {
    let store = MemoryStore::new();
    let first = large_fleet(3, 300);
    apply(&store, &first, 0, "first").await;
    let mut second = first.clone();
    second.teams.values_mut().for_each(|team| team.max_open = 5);
    store.plan(PlannedFault::Refuse, "config/history/");
    for _ in 0..20 {
        store.plan(PlannedFault::Refuse, "config/chunks/");
    }

    let cut_short = apply_declarations(&store, &second, Some(1), &note("second")).await;
    let (_, between) = read_all(&store).await;
    for _ in 0..20 {
        let _ = apply_declarations(&store, &second, Some(1), &note("second")).await;
    }
    let (_, after) = read_all(&store).await;

    assert!(matches!(cut_short, Err(ApplyError::Unavailable(_))));
    assert_eq!(between, first);
    assert_eq!(after, second);
}

#[tokio::test(start_paused = true)]
async fn apply_of_many_chunks_waits_for_its_rate() {
    let store = Arc::new(MemoryStore::new());
    for _ in 0..300 {
        store.plan(PlannedFault::Limit, "config/chunks/");
    }
    let declarations = large_fleet(100, 1_000);
    let patient = RetryStore::new(Arc::clone(&store));

    let impatient = apply_declarations(&*store, &declarations, Some(0), &note("first")).await;
    let applied = apply_declarations(&patient, &declarations, Some(0), &note("first")).await;

    assert!(matches!(impatient, Err(ApplyError::Unavailable(_))));
    assert_eq!(applied.expect("the rate allows it in the end").revision, 1);
}

#[tokio::test(start_paused = true)]
async fn paused_reader_takes_the_newest_revision_and_not_the_one_it_was_reading() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    let (mut reader, _) = read_all(&store).await;
    apply(&store, &with_quota(&first, 1, 8), 1, "second").await;
    let paused = reader.read_head(&StoreSource::new(&store)).await.expect("readable");
    apply(&store, &with_quota(&first, 1, 9), 2, "third").await;

    let newest = take(&mut reader, &StoreSource::new(&store)).await.expect("readable");
    let late = reader.fetch(&StoreSource::new(&store), &paused.expect("in force")).await;

    assert_eq!(newest, Some(with_quota(&first, 1, 9)));
    assert_eq!(late, Ok(FetchOutcome::NotNewer));
    assert_eq!(reader.revision(), Some(3));
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_and_changes_nothing() {
    let store = MemoryStore::new();
    apply(&store, &fleet_of(1), 0, "first").await;
    store.set_down(true);

    let result = apply_declarations(&store, &fleet_of(2), Some(1), &note("second")).await;
    store.set_down(false);

    assert!(matches!(result, Err(ApplyError::Unavailable(_))));
    assert_eq!(read_all(&store).await.1, fleet_of(1));
}

#[tokio::test(start_paused = true)]
async fn stale_head_never_takes_a_reader_back() {
    let store = MemoryStore::new();
    apply(&store, &fleet_of(1), 0, "first").await;
    apply(&store, &fleet_of(2), 1, "second").await;
    let (mut reader, _) = read_all(&store).await;
    store.plan(PlannedFault::StaleRead, HEAD_KEY);

    let taken = take(&mut reader, &StoreSource::new(&store)).await;

    assert_eq!(taken, Ok(None));
    assert_eq!(reader.revision(), Some(2));
}

#[tokio::test(start_paused = true)]
async fn router_that_starts_during_an_outage_reads_from_a_peer() {
    let store = MemoryStore::new();
    let declarations = large_fleet(100, 500);
    apply(&store, &declarations, 0, "first").await;
    let peer = PeerChunks(read_all(&store).await.0);
    store.set_down(true);
    let mut reader = RevisionReader::new();

    let from_platform = take(&mut reader, &StoreSource::new(&store)).await;
    let from_peer = take(&mut reader, &peer).await;

    assert!(matches!(from_platform, Err(FetchError::Source(_))));
    assert_eq!(from_peer, Ok(Some(declarations)));
}

#[tokio::test(start_paused = true)]
async fn read_cut_short_by_an_outage_goes_on_where_it_stopped() {
    let store = MemoryStore::new();
    let declarations = large_fleet(100, 500);
    apply(&store, &declarations, 0, "first").await;
    let (whole, _) = read_all(&store).await;
    let head = whole.head().expect("taken").clone();
    let mut reader = RevisionReader::new();
    let half = HalfSource { source: PeerChunks(whole), left: 4.into() };
    let cut_short = reader.fetch(&half, &head).await;
    store.take_counts();

    let taken = reader.fetch(&StoreSource::new(&store), &head).await;

    assert!(matches!(cut_short, Err(FetchError::Missing(_))));
    assert!(matches!(taken, Ok(FetchOutcome::Loaded { revision: 1, .. })));
    let chunks = store.keys("config/chunks/").len();
    assert_eq!(store.take_counts().reads, chunks - 4);
}

/// A source that has only so many chunks to give.
struct HalfSource {
    source: PeerChunks,
    left: Mutex<usize>,
}

impl ChunkSource for HalfSource {
    async fn fetch_head(&self) -> Result<Option<RevisionHead>, StoreError> {
        self.source.fetch_head().await
    }

    async fn fetch_chunk(&self, digest: &str) -> Result<Option<Vec<u8>>, StoreError> {
        {
            let mut left = self.left.lock().expect("one thread");
            if *left == 0 {
                return Ok(None);
            }
            *left -= 1;
        }
        self.source.fetch_chunk(digest).await
    }
}

#[tokio::test(start_paused = true)]
async fn damaged_chunk_is_refused_and_read_again() {
    let store = MemoryStore::new();
    apply(&store, &fleet_of(1), 0, "first").await;
    let (whole, declarations) = read_all(&store).await;
    let key = store.keys("config/chunks/")[0].clone();
    let digest = key.rsplit('/').next().expect("a digest").to_owned();
    let content = whole.chunk(&digest).expect("held").to_vec();
    store.overwrite(&key, b"{}");
    let mut reader = RevisionReader::new();

    let damaged = take(&mut reader, &StoreSource::new(&store)).await;
    store.overwrite(&key, &content);
    let mended = take(&mut reader, &StoreSource::new(&store)).await;

    assert_eq!(damaged, Err(FetchError::Corrupt(digest)));
    assert_eq!(mended, Ok(Some(declarations)));
}

#[tokio::test(start_paused = true)]
async fn rollback_is_a_new_revision() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    apply(&store, &first, 0, "first").await;
    apply(&store, &with_quota(&first, 1, 9), 1, "second").await;

    let outcome = rollback_declarations(&store, 1, Some(2), &note("back")).await;

    assert_eq!(outcome.expect("kept").revision, 3);
    let (reader, in_force) = read_all(&store).await;
    assert_eq!((reader.revision(), in_force), (Some(3), first));
}

#[tokio::test(start_paused = true)]
async fn rollback_to_an_unknown_revision_is_refused() {
    let store = MemoryStore::new();
    apply(&store, &fleet_of(1), 0, "first").await;

    let outcome = rollback_declarations(&store, 7, Some(1), &note("back")).await;

    assert_eq!(outcome, Err(ApplyError::UnknownRevision(7)));
}

#[tokio::test(start_paused = true)]
async fn one_change_of_31_000_teams_moves_three_small_objects() {
    let store = MemoryStore::new();
    let first = large_fleet(860, 31_000);
    apply(&store, &first, 0, "first").await;
    let (mut reader, _) = read_all(&store).await;
    store.take_counts();

    apply(&store, &with_quota(&first, 12_345, 9), 1, "second").await;
    let written = store.take_counts();
    let taken = take(&mut reader, &StoreSource::new(&store)).await;
    let read = store.take_counts();

    println!("apply: {written:?}");
    println!("router: {read:?}, holds {} bytes", reader.chunk_bytes());
    assert!(taken.expect("readable").is_some());
    assert_eq!(read.reads, 3);
    assert!(read.read_bytes <= 12 * 1024, "{} bytes", read.read_bytes);
    assert!(written.writes <= 4, "{} writes", written.writes);
}

#[tokio::test(start_paused = true)]
async fn changes_name_entries_and_fields() {
    let old = fleet_of(3);
    let mut new = with_quota(&old, 1, 9);
    new.teams.remove("team-00002");
    new.deployment = "other".to_owned();
    new.limits.retry_percent = 20;

    new.teams.insert("a.b".to_owned(), old.teams["team-00000"].clone());

    let changes = list_changes(&old, &new);

    let changes: Vec<_> = changes.iter().map(|row| (row.path.as_str(), row.change)).collect();
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
async fn garbage_is_deleted_and_kept_revisions_stay_readable() {
    let store = MemoryStore::new();
    let first = fleet_of(100);
    apply(&store, &first, 0, "first").await;
    let orphan = "config/chunks/0000000000000000000000000000000000000000000000000000000000000000";
    store.overwrite(orphan, b"{}");
    apply(&store, &with_quota(&first, 1, 9), 1, "second").await;

    let outcome = collect_garbage(&store, Duration::ZERO).await.expect("collected");

    assert_eq!((outcome.unreferenced_chunks, outcome.deleted_chunks), (1, 1));
    let back = rollback_declarations(&store, 1, Some(2), &note("back")).await;
    assert_eq!(back.expect("kept").revision, 3);
}

/// A store on which an apply runs just before the first chunk is deleted.
struct ApplyBeforeDelete {
    store: MemoryStore,
    waiting: Mutex<Option<FleetDeclarations>>,
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
        let waiting = self.waiting.lock().expect("one thread").take();
        if let Some(declarations) = waiting {
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
async fn chunk_taken_up_again_outlives_a_collector_that_had_condemned_it() {
    let store = MemoryStore::new();
    let first = fleet_of(10);
    let second = with_quota(&first, 1, 9);
    apply(&store, &first, 0, "first").await;
    for _ in 0..6 {
        store.plan(PlannedFault::Refuse, HEAD_KEY);
    }
    let refused = apply_declarations(&store, &second, Some(1), &note("refused")).await;
    let store = ApplyBeforeDelete { store, waiting: Some(second.clone()).into() };

    let outcome = collect_garbage(&store, Duration::ZERO).await.expect("collected");

    assert!(matches!(refused, Err(ApplyError::Unavailable(_))));
    assert!(outcome.unreferenced_chunks > outcome.deleted_chunks);
    assert_eq!(read_all(&store.store).await.1, second);
}

/// What one of several writers was told.
struct ApplyReport {
    id: String,
    result: Result<ApplyOutcome, ApplyError>,
}

/// Applies changes of its own team, each on what it last read, while the store fails at random.
async fn run_writer(store: &MemoryStore, writer: usize) -> Vec<ApplyReport> {
    let mut reports = Vec::new();
    let mut reader = RevisionReader::new();
    let mut held = None;
    for round in 0..12 {
        if let Ok(Some(declarations)) = take(&mut reader, &StoreSource::new(store)).await {
            held = Some(declarations);
        }
        let Some(current) = &held else { continue };
        let changed = with_quota(current, writer, 10 + round % 2);
        let id = format!("writer-{writer}-{round}");
        let result = apply_declarations(store, &changed, reader.revision(), &note(&id)).await;
        reports.push(ApplyReport { id, result });
    }
    reports
}

#[tokio::test(start_paused = true)]
async fn writers_collectors_and_faults_leave_every_revision_whole() {
    let rates = FaultRates {
        lose_answer: 0.05,
        lose_write: 0.05,
        delay_write: 0.05,
        refuse: 0.05,
        stale_read: 0.05,
    };
    for seed in 0..40 {
        let store = MemoryStore::with_faults(seed, FaultRates::default());
        apply(&store, &fleet_of(6), 0, "first").await;
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
        let made: Vec<&str> = history.iter().map(|head| head.apply_id.as_str()).collect();
        for report in [left, middle, right].iter().flatten() {
            let count = made.iter().filter(|id| **id == report.id).count();
            match &report.result {
                Ok(outcome) if outcome.unchanged => assert!(count <= 1, "seed {seed}"),
                Ok(_) => assert_eq!(count, 1, "seed {seed}: {} was confirmed", report.id),
                Err(ApplyError::Unconfirmed) => assert!(count <= 1, "seed {seed}: {}", report.id),
                Err(_) => assert_eq!(count, 0, "seed {seed}: {} was refused", report.id),
            }
        }
        for (age, head) in history.iter().enumerate() {
            assert_eq!(head.revision as usize, history.len() - age, "seed {seed}");
            let taken = RevisionReader::new().fetch(&StoreSource::new(&store), head).await;
            assert!(matches!(taken, Ok(FetchOutcome::Loaded { .. })), "seed {seed}: {taken:?}");
        }
    }
}

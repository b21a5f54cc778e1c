//! Time to apply and to take revisions of 860 servers and 31,000 teams, the store's time excluded.

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;

use catkin_operator::{RevisionReader, StoreSource, apply_declarations};
use catkin_settings::{check_declarations, parse_declarations};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use tokio::runtime::{Builder, Runtime};

use support::{MemoryStore, large_fleet, note, with_quota};

const SERVERS: usize = 860;
const TEAMS: usize = 31_000;

fn build_runtime() -> Runtime {
    Builder::new_current_thread().enable_time().build().expect("a runtime of one thread")
}

/// Lets a reader take the revision in force.
fn take_revision(runtime: &Runtime, store: &MemoryStore, mut reader: RevisionReader) {
    let source = StoreSource::new(store);
    let head = runtime.block_on(reader.read_head(&source)).expect("readable").expect("in force");
    let taken = runtime.block_on(reader.fetch(&source, &head)).expect("readable");
    black_box(taken);
}

fn bench_revisions(criterion: &mut Criterion) {
    let runtime = build_runtime();
    let first = large_fleet(SERVERS, TEAMS);
    let second = with_quota(&first, 12_345, 9);
    let text = serde_json::to_string_pretty(&first).expect("declarations are JSON");
    let store = MemoryStore::new();
    let apply = |declarations, base, id| {
        runtime.block_on(apply_declarations(&store, declarations, Some(base), &note(id)))
    };
    apply(&first, 0, "first").expect("applied");
    let mut reader = RevisionReader::new();
    let source = StoreSource::new(&store);
    let head = runtime.block_on(reader.read_head(&source)).expect("readable").expect("in force");
    runtime.block_on(reader.fetch(&source, &head)).expect("readable");
    apply(&second, 1, "second").expect("applied");

    let mut group = criterion.benchmark_group("revisions");
    group.sample_size(20);
    group.bench_function("parse and check a file", |bencher| {
        bencher.iter(|| parse_declarations(black_box(&text), "fleet.json").map(|_| ()));
    });
    group.bench_function("check", |bencher| {
        bencher.iter(|| check_declarations(black_box(&first)));
    });
    group.bench_function("take one change", |bencher| {
        bencher.iter_batched(
            || reader.clone(),
            |reader| take_revision(&runtime, &store, reader),
            BatchSize::LargeInput,
        );
    });
    group.bench_function("take the whole", |bencher| {
        bencher.iter_batched(
            RevisionReader::new,
            |reader| take_revision(&runtime, &store, reader),
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(benches, bench_revisions);
criterion_main!(benches);

//! The seed alone determines the faults, and all kinds of faults are drawn.

use std::collections::BTreeSet;

use catkin_soak::{FaultKind, SoakSize, plan_faults};

const SIZE: SoakSize = SoakSize { routers: 12, servers: 8, millis: 60_000 };

#[test]
fn the_same_seed_gives_the_same_faults() {
    assert_eq!(plan_faults(7, SIZE), plan_faults(7, SIZE));
    assert_ne!(plan_faults(7, SIZE), plan_faults(8, SIZE));
}

#[test]
fn all_kinds_of_faults_are_drawn_and_overlap() {
    let plans: Vec<_> = (0..20).map(|seed| plan_faults(seed, SIZE)).collect();

    let kinds: BTreeSet<String> = plans.iter().flatten().map(|fault| word_of(fault.kind)).collect();
    assert_eq!(kinds.len(), 28, "{kinds:?}");
    let pairs = plans.iter().flat_map(|plan| plan.windows(2));
    let overlapping = pairs.filter(|pair| pair[0].at + pair[0].length > pair[1].at).count();
    assert!(overlapping > 500, "{overlapping}");
}

fn word_of(kind: FaultKind) -> String {
    let text = format!("{kind:?}");
    text.split('(').next().unwrap_or_default().to_owned()
}

//! The memory that incomplete messages may take together.

use std::rc::Rc;

use catkin_entry::{BufferBudget, BufferShare, UNCOUNTED_BYTES};

const LIMIT_BYTES: usize = 1_000_000;

fn budget() -> Rc<BufferBudget> {
    Rc::new(BufferBudget::new(LIMIT_BYTES))
}

/// The number of messages of `kept_bytes` that fit.
fn count_fitting(budget: &Rc<BufferBudget>, kept_bytes: usize) -> (usize, Vec<BufferShare>) {
    let mut shares = Vec::new();
    loop {
        let mut share = BufferShare::new(budget);
        if !share.try_resize(kept_bytes) {
            return (shares.len(), shares);
        }
        shares.push(share);
    }
}

#[test]
fn all_messages_together_stay_within_the_limit() {
    let budget = budget();

    let (count, shares) = count_fitting(&budget, 100_000 + UNCOUNTED_BYTES);

    assert_eq!(count, 10);
    assert_eq!(budget.used_bytes(), LIMIT_BYTES);
    drop(shares);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn small_messages_need_no_share() {
    let budget = budget();
    let (_, _shares) = count_fitting(&budget, 500_000 + UNCOUNTED_BYTES);

    let mut share = BufferShare::new(&budget);

    assert!(share.try_resize(UNCOUNTED_BYTES));
    assert!(!share.try_resize(UNCOUNTED_BYTES + 1));
}

#[test]
fn a_share_that_cannot_grow_stays_and_may_shrink() {
    let budget = budget();
    let mut share = BufferShare::new(&budget);
    assert!(share.try_resize(600_000 + UNCOUNTED_BYTES));
    let mut other = BufferShare::new(&budget);
    assert!(other.try_resize(400_000 + UNCOUNTED_BYTES));

    assert!(!share.try_resize(600_001 + UNCOUNTED_BYTES));
    assert_eq!(budget.used_bytes(), LIMIT_BYTES);
    assert!(share.try_resize(0));

    assert!(other.try_resize(LIMIT_BYTES));
}

//! Points of the store's history, which stay ordered when the store is restored from a copy.

use std::fmt;

use catkin_base::copy_type;

/// Number of bits of a point that hold the revision; the bits above hold the era.
const REVISION_BITS: u32 = 48;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

copy_type! {
    /// A point of the store's history: an era and a revision, ordered by the era first.
    ///
    /// An era begins whenever the store is restored from a copy. Revisions then fall and are given
    /// out again for other changes, so they are comparable only within one era. In era 0 a point
    /// is the bare revision; stores that are never restored stay there.
    #[derive(Default)]
    pub struct StorePoint(u64);
}

impl StorePoint {
    /// The latest possible point.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a point. Values beyond the limits, 16 bits of era and 48 of revision, become the
    /// limit.
    pub const fn new(era: u64, revision: u64) -> Self {
        let era = if era > MAX_ERA { MAX_ERA } else { era };
        let revision = if revision > MAX_REVISION { MAX_REVISION } else { revision };
        Self(era << REVISION_BITS | revision)
    }

    /// Creates a point from its number in a message between routers.
    pub const fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// The number that stands for the point in messages between routers. Later points have larger
    /// numbers.
    pub const fn as_number(self) -> u64 {
        self.0
    }

    /// The era.
    pub const fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// The revision within the era.
    pub const fn revision(self) -> u64 {
        self.0 & MAX_REVISION
    }
}

impl fmt::Display for StorePoint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era(), self.revision())
    }
}

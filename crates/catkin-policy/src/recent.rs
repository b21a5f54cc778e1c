//! Maps of bounded size that forget what was not used recently.

use std::collections::BTreeMap;

/// Map that keeps two generations of entries and drops the older one when the newer is full.
///
/// It holds between `generation` and twice `generation` of the entries used last.
#[derive(Debug, Clone)]
pub(crate) struct RecentMap<K, V> {
    generation: usize,
    young: BTreeMap<K, V>,
    old: BTreeMap<K, V>,
    forgot: bool,
}

impl<K: Ord + Copy, V: Copy> RecentMap<K, V> {
    pub(crate) fn new(generation: usize) -> Self {
        Self { generation, young: BTreeMap::new(), old: BTreeMap::new(), forgot: false }
    }

    /// Inserts or replaces an entry, as the most recent one.
    pub(crate) fn insert(&mut self, key: K, value: V) {
        self.old.remove(&key);
        self.young.insert(key, value);
        if self.young.len() >= self.generation {
            self.forgot |= !self.old.is_empty();
            self.old = std::mem::take(&mut self.young);
        }
    }

    pub(crate) fn get(&self, key: &K) -> Option<V> {
        self.young.get(key).or_else(|| self.old.get(key)).copied()
    }

    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        let young = self.young.remove(key);
        let old = self.old.remove(key);
        young.or(old)
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether an entry was ever dropped for want of space.
    pub(crate) fn forgot(&self) -> bool {
        self.forgot
    }

    /// All entries, the more recent generation first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (K, V)> + '_ {
        self.young.iter().chain(self.old.iter()).map(|(key, value)| (*key, *value))
    }
}

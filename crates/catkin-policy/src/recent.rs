//! Map of bounded size that evicts the entries inserted least recently.

use std::collections::BTreeMap;

/// Map with two generations of entries; when the young generation is full, it replaces the old one.
///
/// At least the last `generation_len` entries inserted are retained, and fewer than twice as many
/// in total.
#[derive(Debug, Clone)]
pub(crate) struct RecentMap<K, V> {
    generation_len: usize,
    young: BTreeMap<K, V>,
    old: BTreeMap<K, V>,
    has_evicted: bool,
}

impl<K: Ord + Copy, V: Copy> RecentMap<K, V> {
    pub(crate) fn new(generation_len: usize) -> Self {
        Self { generation_len, young: BTreeMap::new(), old: BTreeMap::new(), has_evicted: false }
    }

    /// Inserts or replaces an entry and makes it the most recent one.
    pub(crate) fn insert(&mut self, key: K, value: V) {
        self.old.remove(&key);
        self.young.insert(key, value);
        if self.young.len() >= self.generation_len {
            self.has_evicted |= !self.old.is_empty();
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

    /// Whether an entry was ever evicted to make space.
    pub(crate) fn has_evicted(&self) -> bool {
        self.has_evicted
    }

    /// Returns all entries, those of the young generation first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (K, V)> + '_ {
        self.young.iter().chain(self.old.iter()).map(|(key, value)| (*key, *value))
    }
}

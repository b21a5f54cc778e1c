//! Objects with versions and conditional writes.

use std::collections::BTreeMap;

use catkin_base::value_type;

/// Largest value of an object in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

value_type! {
    /// An object as the platform stand-in holds it.
    pub struct ObjectView {
        /// Its key.
        pub key: String,
        /// Its version.
        pub version: u64,
        /// Its content.
        pub value: Vec<u8>,
    }
}

/// Condition of a write.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TableCondition {
    /// No object has the key.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TableRefusal {
    /// The condition did not hold.
    Conflict,
    /// The key has characters that are not allowed.
    BadKey,
    /// The value is too large.
    TooLarge,
}

#[derive(Clone)]
pub(crate) struct VersionedValue {
    pub(crate) version: u64,
    pub(crate) value: Vec<u8>,
}

/// All objects. Versions rise across the whole table, so that an object that was deleted and
/// made again never has an earlier version.
#[derive(Default)]
pub(crate) struct ObjectTable {
    objects: BTreeMap<String, VersionedValue>,
    last_version: u64,
}

impl ObjectTable {
    pub(crate) fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.objects.get(key)
    }

    /// Version of an object, zero if it is absent.
    pub(crate) fn version_of(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |object| object.version)
    }

    /// Writes an object if the condition holds; returns its new version.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        condition: TableCondition,
    ) -> Result<u64, TableRefusal> {
        if !is_valid_key(key) {
            return Err(TableRefusal::BadKey);
        }
        if value.len() > MAX_VALUE_BYTES {
            return Err(TableRefusal::TooLarge);
        }
        if !self.holds(key, condition) {
            return Err(TableRefusal::Conflict);
        }
        self.last_version += 1;
        let version = self.last_version;
        self.objects.insert(key.to_owned(), VersionedValue { version, value });
        Ok(version)
    }

    /// Deletes an object that has this version.
    pub(crate) fn delete(&mut self, key: &str, version: u64) -> Result<(), TableRefusal> {
        if !self.holds(key, TableCondition::Version(version)) {
            return Err(TableRefusal::Conflict);
        }
        self.objects.remove(key);
        Ok(())
    }

    /// Keys that start with `prefix` and follow `after`, at most `limit`.
    pub(crate) fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<&str> {
        let start = prefix.max(after);
        self.objects
            .range(start.to_owned()..)
            .map(|(key, _)| key.as_str())
            .filter(|key| *key > after || after.is_empty())
            .take_while(|key| key.starts_with(prefix))
            .take(limit)
            .collect()
    }

    /// Every object whose key starts with `prefix`.
    pub(crate) fn views(&self, prefix: &str) -> Vec<ObjectView> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, object)| ObjectView {
                key: key.clone(),
                version: object.version,
                value: object.value.clone(),
            })
            .collect()
    }

    fn holds(&self, key: &str, condition: TableCondition) -> bool {
        match condition {
            TableCondition::Absent => !self.objects.contains_key(key),
            TableCondition::Version(version) => self.version_of(key) == version && version > 0,
        }
    }
}

fn is_valid_key(key: &str) -> bool {
    let valid = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'/' | b'_' | b'-');
    !key.is_empty() && key.len() <= 512 && key.bytes().all(valid)
}

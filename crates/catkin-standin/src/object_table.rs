//! Object table of the platform stand-in, with versions and conditional writes.

use std::collections::BTreeMap;

use catkin_base::value_type;

/// Maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

value_type! {
    /// A copy of an object that the platform stand-in stores.
    pub struct ObjectView {
        /// Key of the object.
        pub key: String,
        /// Version of the object.
        pub version: u64,
        /// Content of the object.
        pub value: Vec<u8>,
    }
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TableCondition {
    /// No object with the key exists.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Reason why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TableRefusal {
    /// The precondition was not met.
    Conflict,
    /// The key is empty, too long or has a character that is not allowed.
    InvalidKey,
    /// The value is too large.
    TooLarge,
}

#[derive(Clone)]
pub(crate) struct VersionedValue {
    pub(crate) version: u64,
    pub(crate) value: Vec<u8>,
}

/// The objects by key. Versions increase across the whole table, so an object that is deleted and
/// created again never gets one of its earlier versions.
#[derive(Default)]
pub(crate) struct ObjectTable {
    objects: BTreeMap<String, VersionedValue>,
    last_version: u64,
}

impl ObjectTable {
    pub(crate) fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.objects.get(key)
    }

    /// Returns the version of an object, or zero if it does not exist.
    pub(crate) fn find_version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |object| object.version)
    }

    /// Writes an object if the precondition is met, and returns its new version.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        condition: TableCondition,
    ) -> Result<u64, TableRefusal> {
        if !is_valid_key(key) {
            return Err(TableRefusal::InvalidKey);
        }
        if value.len() > MAX_VALUE_BYTES {
            return Err(TableRefusal::TooLarge);
        }
        if !self.is_met(key, condition) {
            return Err(TableRefusal::Conflict);
        }
        self.last_version += 1;
        let version = self.last_version;
        self.objects.insert(key.to_owned(), VersionedValue { version, value });
        Ok(version)
    }

    /// Deletes an object if it has this version.
    pub(crate) fn delete(&mut self, key: &str, version: u64) -> Result<(), TableRefusal> {
        if !self.is_met(key, TableCondition::Version(version)) {
            return Err(TableRefusal::Conflict);
        }
        self.objects.remove(key);
        Ok(())
    }

    /// Returns up to `limit` keys that start with `prefix` and sort after `after`.
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

    /// Copies every object whose key starts with `prefix`.
    pub(crate) fn copy_objects(&self, prefix: &str) -> Vec<ObjectView> {
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

    fn is_met(&self, key: &str, condition: TableCondition) -> bool {
        match condition {
            TableCondition::Absent => !self.objects.contains_key(key),
            TableCondition::Version(version) => self.find_version(key) == version && version > 0,
        }
    }
}

fn is_valid_key(key: &str) -> bool {
    let valid = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'/' | b'_' | b'-');
    !key.is_empty() && key.len() <= 512 && key.bytes().all(valid)
}

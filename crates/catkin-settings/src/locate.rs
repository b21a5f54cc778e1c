//! Finds the byte range of a value in a JSON document by its path.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::issue::{JsonPath, PathStep};

/// Members of an object in text order, including members with a repeated key.
struct ObjectMembers<'a>(Vec<(String, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for ObjectMembers<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MembersVisitor)
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = ObjectMembers<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut members = Vec::new();
        while let Some(member) = access.next_entry()? {
            members.push(member);
        }
        Ok(ObjectMembers(members))
    }
}

/// Returns the byte range of the value at `path` in `text`, which is JSON without comments.
///
/// Returns `None` if the document has no value at `path`.
pub(crate) fn locate_value(text: &str, path: &JsonPath) -> Option<Range<usize>> {
    let mut value = text;
    for step in &path.steps {
        value = select_child(value, step)?;
    }
    let trimmed = value.trim();
    let start = trimmed.as_ptr() as usize - text.as_ptr() as usize;
    Some(start..start + trimmed.len())
}

/// Returns the path of each repeated key, at any depth, once for every repetition.
pub(crate) fn find_repeated_keys(text: &str) -> Vec<JsonPath> {
    let mut repeated = Vec::new();
    collect_repeated_keys(text, &mut JsonPath::default(), &mut repeated);
    repeated
}

fn select_child<'a>(value: &'a str, step: &PathStep) -> Option<&'a str> {
    match step {
        PathStep::Key(key) => {
            let mut members: BTreeMap<String, &'a RawValue> = serde_json::from_str(value).ok()?;
            members.remove(key).map(RawValue::get)
        }
        PathStep::Index(index) => {
            let elements: Vec<&'a RawValue> = serde_json::from_str(value).ok()?;
            elements.get(*index).map(|element| element.get())
        }
    }
}

fn collect_repeated_keys(value: &str, path: &mut JsonPath, repeated: &mut Vec<JsonPath>) {
    if let Ok(ObjectMembers(members)) = serde_json::from_str(value) {
        let mut seen = BTreeSet::new();
        for (key, member) in members {
            path.steps.push(PathStep::Key(key.clone()));
            if !seen.insert(key) {
                repeated.push(path.clone());
            }
            collect_repeated_keys(member.get(), path, repeated);
            path.steps.pop();
        }
    } else if let Ok(elements) = serde_json::from_str::<Vec<&RawValue>>(value) {
        for (index, element) in elements.into_iter().enumerate() {
            path.steps.push(PathStep::Index(index));
            collect_repeated_keys(element.get(), path, repeated);
            path.steps.pop();
        }
    }
}

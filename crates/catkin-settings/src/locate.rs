//! Finds the bytes of a value in a JSON document by its path.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::issue::{JsonPath, PathStep};

/// Members of an object in the order of the text, repeated keys included.
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
/// A path that leads nowhere gives `None`.
pub(crate) fn locate_value(text: &str, path: &JsonPath) -> Option<Range<usize>> {
    let mut value = text;
    for step in &path.steps {
        value = enter_value(value, step)?;
    }
    let trimmed = value.trim();
    let start = trimmed.as_ptr() as usize - text.as_ptr() as usize;
    Some(start..start + trimmed.len())
}

/// Returns the first path of each repeated key, at any depth.
pub(crate) fn repeated_keys(text: &str) -> Vec<JsonPath> {
    let mut repeated = Vec::new();
    collect_repeated(text, &mut JsonPath::default(), &mut repeated);
    repeated
}

fn enter_value<'a>(value: &'a str, step: &PathStep) -> Option<&'a str> {
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

fn collect_repeated(value: &str, path: &mut JsonPath, repeated: &mut Vec<JsonPath>) {
    if let Ok(ObjectMembers(members)) = serde_json::from_str(value) {
        let mut seen = BTreeSet::new();
        for (key, member) in members {
            path.steps.push(PathStep::Key(key.clone()));
            if !seen.insert(key) {
                repeated.push(path.clone());
            }
            collect_repeated(member.get(), path, repeated);
            path.steps.pop();
        }
    } else if let Ok(elements) = serde_json::from_str::<Vec<&RawValue>>(value) {
        for (index, element) in elements.into_iter().enumerate() {
            path.steps.push(PathStep::Index(index));
            collect_repeated(element.get(), path, repeated);
            path.steps.pop();
        }
    }
}

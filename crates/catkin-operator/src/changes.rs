//! Lists the differences between two versions of the declarations.

use std::collections::BTreeSet;

use catkin_base::{copy_type, document_type};
use catkin_settings::FleetDeclarations;
use serde_json::Value;

copy_type! {
    /// Kind of a difference.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum ChangeKind {
        /// Only the new declarations have the entry.
        Added,
        /// Only the old declarations have the entry.
        Removed,
        /// Both have the entry, with different contents.
        Changed,
    }
}

document_type! {
    /// One difference between two versions of the declarations.
    #[derive(Eq)]
    pub struct PathChange {
        /// Path of a table's entry (`teams.NAME`) or of a field.
        pub path: String,
        /// Kind of the difference.
        pub change: ChangeKind,
    }
}

/// Lists the differences from `old` to `new`: entries of tables and fields of other objects,
/// ordered by table and name.
pub fn list_changes(old: &FleetDeclarations, new: &FleetDeclarations) -> Vec<PathChange> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut changes = Vec::new();
    for key in collect_keys(&old, &new) {
        let (old, new) = (&old[&key], &new[&key]);
        if old == new {
            continue;
        }
        if !old.is_object() && !new.is_object() {
            changes.push(PathChange { path: key, change: ChangeKind::Changed });
            continue;
        }
        for name in collect_keys(old, new) {
            if let Some(change) = compare_entries(old.get(&name), new.get(&name)) {
                changes.push(PathChange { path: format!("{key}.{name}"), change });
            }
        }
    }
    changes
}

fn compare_entries(old: Option<&Value>, new: Option<&Value>) -> Option<ChangeKind> {
    match (old, new) {
        (None, Some(_)) => Some(ChangeKind::Added),
        (Some(_), None) => Some(ChangeKind::Removed),
        _ if old != new => Some(ChangeKind::Changed),
        _ => None,
    }
}

fn collect_keys(old: &Value, new: &Value) -> BTreeSet<String> {
    let members = [old, new].into_iter().filter_map(Value::as_object);
    members.flat_map(|members| members.keys().cloned()).collect()
}

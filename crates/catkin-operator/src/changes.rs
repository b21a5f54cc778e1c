//! Differences between two declarations.

use std::collections::BTreeSet;

use catkin_base::{copy_type, document_type};
use catkin_settings::FleetDeclarations;
use serde_json::Value;

copy_type! {
    /// What happens to an entry.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum ChangeKind {
        /// It is new.
        Added,
        /// It is gone.
        Removed,
        /// It has another content.
        Changed,
    }
}

document_type! {
    /// One difference.
    #[derive(Eq)]
    pub struct PathChange {
        /// Entry of a table, or field of the rest.
        pub path: String,
        /// What happens to it.
        pub change: ChangeKind,
    }
}

/// Differences between two declarations: entries of tables, and fields of the rest.
pub fn list_changes(old: &FleetDeclarations, new: &FleetDeclarations) -> Vec<PathChange> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut changes = Vec::new();
    for key in member_names(&old, &new) {
        let (old, new) = (&old[&key], &new[&key]);
        if old == new {
            continue;
        }
        if !old.is_object() && !new.is_object() {
            changes.push(PathChange { path: key, change: ChangeKind::Changed });
            continue;
        }
        for name in member_names(old, new) {
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

fn member_names(old: &Value, new: &Value) -> BTreeSet<String> {
    let members = [old, new].into_iter().filter_map(Value::as_object);
    members.flat_map(|members| members.keys().cloned()).collect()
}

//! Compares declarations with those in force.

use std::io::{Write, sink};
use std::path::Path;

use catkin_base::{copy_type, document_type};
use catkin_operator::changed_paths;
use catkin_settings::FleetDeclarations;
use clap::ArgMatches;
use serde_json::Value;

use crate::check::read_declarations;
use crate::connect::connect_client;
use crate::failure::CommandFailure;
use crate::run::{is_json, write_json};

copy_type! {
    /// What happens to an entry.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    enum ChangeKind {
        Added,
        Removed,
        Changed,
    }
}

document_type! {
    /// One difference.
    struct PathChange {
        path: String,
        change: ChangeKind,
    }

    /// Every difference from the revision in force.
    struct RevisionDiff {
        base: u64,
        changes: Vec<PathChange>,
    }
}

/// Writes what would change if the declarations at `path` were applied.
pub(crate) fn diff_path(
    path: &Path,
    matches: &ArgMatches,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    let declarations = read_declarations(path, &mut sink())?.declarations;
    let in_force = connect_client(matches)?.declarations()?;
    let changes = list_changes(&in_force.declarations, &declarations);
    let diff = RevisionDiff { base: in_force.revision, changes };
    if is_json(matches) {
        return write_json(&diff, output);
    }
    writeln!(output, "{} changes from revision {}", diff.changes.len(), diff.base)?;
    for change in &diff.changes {
        let mark = match change.change {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        writeln!(output, "{mark} {}", change.path)?;
    }
    Ok(())
}

fn list_changes(old: &FleetDeclarations, new: &FleetDeclarations) -> Vec<PathChange> {
    let paths = changed_paths(old, new);
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let change_of = |path: String| {
        let change = match (entry_at(&old, &path), entry_at(&new, &path)) {
            (None, _) => ChangeKind::Added,
            (_, None) => ChangeKind::Removed,
            _ => ChangeKind::Changed,
        };
        PathChange { path, change }
    };
    paths.into_iter().map(change_of).collect()
}

/// The entry at `table.name`; names may contain dots.
fn entry_at<'a>(document: &'a Value, path: &str) -> Option<&'a Value> {
    match path.split_once('.') {
        Some((table, name)) => document.get(table)?.get(name),
        None => document.get(path),
    }
}

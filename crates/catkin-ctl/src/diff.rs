//! Command `diff`: compares declarations with those in force.

use std::io::{Write, sink};
use std::path::Path;

use catkin_base::document_type;
use catkin_operator::{ChangeKind, PathChange, list_changes};
use clap::ArgMatches;

use crate::check::read_declarations;
use crate::client_options::build_client;
use crate::failure::CommandFailure;
use crate::run::{is_json, write_json};

document_type! {
    /// Differences from the revision in force, as JSON.
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
    let in_force = build_client(matches)?.declarations()?;
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

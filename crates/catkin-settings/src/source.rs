//! One file of JSON with comments.

use std::io::Read;
use std::ops::Range;
use std::sync::Arc;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::issue::{IssueLevel, JsonPath, SettingsIssue};
use crate::locate::{locate_value, repeated_keys};
use crate::report::SettingsDiagnostic;

/// A file's name and text, with and without comments; offsets are the same in both.
pub(crate) struct SourceFile {
    name: Arc<str>,
    text: Arc<str>,
    json: String,
}

impl SourceFile {
    /// Strips the comments of `text`.
    pub(crate) fn new(name: &str, text: &str) -> Self {
        Self { name: name.into(), text: text.into(), json: strip_comments(text) }
    }

    /// Reads the document; an error is placed where reading stopped.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T, Vec<SettingsDiagnostic>> {
        let document = serde_json::from_str(&self.json).map_err(|error| {
            let offset = offset_of_position(&self.json, error.line(), error.column());
            vec![self.diagnostic_at(offset..offset, IssueLevel::Error, message_of(&error))]
        })?;
        let repeated = repeated_keys(&self.json);
        if repeated.is_empty() {
            return Ok(document);
        }
        Err(repeated.iter().map(|path| self.build_repeated_key(path)).collect())
    }

    /// Whether the document has a value at `path`.
    pub(crate) fn contains(&self, path: &JsonPath) -> bool {
        locate_value(&self.json, path).is_some()
    }

    /// The fault as a problem of this file, placed at its path or the nearest value around it.
    pub(crate) fn locate_issue(&self, issue: &SettingsIssue) -> SettingsDiagnostic {
        let mut path = issue.path.clone();
        let range = loop {
            if let Some(range) = locate_value(&self.json, &path) {
                break range;
            }
            if path.steps.pop().is_none() {
                break 0..0;
            }
        };
        self.diagnostic_at(range, issue.level, issue.to_string())
    }

    fn build_repeated_key(&self, path: &JsonPath) -> SettingsDiagnostic {
        self.locate_issue(&SettingsIssue::error(path.clone(), "the key is given twice"))
    }

    fn diagnostic_at(
        &self,
        range: Range<usize>,
        level: IssueLevel,
        message: String,
    ) -> SettingsDiagnostic {
        SettingsDiagnostic::new(
            &self.name,
            &self.text,
            first_line_of(&self.text, range),
            level,
            message,
        )
    }
}

/// Replaces comments by spaces, so that offsets stay.
fn strip_comments(text: &str) -> String {
    let mut json = String::with_capacity(text.len());
    match StripComments::new(text.as_bytes()).read_to_string(&mut json) {
        Ok(_) => json,
        // The text ends inside a comment: serde_json reports what is missing at its end.
        Err(_) => text.to_owned(),
    }
}

/// Offset of a one-based line and column, as serde_json gives them, in bytes.
fn offset_of_position(text: &str, line: usize, column: usize) -> usize {
    let line_start: usize =
        text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let mut offset = (line_start + column.saturating_sub(1)).min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}

/// The message without serde_json's own position, which counts from the wrong file start.
fn message_of(error: &serde_json::Error) -> String {
    let message = error.to_string();
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message,
    }
}

/// Cuts a range at the end of its first line, so that a snippet stays short.
fn first_line_of(text: &str, range: Range<usize>) -> Range<usize> {
    let line = text.get(range.clone()).and_then(|value| value.lines().next());
    range.start..range.start + line.map_or(0, str::len)
}

//! A file of JSON with comments.

use std::io::Read;
use std::ops::Range;
use std::sync::Arc;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::issue::{IssueLevel, JsonPath, SettingsIssue};
use crate::locate::{find_repeated_keys, locate_value};
use crate::report::SettingsDiagnostic;

/// A file's name and text, with and without comments. Byte offsets are the same in both texts.
pub(crate) struct SourceFile {
    name: Arc<str>,
    text: Arc<str>,
    json: String,
}

impl SourceFile {
    /// Creates a source file and strips the comments of `text`.
    pub(crate) fn new(name: &str, text: &str) -> Self {
        Self { name: name.into(), text: text.into(), json: strip_comments(text) }
    }

    /// Parses the document. Fails with a diagnostic at the position where parsing stopped, or with
    /// one for each repeated key.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T, Vec<SettingsDiagnostic>> {
        let document = serde_json::from_str(&self.json).map_err(|error| {
            let offset = compute_offset(&self.json, error.line(), error.column());
            vec![self.build_diagnostic(offset..offset, IssueLevel::Error, strip_position(&error))]
        })?;
        let repeated = find_repeated_keys(&self.json);
        if repeated.is_empty() {
            return Ok(document);
        }
        Err(repeated.iter().map(|path| self.build_repeated_diagnostic(path)).collect())
    }

    /// Returns whether the document has a value at `path`.
    pub(crate) fn contains(&self, path: &JsonPath) -> bool {
        locate_value(&self.json, path).is_some()
    }

    /// Returns the issue with its position in this file: that of the value at its path, or of the
    /// nearest enclosing value.
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
        self.build_diagnostic(range, issue.level, issue.to_string())
    }

    fn build_repeated_diagnostic(&self, path: &JsonPath) -> SettingsDiagnostic {
        self.locate_issue(&SettingsIssue::error(path.clone(), "the key is given twice"))
    }

    fn build_diagnostic(
        &self,
        range: Range<usize>,
        level: IssueLevel,
        message: String,
    ) -> SettingsDiagnostic {
        SettingsDiagnostic::new(
            &self.name,
            &self.text,
            truncate_to_line(&self.text, range),
            level,
            message,
        )
    }
}

/// Replaces comments by spaces, which keeps byte offsets unchanged.
fn strip_comments(text: &str) -> String {
    let mut json = String::with_capacity(text.len());
    match StripComments::new(text.as_bytes()).read_to_string(&mut json) {
        Ok(_) => json,
        // The text ends inside a comment. serde_json will report a syntax error.
        Err(_) => text.to_owned(),
    }
}

/// Returns the byte offset of a line and column as given by serde_json, both counted from 1.
fn compute_offset(text: &str, line: usize, column: usize) -> usize {
    let line_start: usize =
        text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let mut offset = (line_start + column.saturating_sub(1)).min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}

/// Returns the message without the position that serde_json appends. The diagnostic already shows
/// the position in the file.
fn strip_position(error: &serde_json::Error) -> String {
    let message = error.to_string();
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message,
    }
}

/// Truncates a range at the end of its first line, which keeps the displayed excerpt short.
fn truncate_to_line(text: &str, range: Range<usize>) -> Range<usize> {
    let line = text.get(range.clone()).and_then(|value| value.lines().next());
    range.start..range.start + line.map_or(0, str::len)
}

//! Collects the issues of a document.

use std::ops::RangeInclusive;

use crate::issue::{JsonPath, SettingsIssue};

/// Issues found so far. Callers pass keys; a path is built only when there is an issue.
#[derive(Debug, Default)]
pub(crate) struct IssueList {
    issues: Vec<SettingsIssue>,
}

impl IssueList {
    /// Returns the issues in the order in which they were found.
    pub(crate) fn into_issues(self) -> Vec<SettingsIssue> {
        self.issues
    }

    /// Adds an error.
    pub(crate) fn add_error(&mut self, keys: &[&str], message: impl Into<String>) {
        self.issues.push(SettingsIssue::error(JsonPath::from_keys(keys), message));
    }

    /// Adds an error at an element of an array.
    pub(crate) fn add_element_error(
        &mut self,
        keys: &[&str],
        index: usize,
        message: impl Into<String>,
    ) {
        self.issues
            .push(SettingsIssue::error(JsonPath::from_keys(keys).with_index(index), message));
    }

    /// Adds a warning.
    pub(crate) fn add_warning(&mut self, keys: &[&str], message: impl Into<String>) {
        self.issues.push(SettingsIssue::warning(JsonPath::from_keys(keys), message));
    }

    /// Adds an error if `value` is outside `range`.
    pub(crate) fn check_range(
        &mut self,
        keys: &[&str],
        value: impl Into<u64>,
        range: &RangeInclusive<u64>,
    ) {
        let value = value.into();
        if !range.contains(&value) {
            let message = format!("{value} is not between {} and {}", range.start(), range.end());
            self.add_error(keys, message);
        }
    }

    /// Adds an error if `name` is blank.
    pub(crate) fn check_name(&mut self, keys: &[&str], name: &str) {
        if name.trim().is_empty() {
            self.add_error(keys, "the name is empty");
        }
    }

    /// Adds an error if `text` is not a 32-byte value in lower-case hexadecimal.
    pub(crate) fn check_digest(&mut self, keys: &[&str], text: &str) {
        let is_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != HEX_DIGEST_CHARS || !is_hex {
            self.add_error(keys, "must be 64 lower-case hexadecimal characters");
        }
    }
}

/// Hexadecimal characters of a 32-byte key or SHA-256 digest.
const HEX_DIGEST_CHARS: usize = 64;

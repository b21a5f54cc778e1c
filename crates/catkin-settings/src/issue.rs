//! Issues found in a document, each with the path of a value.

use std::fmt;

use catkin_base::{copy_type, value_type};

value_type! {
    /// One step of a path into a JSON document.
    pub enum PathStep {
        /// The member of an object with this key.
        Key(String),
        /// The element of an array at this index, counted from 0.
        Index(usize),
    }

    /// Path of a value in a JSON document.
    #[derive(Default)]
    pub struct JsonPath {
        /// Steps from the root.
        pub steps: Vec<PathStep>,
    }

    /// An error or warning about a value in a document.
    pub struct SettingsIssue {
        /// Path of the value.
        pub path: JsonPath,
        /// Whether this is an error or a warning.
        pub level: IssueLevel,
        /// Description of the issue.
        pub message: String,
    }
}

copy_type! {
    /// Whether an issue makes the document unusable.
    pub enum IssueLevel {
        /// The document is rejected.
        Error,
        /// The document can be used.
        Warning,
    }
}

impl JsonPath {
    /// Creates a path of object keys.
    pub fn from_keys(keys: &[&str]) -> Self {
        Self { steps: keys.iter().map(|key| PathStep::Key((*key).to_owned())).collect() }
    }

    /// Appends a step into an array.
    pub fn with_index(mut self, index: usize) -> Self {
        self.steps.push(PathStep::Index(index));
        self
    }
}

impl fmt::Display for JsonPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.steps.iter().enumerate() {
            match step {
                PathStep::Key(key) if position == 0 => write!(formatter, "{key}")?,
                PathStep::Key(key) => write!(formatter, ".{key}")?,
                PathStep::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}

impl SettingsIssue {
    /// Creates an error.
    pub fn error(path: JsonPath, message: impl Into<String>) -> Self {
        Self { path, level: IssueLevel::Error, message: message.into() }
    }

    /// Creates a warning.
    pub fn warning(path: JsonPath, message: impl Into<String>) -> Self {
        Self { path, level: IssueLevel::Warning, message: message.into() }
    }
}

impl fmt::Display for SettingsIssue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)
    }
}

//! Faults found in a document, each at a path.

use std::fmt;

use catkin_base::{copy_type, value_type};

value_type! {
    /// One step into a JSON document.
    pub enum PathStep {
        /// Into an object.
        Key(String),
        /// Into an array.
        Index(usize),
    }

    /// Place of a value in a JSON document.
    #[derive(Default)]
    pub struct JsonPath {
        /// Steps from the root.
        pub steps: Vec<PathStep>,
    }

    /// A fault in a document.
    pub struct SettingsIssue {
        /// Where it is.
        pub path: JsonPath,
        /// Whether it forbids use of the document.
        pub level: IssueLevel,
        /// What is wrong, for a person.
        pub message: String,
    }
}

copy_type! {
    /// Whether a fault forbids use of a document.
    pub enum IssueLevel {
        /// The document is refused.
        Error,
        /// The document may be used.
        Warning,
    }
}

impl JsonPath {
    /// A path of object keys.
    pub fn of_keys(keys: &[&str]) -> Self {
        Self { steps: keys.iter().map(|key| PathStep::Key((*key).to_owned())).collect() }
    }

    /// This path and one step into an array.
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
    /// A fault that forbids use of the document.
    pub fn error(path: JsonPath, message: impl Into<String>) -> Self {
        Self { path, level: IssueLevel::Error, message: message.into() }
    }

    /// A fault that does not.
    pub fn warning(path: JsonPath, message: impl Into<String>) -> Self {
        Self { path, level: IssueLevel::Warning, message: message.into() }
    }
}

impl fmt::Display for SettingsIssue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)
    }
}

//! Header fields of a message.

use bytes::Bytes;
use catkin_base::value_type;

value_type! {
    /// One header field as received.
    pub struct HeaderField {
        /// Name, with the letter case of the sender.
        pub name: Bytes,
        /// Value without leading and trailing whitespace.
        pub value: Bytes,
    }
}

value_type! {
    /// Header fields of a message, in the order received.
    #[derive(Default)]
    pub struct FieldList {
        fields: Vec<HeaderField>,
    }
}

impl HeaderField {
    /// Whether the field has this name, ignoring ASCII case.
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

impl FieldList {
    /// Appends a field.
    pub fn push(&mut self, field: HeaderField) {
        self.fields.push(field);
    }

    /// Iterates over all fields.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Values of all fields with this name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.fields
            .iter()
            .filter(move |field| field.has_name(name))
            .map(|field| field.value.as_ref())
    }

    /// Value of the first field with this name, if it is valid UTF-8.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.values(name).next()?;
        std::str::from_utf8(value).ok()
    }

    /// Whether a field with this name is present.
    pub fn contains(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Whether fields with this name have different values.
    pub fn has_conflict(&self, name: &str) -> bool {
        let mut values = self.values(name);
        values.next().is_some_and(|first| values.any(|value| value != first))
    }

    /// Number of fields with this name.
    pub fn count(&self, name: &str) -> usize {
        self.values(name).count()
    }

    /// Whether the comma-separated lists in all fields with this name contain `token`, ignoring
    /// ASCII case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|found| found.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Tokens of the comma-separated lists in all fields with this name.
    pub fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let split = |value: &'a [u8]| value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii);
        self.values(name).flat_map(split).filter(|token| !token.is_empty())
    }
}

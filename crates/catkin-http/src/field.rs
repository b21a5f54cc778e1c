//! Header fields of a message.

use bytes::Bytes;
use catkin_base::value_type;

value_type! {
    /// One header field as it was received.
    pub struct HeaderField {
        /// Its name, in the sender's case.
        pub name: Bytes,
        /// Its value without surrounding blanks.
        pub value: Bytes,
    }
}

value_type! {
    /// The header fields of a message, in their order.
    #[derive(Default)]
    pub struct FieldList {
        fields: Vec<HeaderField>,
    }
}

impl HeaderField {
    /// Whether the field has this name.
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

impl FieldList {
    /// Adds a field at the end.
    pub fn push(&mut self, field: HeaderField) {
        self.fields.push(field);
    }

    /// All fields.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// The values of all fields with this name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.fields
            .iter()
            .filter(move |field| field.has_name(name))
            .map(|field| field.value.as_ref())
    }

    /// The value of the first field with this name, if it is ASCII text.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.values(name).next()?;
        std::str::from_utf8(value).ok()
    }

    /// Whether a field with this name is present.
    pub fn contains(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Number of fields with this name.
    pub fn count(&self, name: &str) -> usize {
        self.values(name).count()
    }

    /// Whether a comma-separated list of tokens holds `token`, over all fields with this name.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|found| found.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// The tokens of comma-separated lists, over all fields with this name.
    pub fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let split = |value: &'a [u8]| value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii);
        self.values(name).flat_map(split).filter(|token| !token.is_empty())
    }
}

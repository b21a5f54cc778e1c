//! Macros that give types their common sets of derives.

/// Derives the common set of a plain value: debug output, copies, equality and order.
#[macro_export]
macro_rules! value_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
            $item
        )*
    };
}

/// Derives the common set of a small copied value, hashing included.
#[macro_export]
macro_rules! copy_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )*
    };
}

/// Derives the common set of a document read from or written to JSON, with unknown keys refused.
#[macro_export]
macro_rules! document_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
            #[serde(deny_unknown_fields)]
            $item
        )*
    };
}

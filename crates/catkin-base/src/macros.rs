//! Macros that add common sets of derives to types.

/// Adds the derives of a plain value: debug output, cloning, equality and order.
#[macro_export]
macro_rules! value_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
            $item
        )*
    };
}

/// Adds the derives of a small value that is copied: those of `value_type`, `Copy` and `Hash`.
#[macro_export]
macro_rules! copy_type {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )*
    };
}

/// Adds the derives of a document that is read from or written to JSON. Unknown keys are errors.
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

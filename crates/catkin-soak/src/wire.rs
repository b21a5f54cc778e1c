//! Formats of the stand-ins.

use catkin_base::value_type;
use catkin_entry::{
    DeclarationRecord, EntryWire, PromptPart, ServerRecord, StoreKind, StoredEntry,
};

value_type! {
    /// A call to the store.
    pub enum StoreCall {
        /// Lists all objects of a kind.
        List(StoreKind),
        /// Waits for changes of a kind.
        Watch {
            /// Kind of the objects.
            kind: StoreKind,
            /// Revision after which changes are returned.
            revision: u64,
            /// Maximum wait, in milliseconds.
            wait_millis: u64,
        },
        /// Reads one object.
        Get(StoreKind, String),
        /// Writes an object.
        Write {
            /// Kind of the object.
            kind: StoreKind,
            /// Name of the object.
            name: String,
            /// Content, as JSON.
            content: String,
            /// Whether the write fails if the object exists.
            create: bool,
            /// Revision that the object must have, if any.
            revision: Option<u64>,
        },
        /// Removes an object, at this revision if there is one.
        Delete(StoreKind, String, Option<u64>),
    }
}

/// The peer side of [`EntryWire`]: what stand-ins of the store, of servers and of operators decode
/// and encode.
pub trait StandinWire: EntryWire {
    /// An empty list of cached parts.
    const EMPTY_CACHE_LIST: &'static str;
    /// Target of a server's status check.
    const HEALTH_TARGET: &'static str;

    /// Decodes a call to the store; `None` if it is not one.
    fn decode_call(method: &str, target: &str, body: &[u8]) -> Option<StoreCall>;
    /// Encodes one object.
    fn encode_entry(entry: &StoredEntry) -> String;
    /// Encodes the complete list of a kind.
    fn encode_list(entries: &[StoredEntry], revision: u64) -> String;
    /// Encodes changes.
    fn encode_changes(entries: &[StoredEntry], revision: u64) -> String;
    /// Encodes a server's entry.
    fn encode_server(record: &ServerRecord) -> String;
    /// Encodes declarations.
    fn encode_declarations(record: &DeclarationRecord) -> String;
    /// Encodes the parts of a prompt.
    fn encode_prompt_parts(parts: &[PromptPart]) -> String;
}

//! Formats that the stand-ins speak.

use catkin_base::value_type;
use catkin_entry::{
    DeclarationRecord, EntryWire, PromptPart, ServerRecord, StoreKind, StoredEntry,
};

value_type! {
    /// A call to the store.
    pub enum StoreCall {
        /// All objects of a kind.
        List(StoreKind),
        /// Changes of a kind.
        Watch {
            /// The kind.
            kind: StoreKind,
            /// Changes after this revision.
            revision: u64,
            /// Longest wait in milliseconds.
            wait_millis: u64,
        },
        /// One object.
        Get(StoreKind, String),
        /// Writes an object.
        Write {
            /// Its kind.
            kind: StoreKind,
            /// Its name.
            name: String,
            /// Its content, JSON.
            content: String,
            /// Whether it must not exist yet.
            create: bool,
            /// The revision that it must have.
            revision: Option<u64>,
        },
        /// Removes an object.
        Delete(StoreKind, String),
    }
}

/// The other side of [`EntryWire`]: what stand-ins of the store, of servers and of operators read
/// and write.
pub trait StandinWire: EntryWire {
    /// An empty list of kept parts.
    const EMPTY_CACHE_LIST: &'static str;

    /// Reads a call to the store; `None` if it is not one.
    fn decode_call(method: &str, target: &str, body: &[u8]) -> Option<StoreCall>;
    /// Writes one object.
    fn encode_entry(entry: &StoredEntry) -> String;
    /// Writes the whole list of a kind.
    fn encode_list(entries: &[StoredEntry], revision: u64) -> String;
    /// Writes changes.
    fn encode_changes(entries: &[StoredEntry], revision: u64) -> String;
    /// Writes a server's entry.
    fn encode_server(record: &ServerRecord) -> String;
    /// Writes declarations.
    fn encode_declarations(record: &DeclarationRecord) -> String;
    /// Writes the parts of a prompt.
    fn encode_prompt_parts(parts: &[PromptPart]) -> String;
}

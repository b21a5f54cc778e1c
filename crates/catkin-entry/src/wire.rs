//! What the entry router needs to know of the formats that callers, servers and the store speak.

use std::net::SocketAddr;

use catkin_base::{copy_type, value_type};

use crate::record::{DeclarationRecord, PromptPart, ServerRecord};

/// Names of the header fields that the router reads or writes.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Identifier of one request as a caller sent it; servers echo it.
    pub request_id: &'static str,
    /// Milliseconds that the caller, or the router towards a server, will wait.
    pub deadline: &'static str,
    /// The caller's key.
    pub key: &'static str,
    /// The team, told to servers.
    pub team: &'static str,
    /// The model.
    pub model: &'static str,
    /// The parts of the prompt.
    pub prompt_parts: &'static str,
    /// Identifier of the last event that the caller has.
    pub last_event: &'static str,
    /// Mark of a server on its answer.
    pub seal: &'static str,
    /// The start of a server that alone may run the request.
    pub expected_server: &'static str,
    /// A server's load.
    pub load: &'static str,
    /// Set on answers that say the request was not run.
    pub not_run: &'static str,
    /// Urgency, told to servers.
    pub priority: &'static str,
    /// Address of a server that keeps what the receiver may lack of the prompt.
    pub fetch_from: &'static str,
}

copy_type! {
    /// Kinds of objects in the store.
    pub enum StoreKind {
        /// The declarations.
        Declarations,
        /// Backend servers.
        Servers,
        /// Routers of this fleet.
        Routers,
        /// The key that authenticates routers to one another.
        PeerKeys,
    }
}

value_type! {
    /// An object of the store, or the news that it is gone.
    pub struct StoredEntry {
        /// Its name.
        pub name: String,
        /// Revision of its last change.
        pub revision: u64,
        /// Whether it is gone.
        pub removed: bool,
        /// Its content, JSON.
        pub content: String,
    }
}

value_type! {
    /// Objects or changes as of one revision.
    pub struct StorePage {
        /// Objects, or changes in their order.
        pub entries: Vec<StoredEntry>,
        /// Whether the list goes on after the last entry.
        pub has_more: bool,
        /// Revision of the store.
        pub revision: u64,
    }
}

value_type! {
    /// A router's entry in the store.
    pub struct RouterRecord {
        /// Address of its peer listener.
        pub address: SocketAddr,
        /// When its process started; makes the entry of each start differ from the one before.
        pub started_unix_micros: u64,
        /// Its failure domain; `None` in entries of earlier versions.
        pub domain: Option<String>,
        /// How much it can do for others, against other routers.
        pub strength: u32,
    }
}

value_type! {
    /// A part of prompts that a server keeps.
    pub struct ListedPart {
        /// Its model.
        pub model: String,
        /// Identifier of its content.
        pub part: u64,
        /// Tokens of it that are kept.
        pub tokens: u64,
    }
}

value_type! {
    /// A document that cannot be read.
    #[derive(thiserror::Error)]
    #[error("{what} cannot be read: {reason}")]
    pub struct WireError {
        /// What it was.
        pub what: String,
        /// Why it cannot be read.
        pub reason: String,
    }
}

/// Formats of callers, servers and the store. Implementations decide nothing.
pub trait EntryWire: 'static {
    /// Header fields.
    const HEADERS: HeaderNames;
    /// Header fields that only the router may send to servers; those of callers are dropped.
    const ROUTER_ONLY: &'static [&'static str];
    /// Target of the question which parts of prompts a server keeps.
    const CACHE_LIST_TARGET: &'static str;
    /// Path of the question whether the router takes callers.
    const READY_PATH: &'static str;
    /// Name of the one object that holds the declarations.
    const DECLARATIONS_NAME: &'static str;

    /// Target of a list of a kind, after a name if it continues one.
    fn list_target(kind: StoreKind, after: Option<&str>) -> String;
    /// Target of a wait for changes after `revision`; a cheap one may show them seconds late.
    fn watch_target(kind: StoreKind, revision: u64, wait_millis: u64, cheap: bool) -> String;
    /// Target of all objects of a kind, to create one.
    fn collection_target(kind: StoreKind) -> String;
    /// Target of a read of one object; a cheap one may show it as it was seconds ago.
    fn read_target(kind: StoreKind, name: &str, cheap: bool) -> String;
    /// Target of one object, to change it.
    fn object_target(kind: StoreKind, name: &str) -> String;
    /// An object to be written; on a condition if `revision` is given.
    fn encode_object(name: &str, revision: Option<u64>, content: &str) -> String;
    /// Reads a list.
    fn decode_list(bytes: &[u8]) -> Result<StorePage, WireError>;
    /// Reads the changes that a wait ended with.
    fn decode_changes(bytes: &[u8]) -> Result<StorePage, WireError>;
    /// Reads one object.
    fn decode_object(bytes: &[u8]) -> Result<StoredEntry, WireError>;

    /// Reads declarations.
    fn decode_declarations(content: &str) -> Result<DeclarationRecord, WireError>;
    /// Reads a server's entry.
    fn decode_server(content: &str) -> Result<ServerRecord, WireError>;
    /// Reads a router's entry.
    fn decode_router(content: &str) -> Result<RouterRecord, WireError>;
    /// Writes a router's entry.
    fn encode_router(record: &RouterRecord) -> String;
    /// Reads the peer key, in hexadecimal.
    fn decode_peer_key(content: &str) -> Result<String, WireError>;
    /// Writes the peer key.
    fn encode_peer_key(key_hex: &str) -> String;
    /// Reads the parts of a prompt.
    fn decode_prompt_parts(value: &str) -> Result<Vec<PromptPart>, WireError>;
    /// Reads the list of parts that a server keeps.
    fn decode_cache_list(bytes: &[u8]) -> Result<Vec<ListedPart>, WireError>;
}

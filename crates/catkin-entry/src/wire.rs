//! Formats of callers, servers and the store, as a trait that a platform implements.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catkin_base::{PartKey, ServerId, copy_type, value_type};

use crate::crash_book::QuarantineKey;
use crate::origin_book::{ServiceVersions, SoftwareKey, StreamKey};
use crate::record::{DeclarationRecord, PromptPart, ServerRecord};
use crate::store_point::StorePoint;

/// Names of the header fields that the router reads or writes.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Identifier that the caller gave to a request; servers echo it.
    pub request_id: &'static str,
    /// Time that the caller, or the router towards a server, waits for the answer, in milliseconds.
    pub deadline: &'static str,
    /// The key of the caller.
    pub key: &'static str,
    /// The team, sent to servers.
    pub team: &'static str,
    /// The model.
    pub model: &'static str,
    /// The parts of the prompt.
    pub prompt_parts: &'static str,
    /// Identifier of the last event that the caller received.
    pub last_event: &'static str,
    /// Identifier of the caller's earlier request that brought the first event of a stream, if this
    /// one resumes it.
    pub resumes: &'static str,
    /// Marks an answer as written by the server itself; a 2xx or 5xx answer without it is treated
    /// as malformed.
    pub seal: &'static str,
    /// Name of the only server that may run the request; any other one must decline it.
    pub expected_server: &'static str,
    /// Set on all answers of a server that leaves.
    pub leaving: &'static str,
    /// Requests per second that a server takes from all routers together, a decimal number.
    pub limit: &'static str,
    /// Requests that a server may turn away in a second for want of room before it falls over, a decimal
    /// number.
    pub brittle: &'static str,
    /// The load of a server: running requests, waiting requests, slots and, where it is stated, how
    /// long work takes there now in percent of the usual time.
    pub load: &'static str,
    /// How much longer a server is cold, in milliseconds; on its health answers.
    pub cold: &'static str,
    /// Era of the store, on its answers. It rises by one whenever the store is restored from a
    /// copy.
    pub store_era: &'static str,
    /// Set on answers to requests that were not run.
    pub not_run: &'static str,
    /// Priority, sent to servers.
    pub priority: &'static str,
    /// Address of a server that has cached prompt parts which the receiver may lack.
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
        /// The key that routers authenticate one another with.
        PeerKeys,
        /// Content of requests that crashed servers.
        Strikes,
        /// Failure domains whose servers are to get no requests, one object each, with the name of the
        /// failure domain.
        Evacuations,
        /// Software versions of services, and at which of them streams began.
        StreamOrigins,
    }
}

value_type! {
    /// An object of the store, or its removal.
    pub struct StoredEntry {
        /// Name of the object.
        pub name: String,
        /// Revision of its last change.
        pub revision: u64,
        /// Whether the object was removed.
        pub removed: bool,
        /// Content as JSON.
        pub content: String,
    }
}

value_type! {
    /// Objects, or changes, as of one revision of the store.
    pub struct StorePage {
        /// Objects, or changes in their order.
        pub entries: Vec<StoredEntry>,
        /// Number of further objects or changes that cannot be read.
        pub unreadable: usize,
        /// Names of all objects of a list in their order, also of those that cannot be read.
        pub names: Vec<String>,
        /// Whether the list continues after the last name.
        pub has_more: bool,
        /// Revision of the store.
        pub revision: u64,
        /// Era of the store, from the head of the answer; the decoders set 0.
        pub era: u64,
    }
}

impl StorePage {
    /// Point of the store that the page reflects.
    pub fn point(&self) -> StorePoint {
        StorePoint::new(self.era, self.revision)
    }

    /// Point of the last change of an entry of the page.
    pub fn entry_point(&self, entry: &StoredEntry) -> StorePoint {
        StorePoint::new(self.era, entry.revision)
    }
}

value_type! {
    /// The entry of a router in the store.
    pub struct RouterRecord {
        /// Address of the peer listener.
        pub address: SocketAddr,
        /// Start time of the process, in microseconds since the Unix epoch. Makes the entry of each
        /// start differ from the one before.
        pub started_unix_micros: u64,
        /// Failure domain; `None` in entries of earlier versions.
        pub domain: Option<String>,
        /// Relative capacity for relaying: link bandwidth times CPU share.
        pub strength: u32,
    }
}

value_type! {
    /// Quarantined content of requests that crashed servers, in the store.
    pub struct StrikeRecord {
        /// What is quarantined.
        pub key: QuarantineKey,
        /// The prompt parts that a request must have to be refused, if a part is quarantined.
        pub together: Vec<PartKey>,
        /// Servers that crashed while they ran it.
        pub servers: Vec<ServerId>,
        /// When the record was written, in milliseconds since the Unix epoch.
        pub written_unix_millis: u64,
    }
}

value_type! {
    /// The software versions that the servers of each service had lately, in the store.
    #[derive(Default)]
    pub struct VersionRecord {
        /// Versions by service.
        pub services: ServiceVersions,
        /// Era of the store in which they were written. In a later one the record may be a copy from
        /// before its last change.
        pub era: u64,
    }
}

value_type! {
    /// Streams that began lately, as one router knows them, in the store.
    #[derive(Default)]
    pub struct OriginRecord {
        /// Streams by the software version at which they began.
        pub streams: BTreeMap<SoftwareKey, Vec<StreamKey>>,
        /// When the record was written, in milliseconds since the Unix epoch.
        pub written_unix_millis: u64,
    }
}

value_type! {
    /// A prompt part in a server's list of cached parts.
    pub struct ListedPart {
        /// Model of the prompts.
        pub model: String,
        /// Identifier of the part's content.
        pub part: u64,
        /// Number of its tokens that are cached.
        pub tokens: u64,
    }
}

value_type! {
    /// A document that cannot be decoded.
    #[derive(thiserror::Error)]
    #[error("{what} cannot be read: {reason}")]
    pub struct WireError {
        /// Name of the document.
        pub what: String,
        /// Why it cannot be decoded.
        pub reason: String,
    }
}

/// Formats of callers, servers and the store. Implementations only encode and decode.
pub trait EntryWire: 'static {
    /// Header fields.
    const HEADERS: HeaderNames;
    /// Header fields that only the router may send to servers. They are removed from the requests
    /// of callers.
    const ROUTER_ONLY: &'static [&'static str];
    /// Request target of a server's list of cached prompt parts.
    const CACHE_LIST_TARGET: &'static str;
    /// Path of the readiness check of a router.
    const READY_PATH: &'static str;
    /// Name of the object that holds the declarations.
    const DECLARATIONS_NAME: &'static str;
    /// Term of the platform that asks for even load of servers.
    const EVEN_LOAD_TERM: &'static str;

    /// Returns the target of a list of a kind. With `after`, the list continues after that name.
    fn list_target(kind: StoreKind, after: Option<&str>) -> String;
    /// Returns the target of a watch, a long poll for changes after `revision`. With `allow_stale`,
    /// changes may be returned seconds late.
    fn watch_target(kind: StoreKind, revision: u64, wait_millis: u64, allow_stale: bool) -> String;
    /// Returns the target of all objects of a kind, used to create one.
    fn collection_target(kind: StoreKind) -> String;
    /// Returns the target of a read of one object. With `allow_stale`, the object may be seconds
    /// old.
    fn read_target(kind: StoreKind, name: &str, allow_stale: bool) -> String;
    /// Returns the target of a write of one object.
    fn object_target(kind: StoreKind, name: &str) -> String;
    /// Returns the target of the deletion of one object. With `revision`, it requires that revision.
    fn delete_target(kind: StoreKind, name: &str, revision: Option<u64>) -> String;
    /// Encodes an object to be written. With `revision`, the write requires that revision.
    fn encode_object(name: &str, revision: Option<u64>, content: &str) -> String;
    /// Decodes a list.
    fn decode_list(bytes: &[u8]) -> Result<StorePage, WireError>;
    /// Decodes the changes that a watch returned.
    fn decode_changes(bytes: &[u8]) -> Result<StorePage, WireError>;
    /// Decodes one object.
    fn decode_object(bytes: &[u8]) -> Result<StoredEntry, WireError>;

    /// Decodes declarations.
    fn decode_declarations(content: &str) -> Result<DeclarationRecord, WireError>;
    /// Decodes the entry of a server.
    fn decode_server(content: &str) -> Result<ServerRecord, WireError>;
    /// Decodes the entry of a router.
    fn decode_router(content: &str) -> Result<RouterRecord, WireError>;
    /// Encodes the entry of a router.
    fn encode_router(record: &RouterRecord) -> String;
    /// Decodes the peer key, in hexadecimal.
    fn decode_peer_key(content: &str) -> Result<String, WireError>;
    /// Encodes the peer key, given in hexadecimal.
    fn encode_peer_key(key_hex: &str) -> String;
    /// Decodes quarantined content.
    fn decode_strikes(content: &str) -> Result<StrikeRecord, WireError>;
    /// Encodes quarantined content.
    fn encode_strikes(record: &StrikeRecord) -> String;
    /// Decodes the versions of services.
    fn decode_versions(content: &str) -> Result<VersionRecord, WireError>;
    /// Encodes the versions of services.
    fn encode_versions(record: &VersionRecord) -> String;
    /// Decodes the origins of streams.
    fn decode_origins(content: &str) -> Result<OriginRecord, WireError>;
    /// Encodes the origins of streams.
    fn encode_origins(record: &OriginRecord) -> String;
    /// Decodes the parts of a prompt from a header value.
    fn decode_prompt_parts(value: &str) -> Result<Vec<PromptPart>, WireError>;
    /// Decodes a server's list of cached parts.
    fn decode_cache_list(bytes: &[u8]) -> Result<Vec<ListedPart>, WireError>;
}

//! Names of the headers between routers and backend servers.

/// The attempt's identifier, 16 hexadecimal digits; the server echoes it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Priority; lower runs first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The chat, 16 hexadecimal digits.
pub const CHAT_ID_HEADER: &str = "x-chat-id";
/// The interrupted attempt to resume, 16 hexadecimal digits.
pub const RESUME_ATTEMPT_HEADER: &str = "x-resume-attempt";
/// How many events of the interrupted attempt were delivered.
pub const RESUME_AFTER_HEADER: &str = "x-resume-after";
/// Tokens of the prompt that were found in the cache.
pub const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// `true` on a 503 of a server that did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// The idempotency key of a call to a plain service.
pub const KEY_HEADER: &str = "idempotency-key";

//! Names of the headers that routers and backend servers exchange.

/// Identifier of the attempt, 16 hexadecimal digits. The server returns it with the answer.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Priority of the request; lower values run first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Identifier of the chat, 16 hexadecimal digits.
pub const CHAT_ID_HEADER: &str = "x-chat-id";
/// Identifier of the interrupted attempt to resume, 16 hexadecimal digits.
pub const RESUME_ATTEMPT_HEADER: &str = "x-resume-attempt";
/// Number of events of the interrupted attempt that were delivered.
pub const RESUME_AFTER_HEADER: &str = "x-resume-after";
/// Number of prompt tokens that the engine found in its cache.
pub const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// `true` on a 503 response if the server did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Idempotency key of a call to a plain service.
pub const KEY_HEADER: &str = "idempotency-key";

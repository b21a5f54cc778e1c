//! Small stand-ins of the platform, engines, plain services and the weight store.
//!
//! Each is started with its options, listens on loopback and counts for itself what it was
//! asked to do, so that a test can compare its counts with what routers claim.
//!
//! ```
//! use catkin_standin::{PlatformOptions, PlatformStandin};
//!
//! let platform = PlatformStandin::start(&PlatformOptions::default()).unwrap();
//! assert_eq!(platform.counts().puts, 0);
//! platform.stop();
//! ```

mod answer;
mod async_listener;
mod call_rate;
mod chat_content;
mod engine;
mod engine_handler;
mod lost_answers;
mod object_table;
mod order_desk;
mod platform;
mod platform_handler;
mod prefix_cache;
mod run_slots;
mod server_report;
mod service;
mod thread_listener;
mod token_stream;
mod weights;

pub use chat_content::{ChatBody, ChatMessage, build_answer_text, build_answer_token};
pub use engine::{EngineCounts, EngineOptions, EngineStandin};
pub use object_table::ObjectView;
pub use order_desk::{AcceptedOrder, OrderAnswer, OrderBody};
pub use platform::{OutageKind, PlatformCounts, PlatformOptions, PlatformStandin, VmEntry};
pub use service::{ServiceCounts, ServiceOptions, ServiceStandin, build_service_answer};
pub use weights::{WeightCounts, WeightOptions, WeightStandin};

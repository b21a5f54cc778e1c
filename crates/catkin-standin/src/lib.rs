//! Stand-ins (small test servers) for the platform, engines, plain services and the weight store.
//!
//! Each stand-in is started with its options, listens on loopback and keeps its own counts of the
//! requests it received, so that a test can compare them with what routers report.
//!
//! Reading order: [`PlatformStandin`] (`platform`, `platform_handler`, `object_table`) and
//! [`WeightStandin`] (`weights`) run on `thread_listener`; [`EngineStandin`] (`engine`,
//! `engine_handler`, `token_stream`, `run_slots`, `prefix_cache`) and [`ServiceStandin`]
//! (`service`) run on `async_listener` and share `server_status` and `order_receiver`.
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
mod order_receiver;
mod platform;
mod platform_handler;
mod prefix_cache;
mod run_slots;
mod server_status;
mod service;
mod thread_listener;
mod token_stream;
mod weights;

pub use chat_content::{ChatBody, ChatMessage, build_answer_text, build_answer_token};
pub use engine::{EngineCounts, EngineOptions, EngineStandin};
pub use object_table::ObjectView;
pub use order_receiver::{AcceptedOrder, OrderAnswer, OrderBody};
pub use platform::{OutageKind, PlatformCounts, PlatformOptions, PlatformStandin, VmEntry};
pub use service::{ServiceCounts, ServiceOptions, ServiceStandin, build_service_answer};
pub use weights::{WeightCounts, WeightOptions, WeightStandin};

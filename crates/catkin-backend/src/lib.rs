//! Client of backend servers: engines and plain services.

mod link;

pub use link::{
    AnswerHead, AttemptSpec, BackendError, BackendFault, BackendLink, BackendStream, CacheEvent,
    ResumePoint, ServerProbe,
};

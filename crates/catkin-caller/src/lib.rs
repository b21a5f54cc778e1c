//! Server side of the callers' HTTP interface.

mod service;

pub use service::{
    AnswerCut, AnswerPart, AnswerStart, CallAnswer, CallRequest, CallService, CallTarget,
};

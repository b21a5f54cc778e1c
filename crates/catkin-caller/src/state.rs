//! State shared by the connections of a listener and by the requests of a connection.

use std::sync::Arc;

use crate::body_budget::BodyBudget;
use crate::caller_stream::{TruncationFlag, UnreadFlag};
use crate::idle::IdleTracker;
use crate::{CallerLimits, CallerShutdown, RequestIds};

/// State shared by all connections of a listener.
#[derive(Debug)]
pub(crate) struct ListenerState<S> {
    pub(crate) service: Arc<S>,
    pub(crate) limits: CallerLimits,
    pub(crate) ids: RequestIds,
    pub(crate) body_budget: Arc<BodyBudget>,
    pub(crate) shutdown: CallerShutdown,
}

/// How the calls of a connection are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionMode {
    /// Calls are served.
    Serving,
    /// Too many connections are open. Each call is refused with a time to retry after.
    Refusing,
}

/// State shared by the requests of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionState<S> {
    pub(crate) listener: Arc<ListenerState<S>>,
    pub(crate) tracker: Arc<IdleTracker>,
    pub(crate) truncated: TruncationFlag,
    pub(crate) unread: UnreadFlag,
    pub(crate) mode: ConnectionMode,
}

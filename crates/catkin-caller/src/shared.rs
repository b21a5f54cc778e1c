//! What the connections of a listener and the requests of a connection share.

use std::sync::Arc;

use crate::guard::{CutFlag, UnreadFlag};
use crate::held::HeldBudget;
use crate::idle::IdleSlot;
use crate::{CallerLimits, CallerShutdown, RequestIds};

/// What all connections of a listener share.
#[derive(Debug)]
pub(crate) struct ListenerShared<S> {
    pub(crate) service: Arc<S>,
    pub(crate) limits: CallerLimits,
    pub(crate) ids: RequestIds,
    pub(crate) held: Arc<HeldBudget>,
    pub(crate) shutdown: CallerShutdown,
}

/// Whether a connection's calls are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionMode {
    /// They are.
    Serving,
    /// Too many connections are open: each is told to come back later.
    Refusing,
}

/// What the requests of one connection share.
#[derive(Debug)]
pub(crate) struct ConnectionShared<S> {
    pub(crate) listener: Arc<ListenerShared<S>>,
    pub(crate) slot: Arc<IdleSlot>,
    pub(crate) cut: CutFlag,
    pub(crate) unread: UnreadFlag,
    pub(crate) mode: ConnectionMode,
}

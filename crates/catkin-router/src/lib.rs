//! The router: callers, owners, peers and the platform put together.

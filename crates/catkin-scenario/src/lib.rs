//! Scripted failure scenarios run against the router on a paused clock.

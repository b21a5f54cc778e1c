//! Membership of the router fleet, without input or output.

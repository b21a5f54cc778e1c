//! Operators' listener, its client and the readable state it serves.

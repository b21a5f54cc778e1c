//! A whole fleet in one process, on loopback, with its own count of promises kept.

fn main() {}

//! The daemon.

fn main() {}

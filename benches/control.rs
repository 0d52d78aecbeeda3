//! Counts the control traffic of many hosts.

fn main() {}

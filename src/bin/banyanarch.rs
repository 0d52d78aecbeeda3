//! The command-line tool.

fn main() {}

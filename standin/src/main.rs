//! Small fakes of what stands around banyanarch, and a load tool.

fn main() {}

//! A few fake engines and a clock moved by hand, to play a load against a policy.
#![allow(unused_imports, reason = "each test uses a part")]
#![allow(dead_code, reason = "each test uses a part")]
#![allow(unreachable_pub, reason = "shared by tests and an example")]
#![allow(clippy::cast_possible_truncation, reason = "small numbers")]

mod bench;
mod engine;
mod load;
mod outcome;

pub use bench::Simulation;
pub use engine::Engine;
pub use load::RequestSpec;
pub use load::Workload;
pub use load::config;
pub use outcome::Outcome;
pub use outcome::Outcomes;

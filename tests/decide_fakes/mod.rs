//! Fake engines and a manual clock, to run a workload against a policy.
#![allow(unused_imports, reason = "each test uses a part")]
#![allow(dead_code, reason = "each test uses a part")]
#![allow(unreachable_pub, reason = "shared by tests and an example")]
#![allow(clippy::cast_possible_truncation, reason = "the numbers are small")]

mod engine;
mod outcome;
mod simulation;
mod workload;

pub use engine::Engine;
pub use outcome::Outcome;
pub use outcome::Outcomes;
pub use simulation::Simulation;
pub use workload::RequestSpec;
pub use workload::Workload;
pub use workload::config;

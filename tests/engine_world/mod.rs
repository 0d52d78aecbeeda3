//! Simulation of engines that follow the published speed model and of hosts that choose among them
//! by their reports to each other. Time is simulated, and loads are drawn from a fixed seed, so a
//! run is reproducible.

#![allow(dead_code, unreachable_pub, unused_imports)]

mod engine;
#[path = "../event_queue/mod.rs"]
mod event_queue;
mod host;
mod load;
mod refusals;
mod run_results;
mod world;

pub use load::Flood;
pub use load::LONG;
pub use load::Load;
pub use load::MEDIUM;
pub use load::Phase;
pub use load::SHORT;
pub use load::Site;
pub use load::SlowPeriod;
pub use refusals::Refusals;
pub use run_results::Outcome;
pub use run_results::RequestResult;
pub use run_results::RunResults;
pub use world::World;

//! Baseline policies to compare the shipped policy with. They dispatch each request immediately, so
//! requests wait inside the engines.

mod baseline_upstream;
mod immediate_policy;
mod least_backlog;
mod least_in_flight;
mod picker;
mod round_robin;

pub use baseline_upstream::BaselineUpstream;
pub use immediate_policy::ImmediatePolicy;
pub use least_backlog::LeastBacklog;
pub use least_in_flight::LeastInFlight;
pub use picker::Picker;
pub use round_robin::RoundRobin;

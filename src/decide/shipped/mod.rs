//! The shipped policy: one for pools of model engines, one for pools of a plain service.

mod engines;
mod gang_queue;
mod granted;
mod lane_queue;
mod lanes;
mod services;

pub use engines::EnginePolicy;
pub(crate) use gang_queue::GangQueue;
pub(crate) use gang_queue::GangStep;
pub(crate) use granted::Granted;
pub(crate) use lane_queue::LaneQueue;
pub(crate) use lanes::Lanes;
pub use services::ServicePolicy;

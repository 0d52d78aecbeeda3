//! The shipped policies: one for pools of model engines and one for pools of a plain service.

mod engines;
mod gang_queue;
mod grant_record;
mod lane_queue;
mod pool_queues;
mod services;

pub use engines::EnginePolicy;
pub(crate) use gang_queue::GangQueue;
pub(crate) use gang_queue::GangStep;
pub(crate) use grant_record::GrantRecord;
pub(crate) use lane_queue::LaneQueue;
pub(crate) use pool_queues::PoolQueues;
pub use services::ServicePolicy;

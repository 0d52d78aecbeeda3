//! The shipped policy: one for pools of model engines, one for pools of a plain service.

mod engines;
mod granted;
mod services;

pub use engines::EnginePolicy;
pub(crate) use granted::Granted;
pub use services::ServicePolicy;

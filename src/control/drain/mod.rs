//! Graceful shutdown of a host, without cutting off a request.

mod controller;

pub use controller::DrainAction;
pub use controller::DrainConf;
pub use controller::DrainController;
pub use controller::DrainEvent;
pub use controller::DrainPhase;

//! Controllers: state machines without I/O that keep what must hold and the fleet in order.

pub mod claims;
pub mod drain;
pub mod home;
pub mod home_assignment;
pub use home_assignment as homes;
pub mod manifests;
pub mod membership;
pub mod orders;
pub mod outcome;
pub mod status;

//! Controllers: state machines without I/O that take events and return actions.

pub mod claims;
pub mod drain;
pub mod home;
pub mod home_assignment;
pub mod manifests;
pub mod membership;
pub mod orders;
pub mod outcome;
pub mod status;

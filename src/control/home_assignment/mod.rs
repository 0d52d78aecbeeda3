//! The assignment of pools to home hosts.
//!
//! The assignment is a pure function of the pools and the members, so that hosts with the same view
//! agree without exchanging messages.

mod assignment;
mod home_table;
mod pools;
mod rendezvous;

pub use assignment::assign;
pub use home_table::HomeTable;
pub use home_table::Member;
pub use pools::POOL_UPSTREAMS_MAX;
pub use pools::partition_upstreams;
pub use rendezvous::rank;

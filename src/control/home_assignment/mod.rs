//! Which host is the home of which pool.
//!
//! Pure functions of a view: hosts with the same view agree without talking to each other.

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

//! The decisions under load, without I/O: what is let in, what waits, where work goes.
//!
//! The home host of a pool runs one [`Policy`]: it sees every request for that pool's upstreams and
//! keeps the ledger of their memory and prefill work. Time is passed in.

pub mod baseline;
mod config;
mod gang;
mod policies;
mod policy;
mod work;

pub use config::CustomerShare;
pub use config::PolicyConfig;
pub use config::PoolKind;
pub use gang::gang_share;
pub use policies::policy_for;
pub use policy::Decision;
pub use policy::Done;
pub use policy::Ended;
pub use policy::Grant;
pub use policy::LiveGrant;
pub use policy::Policy;
pub use policy::PoolLoad;
pub use policy::RefuseReason;
pub use policy::UpstreamHealth;
pub use policy::UpstreamSeen;
pub use work::LengthClass;
pub use work::Work;

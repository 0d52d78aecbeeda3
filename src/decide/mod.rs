//! The decisions under load, without I/O: what is let in, what waits, where work goes.
//!
//! The home host of a pool runs one [`Policy`]: it sees every request for that pool's upstreams and
//! keeps the ledger of their memory and prefill work. Time is passed in.

pub mod baseline;
mod config;
mod engine_priority;
mod gang;
mod poison;
mod poison_mark;
mod policies;
mod policy;
mod retry;
mod retry_verdict;
mod work;

pub use config::CustomerShare;
pub use config::PolicyConfig;
pub use config::PoolKind;
pub use engine_priority::engine_priority;
pub use gang::gang_share;
pub use poison::PoisonList;
pub use poison_mark::Poison;
pub use poison_mark::PoisonMark;
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
pub use retry::RetryBudget;
pub use retry_verdict::FailedAttempt;
pub use retry_verdict::RetryStop;
pub use retry_verdict::RetryVerdict;
pub use work::LengthClass;
pub use work::Work;

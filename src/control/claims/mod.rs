//! Claims of requests that are not repeatable: each runs at most once.
//!
//! Before its first dispatch such a request's claim is recorded in the platform under a conditional
//! update. A claim is never freed by lapse of time: only its holder gives it back, with the promise
//! not to dispatch, so that a pause of any length between claim and dispatch is harmless.
//!
//! Claims are committed in groups into a fixed number of shard objects. [`ClaimShard`] is the state
//! machine of one of them, [`ClaimStore`] drives all of them against a platform.
//!
//! A claimant that gives up while its write may still take effect tells its caller "not run", which
//! is true, since it never dispatches. The claim that may come to be is then given back by its
//! holder as soon as the platform answers, and until the holder knows that it has gone. While the
//! holder lives, a resend is told to wait or finds the key free; if the holder dies first, the claim
//! stays, and a resend is told "may have run": too cautious, but never a second run.

mod claim;
mod conf;
mod key;
pub mod relay;
mod shard;
mod shard_value;
mod store;
mod verdict;

pub use claim::Claim;
pub use claim::ClaimState;
pub use conf::ClaimConf;
pub use key::ClaimKey;
pub use shard::ClaimShard;
pub use shard::ShardAction;
pub use shard_value::ShardValue;
pub use store::ClaimStore;
pub use verdict::ClaimOutcome;
pub use verdict::ClaimRefusal;

//! Claims on requests that are not repeatable, so that each of them runs at most once.
//!
//! Before the first dispatch of such a request, its claim is recorded in the platform by a
//! conditional update. A claim never expires while its attempt may run: only its holder gives the
//! claim back, and thereby promises not to dispatch. A pause of any length between claim and
//! dispatch is therefore harmless.
//!
//! Claims are committed in batches to a fixed number of shard objects. [`ClaimShard`] is the state
//! machine of one shard, and [`ClaimStore`] drives all shards against a platform.
//!
//! A host that abandons a claim while the write may still take effect tells the caller "not run",
//! which is true, since the host never dispatches. Once the platform answers again, the host gives
//! the claim back, and repeats this until the write cannot take effect any more. While the host
//! lives, a resent request is told to wait or finds the key free. If the host dies first, the claim
//! stays and a resent request is told "may have run", which is too cautious but never leads to a
//! second run.

mod claim;
mod claim_outcome;
mod conf;
mod key;
pub mod relay;
mod shard;
mod shard_value;
mod store;

pub use claim::Claim;
pub use claim::ClaimState;
pub use claim_outcome::ClaimOutcome;
pub use claim_outcome::ClaimRefusal;
pub use conf::ClaimConf;
pub use key::ClaimKey;
pub use shard::ClaimShard;
pub use shard::ShardAction;
pub use shard_value::ShardValue;
pub use store::ClaimStore;

//! The timeouts and limits of claims.

use std::time::Duration;

/// The timeouts and limits of the requests for claims and of the shards that store claims. A claim
/// whose attempt may still run has no time limit.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimConf {
    /// The number of shard objects. The number must be the same on all hosts and must never change.
    pub shards: u32,
    /// The maximum size of the claims in one shard object, in bytes. The platform stores objects of
    /// up to one megabyte; the difference is left for the envelope of the object.
    pub shard_bytes_max: usize,
    /// The maximum number of claims of one shard that one host may have to record, give back or
    /// finish at a time. Further claims are refused.
    pub waiting_max: usize,
    /// How long a caller waits for its claim before it is told "not run".
    pub claim_timeout: Duration,
    /// The minimum time between two writes of one shard by one host. An idle shard is written at
    /// once; under load the claims of one interval share a write.
    pub write_interval: Duration,
    /// How long the finished state of a claim waits for a write that can include it. At 500 ms half
    /// of all writes contained only finished states.
    pub finish_delay: Duration,
    /// How long a finished claim is kept to answer resent requests. Each host counts this time from
    /// when it first saw the end, since the clocks of hosts differ.
    pub finished_memory: Duration,
    /// The delay after the first failed call to the platform, which doubles with each failure.
    pub retry_delay: Duration,
    /// The maximum delay after failed calls.
    pub retry_delay_max: Duration,
    /// The number of consecutive failed calls after which all pending claims are refused, and new
    /// claims until the next retry. A single lost call may be chance.
    pub failures_max: u32,
}

impl Default for ClaimConf {
    fn default() -> Self {
        Self {
            shards: 64,
            shard_bytes_max: 900_000,
            waiting_max: 1_000,
            claim_timeout: Duration::from_secs(2),
            write_interval: Duration::from_millis(100),
            finish_delay: Duration::from_secs(2),
            finished_memory: Duration::from_secs(600),
            retry_delay: Duration::from_millis(100),
            retry_delay_max: Duration::from_secs(10),
            failures_max: 2,
        }
    }
}

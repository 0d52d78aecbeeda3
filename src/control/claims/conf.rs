//! The times and bounds of claims.

use std::time::Duration;

/// The times and bounds of claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimConf {
    /// How many shard objects there are. All hosts must agree on it for good.
    pub shards: u32,
    /// The largest shard object. The platform holds values up to a megabyte; the rest is left for
    /// the object's envelope.
    pub shard_bytes_max: usize,
    /// How many claims of one shard may wait at one host.
    pub waiting_max: usize,
    /// How long a caller waits for its claim before it is told "not run".
    pub claim_timeout: Duration,
    /// The least time between two writes of one shard by one host. A shard that was idle is written
    /// at once; under load the claims of this time share a write.
    pub write_interval: Duration,
    /// How long the end of a claim waits for another write to go along with. Half of all writes were
    /// ends when it was half a second.
    pub finish_delay: Duration,
    /// How long a finished claim answers resends. It is counted by each host from when it first saw
    /// the end, as hosts' clocks differ.
    pub finished_memory: Duration,
    /// The first pause after a call to the platform failed; it doubles with each failure.
    pub retry_delay: Duration,
    /// The longest pause.
    pub retry_delay_max: Duration,
    /// After how many failures in a row claims are refused at once. One lost call may be chance.
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

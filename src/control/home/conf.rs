//! The times and bounds of a home.

use std::time::Duration;

/// The times and bounds of a home.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeConf {
    /// The longest rebuilding after a take-over. Hosts announce every second, so within this time
    /// all that can be heard has been heard.
    pub rebuild_max: Duration,
    /// How many grants a live upstream may get while the ledger is rebuilt. One short prompt more
    /// than was counted fits nearly every engine; the aim is a first grant without a pause.
    pub rebuild_grants_per_upstream: usize,
    /// How long a host may hold a grant without announcing it: three announcements, since one may
    /// cross a grant on its way and one may be lost.
    pub announce_grace: Duration,
    /// How long a dead host's attempts go on. A suspicion that is refuted late must not cut off
    /// streams that run well, and memory held a few seconds longer is affordable.
    pub dead_host_grace: Duration,
    /// How long a host's attempts go on of which membership knows nothing: longer than a new host
    /// takes to be known everywhere.
    pub unknown_host_grace: Duration,
    /// How long a death is remembered that no grant depends on.
    pub dead_host_memory: Duration,
    /// How often engines are asked what they run, which bounds how long a lost hold stays unseen.
    pub list_interval: Duration,
    /// How long an engine may take to answer that before it is asked again.
    pub list_timeout: Duration,
    /// How soon a cancel is repeated that was not confirmed.
    pub cancel_retry: Duration,
    /// How long a request waits that its host no longer asks for: six askings of 500 ms.
    pub reask_grace: Duration,
    /// How long a refusal is remembered, so that asking again gets the same answer.
    pub refused_memory: Duration,
    /// How many refusals are remembered; the oldest is forgotten first.
    pub refused_max: usize,
    /// How long the end of a grant is remembered, so that a list which was on its way does not
    /// bring it back.
    pub ended_memory: Duration,
    /// How many ended grants are remembered; the oldest is forgotten first.
    pub ended_max: usize,
}

impl Default for HomeConf {
    fn default() -> Self {
        Self {
            rebuild_max: Duration::from_millis(1_500),
            rebuild_grants_per_upstream: 1,
            announce_grace: Duration::from_secs(3),
            dead_host_grace: Duration::from_secs(5),
            unknown_host_grace: Duration::from_secs(60),
            dead_host_memory: Duration::from_secs(600),
            list_interval: Duration::from_secs(2),
            list_timeout: Duration::from_secs(2),
            cancel_retry: Duration::from_secs(1),
            reask_grace: Duration::from_secs(3),
            refused_memory: Duration::from_secs(10),
            refused_max: 4_096,
            ended_memory: Duration::from_secs(10),
            ended_max: 16_384,
        }
    }
}

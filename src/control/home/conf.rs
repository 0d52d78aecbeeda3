//! The timeouts and limits of a home.

use std::time::Duration;

/// The timeouts and limits of a home.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeConf {
    /// The maximum time that a home rebuilds its ledger after a takeover. Hosts announce their
    /// grants every second, so every reachable host has announced within this time.
    pub rebuild_max: Duration,
    /// The number of grants per live upstream that the home may issue during the rebuild, so that
    /// the first grants need not wait. Nearly every engine has memory for one short prompt more
    /// than the ledger counts.
    pub rebuild_grants_per_upstream: usize,
    /// How long a host may hold a grant without announcing it. This is three announcements, since
    /// one may cross the grant on its way and another may be lost.
    pub announce_grace: Duration,
    /// How long the attempts of a dead host go on. A suspicion that is refuted late must not
    /// interrupt healthy streams, and holding the memory for a few seconds more costs little.
    pub dead_host_grace: Duration,
    /// How long the attempts of a host that membership does not know go on. This is longer than
    /// the time until a new host is known everywhere.
    pub unknown_host_grace: Duration,
    /// How long a dead host without grants is remembered.
    pub dead_host_memory: Duration,
    /// The interval at which engines are asked for their attempts, which bounds how long leaked
    /// memory goes unnoticed.
    pub list_interval: Duration,
    /// The time after which an engine that has not answered is asked again.
    pub list_timeout: Duration,
    /// The time after which an unconfirmed cancel is repeated.
    pub cancel_retry: Duration,
    /// How long a queued request is kept that its host no longer repeats: six intervals of 500 ms.
    pub reask_grace: Duration,
    /// How long a refusal is remembered, so that a repeated request gets the same answer.
    pub refused_memory: Duration,
    /// The maximum number of remembered refusals; the oldest is forgotten first.
    pub refused_max: usize,
    /// How long an ended grant is remembered, so that a list of attempts that was on its way
    /// meanwhile does not restore the grant.
    pub ended_memory: Duration,
    /// The maximum number of remembered ended grants; the oldest is forgotten first.
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

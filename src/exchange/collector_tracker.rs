//! The liveness of collectors, and their election, from the point of view of one host.
//!
//! Hosts need not agree on the collector: each collector of a failure domain reports for the whole
//! domain, and hosts of other domains accept the updates of only one of them.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::ListedHost;
use crate::exchange::strongest_host;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Time without a message after which a collector is replaced. An idle collector sends four
/// messages in this time, a busy one ten. When a collector dies, updates from other failure domains
/// stop for this long.
const COLLECTOR_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a replaced collector is not elected again, unless a message of it arrives.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// Time without a message after which a host of the same failure domain counts as dead; four
/// heartbeats.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of hosts of another failure domain that receive updates while its collector is unknown.
/// Each forwards what it receives to the collector, so one live host is enough; when half of a
/// fleet loses power at once, one of these ten is still alive.
const DISCOVERY_FANOUT: usize = 10;

/// The liveness of neighbours and collectors, as seen by one host.
#[derive(Debug, Default)]
pub(crate) struct CollectorTracker {
    /// When the last message of each host of this failure domain arrived.
    neighbour_heard_at: IndexMap<HostId, Instant>,
    /// When the last message that each collector sent directly to this host arrived.
    collector_heard_at: IndexMap<HostId, Instant>,
    /// When this host began to expect messages of each monitored collector.
    waiting_since: IndexMap<HostId, Instant>,
    /// The time until which each host is excluded from election.
    excluded_until: IndexMap<HostId, Instant>,
}

impl CollectorTracker {
    /// Records that a message of a host of this failure domain has arrived, which makes the host
    /// eligible as collector for [`NEIGHBOUR_TIMEOUT`] unless it is excluded.
    pub(crate) fn on_neighbour_heard(&mut self, host: &HostId, now: Instant) {
        match self.neighbour_heard_at.get_mut(host) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.neighbour_heard_at.insert(host.clone(), now);
            }
        }
    }

    /// Records a message that a collector sent directly to this host, and ends its exclusion from
    /// election.
    pub(crate) fn on_collector_heard(&mut self, host: &HostId, now: Instant) {
        self.collector_heard_at.insert(host.clone(), now);
        self.excluded_until.swap_remove(host);
    }

    /// Whether a collector has sent a message directly to this host within [`COLLECTOR_TIMEOUT`].
    pub(crate) fn has_reported(&self, host: &HostId, now: Instant) -> bool {
        is_within(self.collector_heard_at.get(host), COLLECTOR_TIMEOUT, now)
    }

    /// Monitors the given hosts and no others, and excludes those that have timed out from election
    /// for [`EXCLUSION_TIME`].
    pub(crate) fn monitor(&mut self, monitored: &[HostId], now: Instant) {
        self.waiting_since
            .retain(|host, _| monitored.contains(host));
        for host in monitored {
            let started_at = *self.waiting_since.entry(host.clone()).or_insert(now);
            let silence_start = self
                .collector_heard_at
                .get(host)
                .map_or(started_at, |at| started_at.max(*at));
            if now.saturating_duration_since(silence_start) >= COLLECTOR_TIMEOUT {
                self.excluded_until
                    .insert(host.clone(), now + EXCLUSION_TIME);
                self.waiting_since.swap_remove(host);
            }
        }
    }

    /// The earliest time at which a monitored host times out; none if no host is monitored.
    pub(crate) fn next_timeout(&self) -> Option<Instant> {
        let next_timeout = |(host, started_at): (&HostId, &Instant)| {
            let heard_at = self.collector_heard_at.get(host).unwrap_or(started_at);
            *heard_at.max(started_at) + COLLECTOR_TIMEOUT
        };
        self.waiting_since.iter().map(next_timeout).min()
    }

    /// Returns the host to use as collector of this failure domain: the strongest live one that is
    /// not excluded. `own` is this host, which always counts as alive.
    pub(crate) fn elect<'a>(
        &self,
        neighbours: impl Iterator<Item = &'a ListedHost>,
        own: &HostId,
        now: Instant,
    ) -> Option<&'a ListedHost> {
        let is_live = |listed: &&ListedHost| {
            let host = &listed.host;
            let is_heard = is_within(self.neighbour_heard_at.get(host), NEIGHBOUR_TIMEOUT, now);
            host == own || (is_heard && !self.is_excluded(host, now))
        };
        strongest_host(neighbours.filter(is_live))
    }

    /// The hosts of another failure domain to which this host, as a collector, sends updates: those
    /// that have sent a message recently, otherwise a few hosts that forward updates to their
    /// collector.
    pub(crate) fn remote_collectors(
        &self,
        hosts: &[ListedHost],
        domain: &FailureDomainId,
        now: Instant,
    ) -> Vec<ListedHost> {
        let in_domain = |listed: &&ListedHost| listed.domain == *domain && listed.can_relay();
        let hosts: Vec<&ListedHost> = hosts.iter().filter(in_domain).collect();
        let has_reported = |listed: &&&ListedHost| self.has_reported(&listed.host, now);
        let known: Vec<&ListedHost> = hosts.iter().filter(has_reported).copied().collect();
        if !known.is_empty() {
            return known.into_iter().cloned().collect();
        }
        let mut candidates = hosts;
        candidates.sort_by_cached_key(|listed| {
            let is_excluded = self.is_excluded(&listed.host, now);
            (is_excluded, Reverse(listed.processors), listed.host.clone())
        });
        candidates
            .into_iter()
            .take(DISCOVERY_FANOUT)
            .cloned()
            .collect()
    }

    fn is_excluded(&self, host: &HostId, now: Instant) -> bool {
        self.excluded_until
            .get(host)
            .is_some_and(|until| *until > now)
    }
}

fn is_within(at: Option<&Instant>, within: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < within)
}

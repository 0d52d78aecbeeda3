//! Which hosts collect, as one host believes.
//!
//! Hosts need not agree: each collector of a domain speaks for all of it, and hosts of other domains
//! listen to one of them.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::ListedHost;
use crate::exchange::strongest_host;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// A collector that is silent for this long is left: four of its messages when it has nothing to pass
/// on, ten when it has. News from other domains stop for that long when one dies.
const COLLECTOR_TIMEOUT: Duration = Duration::from_millis(400);
/// How long one that was left is not chosen again, unless it is heard.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// A host that was heard within this time lives: four of its messages when it has nothing to tell.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_secs(1);
/// Hosts of another domain that are told at once while its collector is not known. Each passes on what
/// it gets, so one that lives is enough; where half of a fleet has lost its power at once, one of ten
/// does.
const DISCOVERY_FANOUT: usize = 10;

/// What one host believes of the collectors.
#[derive(Debug, Default)]
pub(crate) struct CollectorTracker {
    /// When each host of this domain was heard last.
    neighbour_heard_at: IndexMap<HostId, Instant>,
    /// When each collector spoke last to this host itself.
    collector_heard_at: IndexMap<HostId, Instant>,
    /// Since when this host has been waiting for each to speak.
    waiting_since: IndexMap<HostId, Instant>,
    /// Until when each is not chosen.
    excluded_until: IndexMap<HostId, Instant>,
}

impl CollectorTracker {
    /// Takes in that a host of this domain lives.
    pub(crate) fn on_neighbour_heard(&mut self, host: &HostId, now: Instant) {
        match self.neighbour_heard_at.get_mut(host) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.neighbour_heard_at.insert(host.clone(), now);
            }
        }
    }

    /// Takes in that a collector spoke to this host.
    pub(crate) fn on_collector_heard(&mut self, host: &HostId, now: Instant) {
        self.collector_heard_at.insert(host.clone(), now);
        self.excluded_until.swap_remove(host);
    }

    /// Whether a collector has spoken to this host lately.
    pub(crate) fn has_reported(&self, host: &HostId, now: Instant) -> bool {
        is_within(self.collector_heard_at.get(host), COLLECTOR_TIMEOUT, now)
    }

    /// Waits for those that are among `chosen` and for no others, and leaves those of them that stay
    /// silent.
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

    /// When one of those that this host waits for is to be left, if it stays silent.
    pub(crate) fn next_timeout(&self) -> Option<Instant> {
        let next_timeout = |(host, started_at): (&HostId, &Instant)| {
            let heard_at = self.collector_heard_at.get(host).unwrap_or(started_at);
            *heard_at.max(started_at) + COLLECTOR_TIMEOUT
        };
        self.waiting_since.iter().map(next_timeout).min()
    }

    /// The strongest host of a domain that lives, which collects for it; `own` is this host.
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

    /// The hosts of another domain that this one tells as a collector: those that spoke lately, else a
    /// few that pass it on to the one that collects there.
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

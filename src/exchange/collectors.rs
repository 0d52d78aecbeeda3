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
const SILENT_AFTER: Duration = Duration::from_millis(400);
/// How long one that was left is not chosen again, unless it is heard.
const UNFIT_FOR: Duration = Duration::from_secs(3);
/// A host that was heard within this time lives: four of its messages when it has nothing to tell.
const LIVES_FOR: Duration = Duration::from_secs(1);
/// Hosts of another domain that are told at once while its collector is not known. Each passes on what
/// it gets, so one that lives is enough; where half of a fleet has lost its power at once, one of ten
/// does.
const ASKED_AT_ONCE: usize = 10;

/// What one host believes of the collectors.
#[derive(Debug, Default)]
pub(crate) struct Collectors {
    /// When each host of this domain was heard last.
    seen: IndexMap<HostId, Instant>,
    /// When each collector spoke last to this host itself.
    spoke: IndexMap<HostId, Instant>,
    /// Since when this host has been waiting for each to speak.
    asked: IndexMap<HostId, Instant>,
    /// Until when each is not chosen.
    unfit: IndexMap<HostId, Instant>,
}

impl Collectors {
    /// Takes in that a host of this domain lives.
    pub(crate) fn on_seen(&mut self, host: &HostId, now: Instant) {
        match self.seen.get_mut(host) {
            Some(seen_at) => *seen_at = now,
            None => {
                self.seen.insert(host.clone(), now);
            }
        }
    }

    /// Takes in that a collector spoke to this host.
    pub(crate) fn on_spoke(&mut self, host: &HostId, now: Instant) {
        self.spoke.insert(host.clone(), now);
        self.unfit.swap_remove(host);
    }

    /// Whether a collector has spoken to this host lately.
    pub(crate) fn has_spoken(&self, host: &HostId, now: Instant) -> bool {
        is_within(self.spoke.get(host), SILENT_AFTER, now)
    }

    /// Waits for those that are among `chosen` and for no others, and leaves those of them that stay
    /// silent.
    pub(crate) fn wait_for(&mut self, chosen: &[HostId], now: Instant) {
        self.asked.retain(|host, _| chosen.contains(host));
        for host in chosen {
            let asked_at = *self.asked.entry(host.clone()).or_insert(now);
            let silent_since = self
                .spoke
                .get(host)
                .map_or(asked_at, |at| asked_at.max(*at));
            if now.saturating_duration_since(silent_since) >= SILENT_AFTER {
                self.unfit.insert(host.clone(), now + UNFIT_FOR);
                self.asked.swap_remove(host);
            }
        }
    }

    /// When one of those that this host waits for is to be left, if it stays silent.
    pub(crate) fn silent_at(&self) -> Option<Instant> {
        let silent_at = |(host, asked_at): (&HostId, &Instant)| {
            let spoke_at = self.spoke.get(host).unwrap_or(asked_at);
            *spoke_at.max(asked_at) + SILENT_AFTER
        };
        self.asked.iter().map(silent_at).min()
    }

    /// The strongest host of a domain that lives, which collects for it; `own` is this host.
    pub(crate) fn best<'a>(
        &self,
        neighbours: impl Iterator<Item = &'a ListedHost>,
        own: &HostId,
        now: Instant,
    ) -> Option<&'a ListedHost> {
        let lives = |listed: &&ListedHost| {
            let host = &listed.host;
            let is_heard = is_within(self.seen.get(host), LIVES_FOR, now);
            host == own || (is_heard && !self.is_unfit(host, now))
        };
        strongest_host(neighbours.filter(lives))
    }

    /// The hosts of another domain that this one tells as a collector: those that spoke lately, else a
    /// few that pass it on to the one that collects there.
    pub(crate) fn partners(
        &self,
        hosts: &[ListedHost],
        domain: &FailureDomainId,
        now: Instant,
    ) -> Vec<ListedHost> {
        let in_domain = |listed: &&ListedHost| listed.domain == *domain && listed.can_relay();
        let hosts: Vec<&ListedHost> = hosts.iter().filter(in_domain).collect();
        let has_spoken = |listed: &&&ListedHost| self.has_spoken(&listed.host, now);
        let known: Vec<&ListedHost> = hosts.iter().filter(has_spoken).copied().collect();
        if !known.is_empty() {
            return known.into_iter().cloned().collect();
        }
        let mut able = hosts;
        able.sort_by_cached_key(|listed| {
            let is_unfit = self.is_unfit(&listed.host, now);
            (is_unfit, Reverse(listed.processors), listed.host.clone())
        });
        able.into_iter().take(ASKED_AT_ONCE).cloned().collect()
    }

    fn is_unfit(&self, host: &HostId, now: Instant) -> bool {
        self.unfit.get(host).is_some_and(|until| *until > now)
    }
}

fn is_within(at: Option<&Instant>, within: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < within)
}

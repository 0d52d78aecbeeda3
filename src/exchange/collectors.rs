//! Which hosts collect, as one host believes.
//!
//! Hosts need not agree. One that is told to collect does so for those that tell it, collectors tell
//! each other what each has collected, and a host that sees a better one goes to that. So two collectors
//! of a domain at once cost bytes, and no news are lost.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::ListedHost;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// A collector that is silent for this long is left: four of its messages when it has nothing to pass
/// on, ten when it has. News stop for that long when one dies.
const SILENT_AFTER: Duration = Duration::from_millis(400);
/// How long one that was left is not chosen again, unless it is heard.
const UNFIT_FOR: Duration = Duration::from_secs(3);
/// A host that was heard within this time lives: four of its messages when it has nothing to tell.
const LIVES_FOR: Duration = Duration::from_secs(1);
/// A host that collected within this time is asked first: longer than it takes to replace the collector
/// that told of it.
const ACTIVE_FOR: Duration = Duration::from_secs(2);
/// Hosts of another domain that are told at once while its collector is not known. Each passes on what
/// it gets, so one that lives is enough; where half of a fleet has lost its power at once, one of ten
/// does.
const ASKED_AT_ONCE: usize = 10;

/// What one host believes of the collectors.
#[derive(Debug, Default)]
pub(crate) struct Collectors {
    /// When each host was heard last, by whatever way.
    seen: IndexMap<HostId, Instant>,
    /// When each was last known to collect, by whatever way.
    active: IndexMap<HostId, Instant>,
    /// When each spoke last to this host itself as a collector.
    spoke: IndexMap<HostId, Instant>,
    /// Since when this host has been waiting for each to speak.
    asked: IndexMap<HostId, Instant>,
    /// Until when each is not chosen.
    unfit: IndexMap<HostId, Instant>,
}

impl Collectors {
    /// Takes in that a host lives.
    pub(crate) fn on_seen(&mut self, host: &HostId, now: Instant) {
        self.seen.insert(host.clone(), now);
    }

    /// Takes in that a host collects, as another one says.
    pub(crate) fn on_active(&mut self, host: &HostId, now: Instant) {
        self.on_seen(host, now);
        self.active.insert(host.clone(), now);
    }

    /// Takes in that a collector spoke to this host.
    pub(crate) fn on_spoke(&mut self, host: &HostId, now: Instant) {
        self.on_active(host, now);
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
                self.active.swap_remove(host);
                self.seen.swap_remove(host);
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

    /// Begins a search: only those count as alive that are heard from now on. While a collector is dead
    /// nobody is heard through it, and the hosts that died with it are not told from the others.
    pub(crate) fn begin_search(&mut self) {
        self.seen.clear();
    }

    /// Whether this host has left another one.
    pub(crate) fn is_unfit(&self, host: &HostId, now: Instant) -> bool {
        self.unfit.get(host).is_some_and(|until| *until > now)
    }

    /// The host that is to collect for this one's domain: of those that live the strongest, of equals
    /// one that collects already. `own` is this host, and whether it collects.
    pub(crate) fn best<'a>(
        &self,
        hosts: &'a [ListedHost],
        domain: &FailureDomainId,
        own: (&HostId, bool),
        now: Instant,
    ) -> Option<&'a ListedHost> {
        let (own, collects) = own;
        let lives = |host: &HostId| {
            let is_heard = is_within(self.seen.get(host), LIVES_FOR, now);
            *host == *own || (is_heard && !self.is_unfit(host, now))
        };
        let may_collect = |listed: &&ListedHost| {
            listed.domain == *domain && listed.can_relay() && lives(&listed.host)
        };
        let is_active = |host: &HostId| {
            if host == own {
                collects
            } else {
                is_within(self.active.get(host), ACTIVE_FOR, now)
            }
        };
        let rank = |listed: &&ListedHost| {
            let is_active = is_active(&listed.host);
            (Reverse(listed.processors), !is_active, listed.host.clone())
        };
        hosts.iter().filter(may_collect).min_by_key(rank)
    }

    /// The hosts of another domain that this one tells as a collector: those that spoke lately, else a
    /// few that may know who collects there.
    pub(crate) fn partners<'a>(
        &self,
        hosts: &'a [ListedHost],
        domain: &FailureDomainId,
        now: Instant,
    ) -> Vec<&'a ListedHost> {
        let known = self.spoken(hosts, domain, now);
        if !known.is_empty() {
            return known;
        }
        let rank = |listed: &&ListedHost| {
            let host = &listed.host;
            let is_active = is_within(self.active.get(host), ACTIVE_FOR, now);
            let is_unfit = self.is_unfit(host, now);
            (
                is_unfit,
                !is_active,
                Reverse(listed.processors),
                host.clone(),
            )
        };
        let able = hosts.iter();
        let able = able.filter(|listed| listed.domain == *domain && listed.can_relay());
        let mut able: Vec<&ListedHost> = able.collect();
        able.sort_by_cached_key(rank);
        able.truncate(ASKED_AT_ONCE);
        able
    }

    /// The collectors of a domain that spoke to this host lately.
    pub(crate) fn spoken<'a>(
        &self,
        hosts: &'a [ListedHost],
        domain: &FailureDomainId,
        now: Instant,
    ) -> Vec<&'a ListedHost> {
        let has_spoken =
            |listed: &&ListedHost| listed.domain == *domain && self.has_spoken(&listed.host, now);
        hosts.iter().filter(has_spoken).collect()
    }
}

fn is_within(at: Option<&Instant>, within: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < within)
}

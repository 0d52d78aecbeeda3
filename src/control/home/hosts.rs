//! What a home knows of the hosts that ask it.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::units::HostId;

/// What is known of one host.
#[derive(Clone, Copy, Debug, Default)]
struct HostSeen {
    announced_at: Option<Instant>,
    dead_since: Option<Instant>,
    is_member: bool,
}

/// The hosts that a home has heard of.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    seen: IndexMap<HostId, HostSeen>,
}

impl Hosts {
    pub(crate) fn set_alive(&mut self, host: &HostId) {
        let seen = self.seen.entry(host.clone()).or_default();
        seen.dead_since = None;
        seen.is_member = true;
    }

    pub(crate) fn set_dead(&mut self, host: &HostId, now: Instant) {
        let seen = self.seen.entry(host.clone()).or_default();
        seen.dead_since.get_or_insert(now);
        seen.is_member = false;
    }

    pub(crate) fn set_announced(&mut self, host: &HostId, now: Instant) {
        self.seen.entry(host.clone()).or_default().announced_at = Some(now);
    }

    pub(crate) fn announced_at(&self, host: &HostId) -> Option<Instant> {
        self.seen.get(host).and_then(|seen| seen.announced_at)
    }

    pub(crate) fn dead_since(&self, host: &HostId) -> Option<Instant> {
        self.seen.get(host).and_then(|seen| seen.dead_since)
    }

    pub(crate) fn all_announced(&self) -> bool {
        let silent = |seen: &HostSeen| seen.is_member && seen.announced_at.is_none();
        !self.seen.values().any(silent)
    }

    pub(crate) fn silent_members(&self) -> Vec<HostId> {
        let silent = |seen: &HostSeen| seen.is_member && seen.announced_at.is_none();
        let hosts = self.seen.iter().filter(|(_, seen)| silent(seen));
        hosts.map(|(host, _)| host.clone()).collect()
    }

    /// Forgets hosts that have been dead for long and hold nothing.
    pub(crate) fn forget_dead(
        &mut self,
        after: Duration,
        now: Instant,
        holds: impl Fn(&HostId) -> bool,
    ) {
        self.seen.retain(|host, seen| {
            let is_old = seen
                .dead_since
                .is_some_and(|since| now.duration_since(since) > after);
            !is_old || holds(host)
        });
    }
}

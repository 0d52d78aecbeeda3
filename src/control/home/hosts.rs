//! What a home knows of the hosts that ask it.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::HomeConf;
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

    /// From when on the grants of a host that was last heard at `heard_at` have no owner, if it is
    /// dead.
    ///
    /// The failure this guards against: this host is cut off from the others, or was paused and
    /// wakes up, and holds all of them for dead. It would cancel what the whole failure domain is
    /// reading. So deaths count only while at least as many members live as have died. A tie counts:
    /// a failure domain of today has two hosts, and the death of one would never be believed.
    /// Inside a failure domain the network does not part, so that a host which finds one of two gone
    /// is not the one that is cut off.
    pub(crate) fn given_up_at(
        &self,
        host: &HostId,
        heard_at: Instant,
        conf: &HomeConf,
    ) -> Option<Instant> {
        let members = self.members();
        if !self.believes_deaths() {
            return None;
        }
        match self.seen.get(host) {
            // Membership may be wrong or behind, and a message may come after its sender's death.
            // So a host held for dead that goes on speaking keeps its grants, and one that spoke
            // last keeps them for the grace only.
            Some(seen) => seen
                .dead_since
                .map(|at| at.max(heard_at) + conf.dead_host_grace),
            // It died before this home took over, and membership has forgotten it.
            None if members > 1 => Some(heard_at + conf.unknown_host_grace),
            None => None,
        }
    }

    fn members(&self) -> usize {
        self.seen.values().filter(|seen| seen.is_member).count()
    }

    fn believes_deaths(&self) -> bool {
        let dead = self.seen.values().filter(|seen| seen.dead_since.is_some());
        self.members() >= dead.count()
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
        // Forgotten one by one, the dead would come to be fewer than the living.
        if !self.believes_deaths() {
            return;
        }
        self.seen.retain(|host, seen| {
            let is_old = seen
                .dead_since
                .is_some_and(|since| now.duration_since(since) > after);
            !is_old || holds(host)
        });
    }
}

//! The state of the hosts that a home knows.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::control::home::HomeConf;
use crate::units::HostId;

/// When a host last announced its grants, since when it is dead, and whether it is a living member.
#[derive(Clone, Copy, Debug, Default)]
struct HostEntry {
    /// When the host last announced its grants.
    announced_at: Option<Instant>,
    /// Since when membership considers the host dead.
    dead_since: Option<Instant>,
    /// Whether membership considers the host alive.
    is_member: bool,
}

/// The hosts that a home knows from membership or from their announcements.
#[derive(Debug, Default)]
pub(crate) struct HostTable {
    hosts: IndexMap<HostId, HostEntry>,
}

impl HostTable {
    /// Records that membership considers the host alive, and forgets an earlier death.
    pub(crate) fn set_alive(&mut self, host: &HostId) {
        let entry = self.hosts.entry(host.clone()).or_default();
        entry.dead_since = None;
        entry.is_member = true;
    }

    /// Records that membership considers the host dead; repeated reports keep the time of the
    /// first.
    pub(crate) fn set_dead(&mut self, host: &HostId, now: Instant) {
        let entry = self.hosts.entry(host.clone()).or_default();
        entry.dead_since.get_or_insert(now);
        entry.is_member = false;
    }

    /// Records an announcement of the host, which need not be a member.
    pub(crate) fn set_announced(&mut self, host: &HostId, now: Instant) {
        self.hosts.entry(host.clone()).or_default().announced_at = Some(now);
    }

    /// When the host last announced its grants; None if it never did.
    pub(crate) fn announced_at(&self, host: &HostId) -> Option<Instant> {
        self.hosts.get(host).and_then(|entry| entry.announced_at)
    }

    /// The time from which a grant of the host has no owner, where `last_seen_at` is when the host
    /// last showed that it holds the grant. None while the home does not act on a death of the
    /// host.
    ///
    /// This guards against a home that is partitioned from the other hosts, or resumes after a
    /// pause, and considers all of them dead: it would cancel every answer that its failure domain
    /// is reading. Deaths therefore count only while at least as many members are alive as have
    /// died. A tie counts, since in a failure domain of two hosts the death of one could otherwise
    /// never be acted on. The network inside a failure domain does not partition, so a host that
    /// finds the other one of two dead is not itself partitioned.
    pub(crate) fn owner_lost_at(
        &self,
        host: &HostId,
        last_seen_at: Instant,
        conf: &HomeConf,
    ) -> Option<Instant> {
        let members = self.member_count();
        if !self.acts_on_deaths() {
            return None;
        }
        match self.hosts.get(host) {
            // Membership may be wrong or late, and a message may arrive after its sender has died.
            // A host that is considered dead but goes on announcing keeps its grants; a host that
            // has gone silent keeps them for the grace period only.
            Some(entry) => entry
                .dead_since
                .map(|at| at.max(last_seen_at) + conf.dead_host_grace),
            // The host died before this home took over, and membership has forgotten it.
            None if members > 1 => Some(last_seen_at + conf.unknown_host_grace),
            None => None,
        }
    }

    /// The number of hosts that membership considers alive.
    fn member_count(&self) -> usize {
        self.hosts.values().filter(|entry| entry.is_member).count()
    }

    /// Whether at least as many members are alive as have died.
    fn acts_on_deaths(&self) -> bool {
        let dead = self
            .hosts
            .values()
            .filter(|entry| entry.dead_since.is_some());
        self.member_count() >= dead.count()
    }

    /// Whether every member has announced its grants at least once.
    pub(crate) fn all_announced(&self) -> bool {
        let is_silent = |entry: &HostEntry| entry.is_member && entry.announced_at.is_none();
        !self.hosts.values().any(is_silent)
    }

    /// The members that have never announced their grants.
    pub(crate) fn silent_members(&self) -> Vec<HostId> {
        let is_silent = |entry: &HostEntry| entry.is_member && entry.announced_at.is_none();
        let hosts = self.hosts.iter().filter(|(_, entry)| is_silent(entry));
        hosts.map(|(host, _)| host.clone()).collect()
    }

    /// Forgets hosts that died longer ago than `after` and hold no grant. Forgets none while more
    /// hosts are dead than alive.
    pub(crate) fn forget_dead(
        &mut self,
        after: Duration,
        now: Instant,
        holds_grants: impl Fn(&HostId) -> bool,
    ) {
        // Otherwise dead hosts would be forgotten one by one until the living outnumber the dead,
        // and an isolated home would act on the remaining deaths.
        if !self.acts_on_deaths() {
            return;
        }
        self.hosts.retain(|host, entry| {
            let is_old = entry
                .dead_since
                .is_some_and(|since| now.duration_since(since) > after);
            !is_old || holds_grants(host)
        });
    }
}

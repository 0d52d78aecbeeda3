//! The table of all known hosts, with hashes for comparison.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::cluster_view::HostState;
use crate::cluster_view::HostView;
use crate::control::membership::record::to_record;
use crate::peer::message::HostRecord;
use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::Incarnation;

/// What an update changed about a host: nothing (it was stale), only the manifest generation, the
/// state, incarnation or address, or the host is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// Nothing: the update is older than the known view.
    Stale,
    /// Only the manifest generation that the host has in force.
    Generation,
    /// The state, incarnation or address of the host.
    Changed,
    /// The host was not known.
    New,
}

/// All known hosts by id, and a hash of each failure domain.
#[derive(Debug, Default)]
pub(crate) struct MembershipTable {
    hosts: IndexMap<HostId, MemberEntry>,
    hashes: IndexMap<FailureDomainId, u64>,
}

/// A known host.
#[derive(Debug)]
struct MemberEntry {
    view: HostView,
    /// The time since which the view has been valid.
    changed_at: Instant,
}

impl MembershipTable {
    /// Applies a view of a host that has been valid since `since`. The higher incarnation wins;
    /// within one incarnation, the later state.
    pub(crate) fn apply(&mut self, view: HostView, since: Instant) -> UpdateOutcome {
        let Some(old) = self.hosts.get(&view.id).map(|entry| &entry.view) else {
            self.set(view, since);
            return UpdateOutcome::New;
        };
        if precedence(&view) <= precedence(old) {
            return self.apply_generation(&view.id, view.incarnation, view.generation);
        }
        let generation = match old.incarnation == view.incarnation {
            true => old.generation.max(view.generation),
            false => view.generation,
        };
        self.set(HostView { generation, ..view }, since);
        UpdateOutcome::Changed
    }

    /// Applies the manifest generation that a process of a host reported, if it is later than the
    /// known one. Changes nothing for an unknown host or an earlier process.
    pub(crate) fn apply_generation(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        generation: Generation,
    ) -> UpdateOutcome {
        let Some(entry) = self.hosts.get_mut(host) else {
            return UpdateOutcome::Stale;
        };
        let is_later = entry.view.incarnation <= incarnation && entry.view.generation < generation;
        if !is_later {
            return UpdateOutcome::Stale;
        }
        entry.view.generation = generation;
        UpdateOutcome::Generation
    }

    /// Stores a view of a host that has been valid since `since`, in place of any earlier view.
    pub(crate) fn set(&mut self, view: HostView, since: Instant) {
        if let Some(old) = self.hosts.get(&view.id) {
            *self.hashes.entry(old.view.domain.clone()).or_default() ^= hash(&old.view);
        }
        *self.hashes.entry(view.domain.clone()).or_default() ^= hash(&view);
        let entry = MemberEntry {
            view,
            changed_at: since,
        };
        self.hosts.insert(entry.view.id.clone(), entry);
    }

    /// The view of a host; `None` if the host is not known.
    pub(crate) fn get(&self, host: &HostId) -> Option<&HostView> {
        self.hosts.get(host).map(|entry| &entry.view)
    }

    /// The views of all known hosts, including dead ones.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &HostView> {
        self.hosts.values().map(|entry| &entry.view)
    }

    /// The hosts of a failure domain that are not dead.
    pub(crate) fn live_hosts<'a>(
        &'a self,
        domain: &'a FailureDomainId,
    ) -> impl Iterator<Item = &'a HostView> {
        self.iter()
            .filter(move |view| view.domain == *domain && view.state != HostState::Dead)
    }

    /// The record of a host for messages, with the time since its death; `None` if the host is not
    /// known.
    pub(crate) fn record(&self, host: &HostId, now: Instant) -> Option<HostRecord> {
        let entry = self.hosts.get(host)?;
        let dead_for = match entry.view.state {
            HostState::Dead => now.saturating_duration_since(entry.changed_at),
            _ => Duration::ZERO,
        };
        Some(HostRecord {
            dead_for_s: u32::try_from(dead_for.as_secs()).unwrap_or(u32::MAX),
            ..to_record(&entry.view)
        })
    }

    /// Removes hosts that died before `before`, and returns them.
    pub(crate) fn remove_expired_dead(&mut self, before: Instant) -> Vec<HostId> {
        let is_old =
            |entry: &MemberEntry| entry.view.state == HostState::Dead && entry.changed_at < before;
        let old: Vec<HostId> = self
            .hosts
            .values()
            .filter(|entry| is_old(entry))
            .map(|entry| entry.view.id.clone())
            .collect();
        self.hosts.retain(|_, entry| !is_old(entry));
        old
    }

    /// A hash of the hosts of a failure domain, 0 for an unknown domain. Equal views give equal
    /// hashes.
    pub(crate) fn domain_hash(&self, domain: &FailureDomainId) -> u64 {
        self.hashes.get(domain).copied().unwrap_or(0)
    }

    /// A hash of all hosts that are not dead; equal views give equal hashes.
    pub(crate) fn view_hash(&self) -> u64 {
        self.hashes.values().fold(0, |all, hash| all ^ hash)
    }

    /// The failure domains of all hosts that were ever known.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &FailureDomainId> {
        self.hashes.keys()
    }
}

/// The view with the higher value overrides other views of the same host.
fn precedence(view: &HostView) -> (Incarnation, HostState) {
    (view.incarnation, view.state)
}

/// The hash of one host, 0 if it is dead. Suspicions are often short, dead hosts are forgotten at
/// different times, and generations change too often, so none of them affects the hash.
fn hash(view: &HostView) -> u64 {
    let state = match view.state {
        HostState::Dead => return 0,
        HostState::Leaving => "leaving",
        HostState::Alive | HostState::Suspect => "alive",
    };
    let text = format!(
        "{} {} {} {} {state}",
        view.id, view.domain, view.peer_addr, view.incarnation
    );
    xxh3_64(text.as_bytes())
}

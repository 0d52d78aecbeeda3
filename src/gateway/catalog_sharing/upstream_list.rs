//! The upstreams that were read last, and their recent changes.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::ListedUpstream;
use crate::gateway::UpstreamChange;
use crate::units::UpstreamName;
use crate::units::whole_millis;

/// Number of versions since which the changes can be reported. Requesting hosts are only a few
/// versions behind, also while all upstreams of a service are replaced one after the other.
const VERSIONS_MAX: usize = 256;
/// Number of removed upstreams whose names are kept. Fewer are removed within [`VERSIONS_MAX`]
/// versions.
const REMOVED_MAX: usize = 1_024;

/// A listed upstream with the number of the update that last changed it.
#[derive(Clone, Debug)]
struct VersionedUpstream {
    listed: ListedUpstream,
    /// The hash of `listed`.
    hash: u64,
    update_number: u64,
}

/// A list of upstreams that can report its changes since an earlier version.
///
/// In a fleet of 300 hosts and 3,000 upstreams, some upstreams change several times a second. Sent
/// in full, the list would take 400 KB per change and host: hosts that request it from the same
/// reader would wait for seconds, and an upstream that is leaving would get requests meanwhile.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamList {
    version: u64,
    /// Number of the last update that changed the list.
    update_number: u64,
    entries: IndexMap<UpstreamName, VersionedUpstream>,
    /// The sum of the hashes of all entries, from which the version is computed.
    hash_sum: u64,
    /// Recently removed upstreams, each with the number of the update that removed it.
    removed: VecDeque<(u64, UpstreamName)>,
    /// Recent versions, each with the number of its update.
    versions: VecDeque<(u64, u64)>,
    /// All upstreams, as of the last update.
    listed: Arc<Vec<ListedUpstream>>,
}

impl UpstreamList {
    /// The version, which is the same for the same upstreams on every host; 0 before the first
    /// read.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// All upstreams.
    pub(crate) fn listed(&self) -> &Arc<Vec<ListedUpstream>> {
        &self.listed
    }

    /// Replaces the full list. Returns whether it has changed.
    pub(crate) fn replace(&mut self, listed: &[ListedUpstream]) -> bool {
        let names: IndexSet<&UpstreamName> = listed.iter().map(|u| &u.name).collect();
        let removed = self.entries.keys().filter(|name| !names.contains(name));
        let removed: Vec<UpstreamName> = removed.cloned().collect();
        let listed = listed.iter().cloned().map(UpstreamChange::Upserted);
        self.apply(listed.chain(removed.into_iter().map(UpstreamChange::Removed)))
    }

    /// Applies changes. Returns whether the list has changed.
    pub(crate) fn apply(&mut self, changes: impl IntoIterator<Item = UpstreamChange>) -> bool {
        let update_number = self.update_number + 1;
        let mut has_changed = false;
        for change in changes {
            has_changed |= match change {
                UpstreamChange::Upserted(listed) => self.upsert(listed, update_number),
                UpstreamChange::Removed(name) => self.remove(name, update_number),
            };
        }
        if self.version != 0 && !has_changed {
            return false;
        }
        self.update_number = update_number;
        // Version 0 means that there is none.
        self.version = self.hash_sum.max(1);
        self.versions.push_back((self.version, update_number));
        drop_oldest(&mut self.versions, VERSIONS_MAX);
        drop_oldest(&mut self.removed, REMOVED_MAX);
        let listed = self.entries.values().map(|entry| entry.listed.clone());
        self.listed = Arc::new(listed.collect());
        true
    }

    /// The changes since a version; none if they are no longer all kept.
    pub(crate) fn changes_since(&self, version: u64) -> Option<Vec<UpstreamChange>> {
        let position = self.versions.iter().rev().find(|(v, _)| *v == version);
        let (_, since) = *position?;
        let is_incomplete = self.removed.len() == REMOVED_MAX && self.removed[0].0 > since;
        if is_incomplete {
            return None;
        }
        let removed = self
            .removed
            .iter()
            .filter(|(update_number, _)| *update_number > since);
        let removed = removed.map(|(_, name)| UpstreamChange::Removed(name.clone()));
        let changed = self
            .entries
            .values()
            .filter(|entry| entry.update_number > since);
        let changed = changed.map(|entry| UpstreamChange::Upserted(entry.listed.clone()));
        // An upstream that was removed and added again is in both. Changes are applied in order, so
        // it must be added after it is removed.
        Some(removed.chain(changed).collect())
    }

    /// Adds an upstream or replaces its entry. Returns whether the list has changed.
    fn upsert(&mut self, listed: ListedUpstream, update_number: u64) -> bool {
        let hash = hash_of(&listed);
        let before = self.entries.get(&listed.name);
        if before.is_some_and(|before| before.listed == listed) {
            return false;
        }
        let hash_before = before.map_or(0, |before| before.hash);
        self.hash_sum = self.hash_sum.wrapping_sub(hash_before).wrapping_add(hash);
        let name = listed.name.clone();
        let entry = VersionedUpstream {
            listed,
            hash,
            update_number,
        };
        self.entries.insert(name, entry);
        true
    }

    /// Removes an upstream and records the removal under `update_number`, which is not compared
    /// with the number of the entry. Does not change the version, which the caller updates. Returns
    /// whether the upstream was on the list.
    fn remove(&mut self, name: UpstreamName, update_number: u64) -> bool {
        let Some(before) = self.entries.swap_remove(&name) else {
            return false;
        };
        self.hash_sum = self.hash_sum.wrapping_sub(before.hash);
        self.removed.push_back((update_number, name));
        true
    }
}

/// A hash of all fields of an upstream. Hosts must compute the same hash, so its input is a fixed
/// text.
fn hash_of(listed: &ListedUpstream) -> u64 {
    let ListedUpstream {
        id,
        name,
        service,
        addr,
        domain,
        slots,
        cold_left,
        is_leaving,
    } = listed;
    let mut text = format!("{id} {name} {service} {addr} {domain} {slots} {is_leaving}");
    // Left out of the text otherwise, so that hosts of the former version compute the same hash.
    if !cold_left.is_zero() {
        text.push_str(&format!(" {}", whole_millis(*cold_left)));
    }
    xxh3_64(text.as_bytes())
}

/// Drops the oldest entries beyond `len_max`.
fn drop_oldest<T>(entries: &mut VecDeque<T>, len_max: usize) {
    let surplus = entries.len().saturating_sub(len_max);
    entries.drain(..surplus);
}

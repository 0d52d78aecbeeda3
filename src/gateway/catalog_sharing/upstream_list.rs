//! The upstreams as they were read last, and what has changed among them lately.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::ListedUpstream;
use crate::gateway::UpstreamChange;
use crate::units::UpstreamName;

/// Versions whose changes are remembered. Hosts that ask are a few versions behind, also while all
/// upstreams of a service are replaced one after the other.
const VERSIONS_MAX: usize = 256;
/// Upstreams that have left which are remembered; more than leave within as many versions.
const GONE_MAX: usize = 1_024;

/// An upstream with the step in which it was listed like this.
#[derive(Clone, Debug)]
struct Known {
    listed: ListedUpstream,
    hash: u64,
    step: u64,
}

/// A list of upstreams that says what has changed since an earlier version of it.
///
/// Load it answers: a fleet of 300 hosts before 3,000 upstreams, of which some change several times a
/// second. Told whole, each change is 400 KB to each host: hosts that ask the same one wait for seconds,
/// and an upstream that leaves goes on getting requests meanwhile.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamList {
    version: u64,
    /// Grows with each change.
    step: u64,
    known: IndexMap<UpstreamName, Known>,
    /// The sum of the hashes of what is known, which makes the version.
    sum: u64,
    gone: VecDeque<(u64, UpstreamName)>,
    /// Earlier versions, each with its step.
    versions: VecDeque<(u64, u64)>,
    listed: Arc<Vec<ListedUpstream>>,
}

impl UpstreamList {
    /// The same for the same upstreams on every host; 0 before the first read.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// All of them.
    pub(crate) fn listed(&self) -> &Arc<Vec<ListedUpstream>> {
        &self.listed
    }

    /// Takes in a whole list. Returns whether it is another one.
    pub(crate) fn replace(&mut self, listed: &[ListedUpstream]) -> bool {
        let names: IndexSet<&UpstreamName> = listed.iter().map(|u| &u.name).collect();
        let gone = self.known.keys().filter(|name| !names.contains(name));
        let gone: Vec<UpstreamName> = gone.cloned().collect();
        let listed = listed.iter().cloned().map(UpstreamChange::Upserted);
        self.apply(listed.chain(gone.into_iter().map(UpstreamChange::Removed)))
    }

    /// Takes in what has changed. Returns whether the list is another one.
    pub(crate) fn apply(&mut self, changes: impl IntoIterator<Item = UpstreamChange>) -> bool {
        let step = self.step + 1;
        let mut has_changed = false;
        for change in changes {
            has_changed |= match change {
                UpstreamChange::Upserted(listed) => self.put(listed, step),
                UpstreamChange::Removed(name) => self.remove(name, step),
            };
        }
        if self.version != 0 && !has_changed {
            return false;
        }
        self.step = step;
        // 0 stands for none.
        self.version = self.sum.max(1);
        self.versions.push_back((self.version, step));
        shorten(&mut self.versions, VERSIONS_MAX);
        shorten(&mut self.gone, GONE_MAX);
        let listed = self.known.values().map(|known| known.listed.clone());
        self.listed = Arc::new(listed.collect());
        true
    }

    /// What has changed since a version; none if that is not remembered.
    pub(crate) fn since(&self, version: u64) -> Option<Vec<UpstreamChange>> {
        let known = self.versions.iter().rev().find(|(v, _)| *v == version);
        let (_, since) = *known?;
        let forgot_some = self.gone.len() == GONE_MAX && self.gone[0].0 > since;
        if forgot_some {
            return None;
        }
        let gone = self.gone.iter().filter(|(step, _)| *step > since);
        let gone = gone.map(|(_, name)| UpstreamChange::Removed(name.clone()));
        let changed = self.known.values().filter(|known| known.step > since);
        let changed = changed.map(|known| UpstreamChange::Upserted(known.listed.clone()));
        // One that has left and come back stands in both: it is listed in the end.
        Some(gone.chain(changed).collect())
    }

    fn put(&mut self, listed: ListedUpstream, step: u64) -> bool {
        let hash = hash_of(&listed);
        let before = self.known.get(&listed.name);
        if before.is_some_and(|before| before.listed == listed) {
            return false;
        }
        let hash_before = before.map_or(0, |before| before.hash);
        self.sum = self.sum.wrapping_sub(hash_before).wrapping_add(hash);
        let name = listed.name.clone();
        let known = Known { listed, hash, step };
        self.known.insert(name, known);
        true
    }

    fn remove(&mut self, name: UpstreamName, step: u64) -> bool {
        let Some(before) = self.known.swap_remove(&name) else {
            return false;
        };
        self.sum = self.sum.wrapping_sub(before.hash);
        self.gone.push_back((step, name));
        true
    }
}

fn hash_of(listed: &ListedUpstream) -> u64 {
    let ListedUpstream {
        id,
        name,
        service,
        addr,
        domain,
        slots,
        is_leaving,
    } = listed;
    let text = format!("{id} {name} {service} {addr} {domain} {slots} {is_leaving}");
    xxh3_64(text.as_bytes())
}

/// Forgets the first entries beyond `len_max`.
fn shorten<T>(entries: &mut VecDeque<T>, len_max: usize) {
    let surplus = entries.len().saturating_sub(len_max);
    entries.drain(..surplus);
}

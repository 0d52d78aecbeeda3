//! The hosts that this one tells of its work.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::ListedHost;
use crate::units::HostId;

/// How long a host that has left the list is told on: longer than a restart takes, and than the list is
/// behind.
const LEFT_TOLD_FOR: Duration = Duration::from_secs(10);

/// The hosts on the platform's list, this one, and those that left the list lately.
///
/// Failure it guards against: hosts restart in turn. Each is off the list until the others have read that it
/// is back, for a second or two, and nobody tells it anything: it sends its prompts to engines that others
/// have filled. Its address is mostly the same.
#[derive(Debug)]
pub(crate) struct ToldHosts {
    own: ListedHost,
    listed: Vec<ListedHost>,
    /// Those that left, and when.
    left: IndexMap<HostId, (ListedHost, Instant)>,
}

impl ToldHosts {
    /// This host alone.
    pub(crate) fn new(own: ListedHost) -> Self {
        Self {
            own,
            listed: Vec::new(),
            left: IndexMap::new(),
        }
    }

    /// Takes in the platform's list, which may be seconds old.
    pub(crate) fn set_listed(&mut self, listed: Vec<ListedHost>, now: Instant) {
        let before = std::mem::replace(&mut self.listed, listed);
        for host in before {
            self.left.insert(host.host.clone(), (host, now));
        }
    }

    /// All that are told, this host included.
    pub(crate) fn hosts(&mut self, now: Instant) -> Vec<ListedHost> {
        let is_told = |at: Instant| now.saturating_duration_since(at) < LEFT_TOLD_FOR;
        self.left.retain(|_, (_, at)| is_told(*at));
        let mut hosts: IndexMap<&HostId, &ListedHost> = IndexMap::new();
        let left = self.left.values().map(|(host, _)| host);
        for host in self.listed.iter().chain([&self.own]).chain(left) {
            hosts.entry(&host.host).or_insert(host);
        }
        hosts.into_values().cloned().collect()
    }
}

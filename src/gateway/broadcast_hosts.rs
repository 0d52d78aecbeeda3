//! The hosts to which this one broadcasts its updates.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::ListedHost;
use crate::units::HostId;

/// How long at least a host that has left the list still gets broadcasts. A restart takes less time,
/// and the list lags by less.
const DEPARTED_RETENTION_MIN: Duration = Duration::from_secs(10);

/// The hosts on the platform's list, this one, and those that left the list recently.
///
/// When hosts restart in turn, each is off the list until the others have read that it is back, for
/// a second or two. Without broadcasts during that time, it would send its prompts to engines that
/// others have filled. Its address is usually the same as before.
#[derive(Debug)]
pub(crate) struct BroadcastHosts {
    own: ListedHost,
    /// How long hosts that have left the list are kept.
    departed_retention: Duration,
    listed: Vec<ListedHost>,
    /// Hosts that left the list, and when.
    departed: IndexMap<HostId, (ListedHost, Instant)>,
}

impl BroadcastHosts {
    /// Starts with this host alone. A host that has left the list is kept for `retry_window` at
    /// least: until then the retries that it has sent count.
    pub(crate) fn new(own: ListedHost, retry_window: Duration) -> Self {
        Self {
            own,
            departed_retention: retry_window.max(DEPARTED_RETENTION_MIN),
            listed: Vec::new(),
            departed: IndexMap::new(),
        }
    }

    /// Sets the platform's list, which may be seconds old.
    pub(crate) fn set_listed(&mut self, listed: Vec<ListedHost>, now: Instant) {
        let before = std::mem::replace(&mut self.listed, listed);
        for host in before {
            self.departed.insert(host.host.clone(), (host, now));
        }
    }

    /// Whether the platform's list has been read and has entries.
    pub(crate) fn has_list(&self) -> bool {
        !self.listed.is_empty()
    }

    /// All hosts that get broadcasts, this host included.
    pub(crate) fn hosts(&mut self, now: Instant) -> Vec<ListedHost> {
        let retention = self.departed_retention;
        let is_retained = |at: Instant| now.saturating_duration_since(at) < retention;
        self.departed.retain(|_, (_, at)| is_retained(*at));
        let mut hosts: IndexMap<&HostId, &ListedHost> = IndexMap::new();
        let departed = self.departed.values().map(|(host, _)| host);
        for host in self.listed.iter().chain([&self.own]).chain(departed) {
            hosts.entry(&host.host).or_insert(host);
        }
        hosts.into_values().cloned().collect()
    }
}

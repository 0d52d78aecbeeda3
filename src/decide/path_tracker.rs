//! Which upstreams this host does not reach itself although other hosts do.
//!
//! Load condition: some hosts, such as most of a failure domain, lose their connections to upstreams
//! while all other connections work. A failed connection alone does not tell whether the upstream is
//! down or only unreachable from this host; a connection through another host does.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::DirectLinks;
use crate::decide::DirectPath;
use crate::decide::TunnelPauses;
use crate::units::UpstreamId;

/// Failed direct connections in a row, after which the direct path counts as lost. A single failure
/// may be a lost packet.
const FAILURES_MIN: u32 = 2;
/// The interval between two probes while paths remain lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two rounds of probes while several paths are probed at once.
const MANY_PROBES_INTERVAL: Duration = Duration::from_millis(20);
/// The number of paths that are probed at once if they were not probed before, or after a probe has
/// succeeded.
const PROBES_MAX: usize = 8;

/// The direct path to one upstream, after a connection failed that another host established.
#[derive(Clone, Copy, Debug, Default)]
struct PathRecord {
    /// Failed direct connections since the last one that was established.
    failures: u32,
    probed_at: Option<Instant>,
}

impl PathRecord {
    fn is_lost(&self) -> bool {
        self.failures >= FAILURES_MIN
    }
}

/// The direct paths from this host to upstreams, and the hosts that could not provide a tunnel.
#[derive(Debug, Default)]
pub struct PathTracker {
    /// The paths that are lost, or may be.
    paths: IndexMap<UpstreamId, PathRecord>,
    links: DirectLinks,
    pauses: TunnelPauses,
    /// When the next path is probed; none if there is none to probe.
    next_probe_at: Option<Instant>,
    /// Whether the last probe succeeded.
    is_regaining: bool,
}

impl PathTracker {
    /// Whether the direct path to an upstream is lost.
    pub fn is_lost(&self, upstream: &UpstreamId) -> bool {
        self.paths.get(upstream).is_some_and(PathRecord::is_lost)
    }

    /// What is known of the direct path to an upstream.
    pub fn direct_path(&self, upstream: &UpstreamId, now: Instant) -> DirectPath {
        if self.is_lost(upstream) {
            DirectPath::Lost
        } else if self.is_isolated(now) {
            DirectPath::InDoubt
        } else {
            DirectPath::Usable
        }
    }

    /// Whether this host reaches no upstream itself, as far as its latest connections tell.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.links.is_isolated(now)
    }

    /// Whether a failed direct connection of this host says something about the upstream: the host
    /// has just reached another one, and has lost no path.
    pub fn is_witness(&self, now: Instant) -> bool {
        self.links.is_witness(now) && !self.has_lost()
    }

    /// Whether this host may report upstreams as unreachable: it has lost no path, and its
    /// connections do not all fail.
    pub fn may_report(&self, now: Instant) -> bool {
        !self.is_isolated(now) && !self.has_lost()
    }

    /// The hosts that could not provide a tunnel.
    pub fn tunnel_pauses(&mut self) -> &mut TunnelPauses {
        &mut self.pauses
    }

    /// Whether any direct path is lost.
    fn has_lost(&self) -> bool {
        self.paths.values().any(PathRecord::is_lost)
    }

    /// Records that a direct connection to an upstream was not established, while one through
    /// another host was. The path is probed at once if this is the first time. Returns whether the
    /// path counts as lost from now on.
    pub fn on_bypassed(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        if !self.paths.contains_key(upstream) {
            let path = PathRecord::default();
            self.paths.insert(upstream.clone(), path);
            self.next_probe_at = Some(now);
        }
        self.count_failure(upstream, now)
    }

    /// Records that a probe of a path failed. Returns whether the path counts as lost from now on.
    pub fn on_probe_failed(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        self.is_regaining = false;
        self.count_failure(upstream, now)
    }

    /// Records that a direct connection to an upstream was not established, and none through another
    /// host either, or that none was tried.
    pub fn on_failed(&mut self, upstream: &UpstreamId, now: Instant) {
        self.links.on_failed(upstream, now);
    }

    /// Counts a failed direct connection. Returns whether the path counts as lost from now on.
    fn count_failure(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        self.links.on_failed(upstream, now);
        let Some(path) = self.paths.get_mut(upstream) else {
            return false;
        };
        let was_lost = path.is_lost();
        path.failures = path.failures.saturating_add(1);
        path.is_lost() && !was_lost
    }

    /// Records that a direct connection to an upstream was established. Returns whether the path was
    /// lost before.
    pub fn on_connected(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        self.links.on_connected(now);
        let path = self.paths.swap_remove(upstream);
        let was_lost = path.is_some_and(|path| path.is_lost());
        self.is_regaining |= was_lost;
        self.clear_probes_if_none();
        was_lost
    }

    /// Returns the paths to probe now, those probed least recently first: one, or several that were
    /// not probed before or after a probe has succeeded.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<UpstreamId> {
        if self.next_probe_at.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let is_new = |path: &PathRecord| path.probed_at.is_none();
        let new_count = self.paths.values().filter(|path| is_new(path)).count();
        let (interval, count) = if self.is_regaining || new_count > PROBES_MAX {
            (MANY_PROBES_INTERVAL, PROBES_MAX)
        } else {
            (PROBE_INTERVAL, new_count.max(1))
        };
        self.next_probe_at = Some(now + interval);
        let mut paths: Vec<(&UpstreamId, &mut PathRecord)> = self.paths.iter_mut().collect();
        paths.sort_by_key(|(_, path)| path.probed_at);
        let due = paths.into_iter().take(count).map(|(id, path)| {
            path.probed_at = Some(now);
            id.clone()
        });
        due.collect()
    }

    /// When the next probe is due; none if there is no path to probe.
    pub fn next_probe_at(&self) -> Option<Instant> {
        self.next_probe_at
    }

    /// Drops the paths to upstreams that are off the list.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.paths.retain(|id, _| is_listed(id));
        self.clear_probes_if_none();
    }

    fn clear_probes_if_none(&mut self) {
        if self.paths.is_empty() {
            self.next_probe_at = None;
            self.is_regaining = false;
        }
    }
}

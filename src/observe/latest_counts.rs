//! The latest counts of a host, for metrics that are read when they are rendered.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::cluster_view::ClusterView;
use crate::cluster_view::HostState;
use crate::decide::UpstreamHealth;
use crate::observe::HostCounts;
use crate::units::Generation;
use crate::units::TargetId;

/// The latest counts. They are replaced as a whole: a gauge that kept the count of a target that is
/// gone would show upstreams that are not there.
#[derive(Debug, Default)]
pub(crate) struct LatestCounts {
    totals: Mutex<ClusterCounts>,
    counts: Mutex<HostCounts>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ClusterCounts {
    pub(crate) generation: Option<Generation>,
    pub(crate) hosts: IndexMap<&'static str, u64>,
    pub(crate) upstreams: IndexMap<(TargetId, &'static str), u64>,
}

impl LatestCounts {
    /// Counts what the cluster view holds now.
    pub(crate) fn count(&self, cluster_view: &ClusterView) {
        let mut totals = ClusterCounts {
            generation: cluster_view.manifest().map(|in_force| in_force.generation),
            ..ClusterCounts::default()
        };
        for (_, host) in cluster_view.hosts.snapshot() {
            *totals.hosts.entry(state_name(host.state)).or_default() += 1;
        }
        for (_, upstream) in cluster_view.upstreams.snapshot() {
            let key = (upstream.target, health_name(upstream.health));
            *totals.upstreams.entry(key).or_default() += 1;
        }
        *self.lock() = totals;
    }

    /// Takes in what the host's parts count.
    pub(crate) fn set_counts(&self, counts: HostCounts) {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner) = counts;
    }

    pub(crate) fn counts(&self) -> HostCounts {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }

    pub(crate) fn latest(&self) -> ClusterCounts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, ClusterCounts> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn state_name(state: HostState) -> &'static str {
    match state {
        HostState::Alive => "alive",
        HostState::Suspect => "suspect",
        HostState::Leaving => "leaving",
        HostState::Dead => "dead",
    }
}

fn health_name(health: UpstreamHealth) -> &'static str {
    match health {
        UpstreamHealth::Live => "live",
        UpstreamHealth::Leaving => "leaving",
    }
}

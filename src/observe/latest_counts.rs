//! The counts that observable instruments read when metrics are rendered.

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

/// The latest counts of the cluster view and of the host's components. Each set is replaced as a
/// whole: a gauge that kept the count of a removed target would report upstreams that no longer
/// exist.
#[derive(Debug, Default)]
pub(crate) struct LatestCounts {
    cluster: Mutex<ClusterCounts>,
    host: Mutex<HostCounts>,
}

/// The counts of the cluster view: hosts by state, and upstreams by target and health.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClusterCounts {
    pub(crate) generation: Option<Generation>,
    pub(crate) hosts: IndexMap<&'static str, u64>,
    pub(crate) upstreams: IndexMap<(TargetId, &'static str), u64>,
}

impl LatestCounts {
    /// Replaces the cluster counts by those of `cluster_view`.
    pub(crate) fn update_cluster(&self, cluster_view: &ClusterView) {
        let mut counts = ClusterCounts {
            generation: cluster_view.manifest().map(|in_force| in_force.generation),
            ..ClusterCounts::default()
        };
        for (_, host) in cluster_view.hosts.snapshot() {
            *counts.hosts.entry(state_name(host.state)).or_default() += 1;
        }
        for (_, upstream) in cluster_view.upstreams.snapshot() {
            let key = (upstream.target, health_name(upstream.health));
            *counts.upstreams.entry(key).or_default() += 1;
        }
        *self.lock_cluster() = counts;
    }

    /// Replaces the host counts.
    pub(crate) fn update_host(&self, counts: HostCounts) {
        *self.host.lock().unwrap_or_else(PoisonError::into_inner) = counts;
    }

    /// Returns a copy of the host counts.
    pub(crate) fn host(&self) -> HostCounts {
        let counts = self.host.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }

    /// Returns a copy of the cluster counts.
    pub(crate) fn cluster(&self) -> ClusterCounts {
        self.lock_cluster().clone()
    }

    fn lock_cluster(&self) -> MutexGuard<'_, ClusterCounts> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
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

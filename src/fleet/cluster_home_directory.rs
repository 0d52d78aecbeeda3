//! The pools and their homes, computed from the cluster view and the membership.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

use indexmap::IndexMap;

use crate::cluster_view::ClusterView;
use crate::cluster_view::UpstreamView;
use crate::control::home_assignment::HomeTable;
use crate::control::home_assignment::Member;
use crate::control::home_assignment::partition_upstreams;
use crate::fleet::HomeDirectory;
use crate::fleet::MembershipRunner;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::PoolId;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// The data from which the tables are computed. The tables are computed again only when the data
/// has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Inputs {
    upstreams: IndexMap<(FailureDomainId, TargetId), Vec<UpstreamId>>,
    members: IndexMap<FailureDomainId, Vec<Member>>,
}

/// The tables of pools and homes, together with the data from which they were computed.
#[derive(Debug, Default)]
struct Tables {
    inputs: Inputs,
    pools: IndexMap<PoolId, Vec<UpstreamId>>,
    by_target: IndexMap<TargetId, Vec<PoolId>>,
    homes: IndexMap<FailureDomainId, HomeTable>,
}

/// A [`HomeDirectory`] that computes pools and homes from the cluster view and the membership.
pub struct ClusterHomeDirectory {
    cluster_view: Arc<ClusterView>,
    membership: Arc<MembershipRunner>,
    host: HostId,
    domain: FailureDomainId,
    tables: RwLock<Arc<Tables>>,
    /// The change counts of the hosts and of the upstreams at the last refresh.
    last_change_counts: Mutex<(u64, u64)>,
}

impl ClusterHomeDirectory {
    /// A directory for `host`, which belongs to `domain`. The tables are empty until the first
    /// [`Self::refresh`].
    pub fn new(
        cluster_view: Arc<ClusterView>,
        membership: Arc<MembershipRunner>,
        host: HostId,
        domain: FailureDomainId,
    ) -> Self {
        Self {
            cluster_view,
            membership,
            host,
            domain,
            tables: RwLock::default(),
            last_change_counts: Mutex::default(),
        }
    }

    /// Computes the tables again if their input has changed.
    pub fn refresh(&self) {
        if !self.has_changed() {
            return;
        }
        let inputs = self.inputs();
        if self.tables().inputs == inputs {
            return;
        }
        let tables = Arc::new(self.compute_tables(inputs));
        *self.tables.write().unwrap_or_else(PoisonError::into_inner) = tables;
    }

    /// Whether hosts or upstreams of the cluster view have changed since the last call. Comparing
    /// change counts is cheap; comparing all hosts and upstreams ten times a second would take a
    /// share of a core that grows with the number of hosts.
    fn has_changed(&self) -> bool {
        let changes = (
            self.cluster_view.hosts.change_count(),
            self.cluster_view.upstreams.change_count(),
        );
        let mut last = self
            .last_change_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let has_changed = *last != changes;
        *last = changes;
        has_changed
    }

    /// Each pool with its home, for the status page; the home is none where no host can be home.
    pub fn pool_homes(&self) -> Vec<(PoolId, Option<HostId>)> {
        let tables = self.tables();
        let home = |pool: &PoolId| tables.candidates(pool).first().cloned();
        tables
            .pools
            .keys()
            .map(|pool| (pool.clone(), home(pool)))
            .collect()
    }

    fn tables(&self) -> Arc<Tables> {
        Arc::clone(&self.tables.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn inputs(&self) -> Inputs {
        let mut inputs = Inputs::default();
        let mut views = self.cluster_view.upstreams.snapshot();
        views.sort_by(|a, b| a.0.cmp(&b.0));
        for (id, UpstreamView { domain, target, .. }) in views {
            inputs.members.entry(domain.clone()).or_default();
            inputs
                .upstreams
                .entry((domain, target))
                .or_default()
                .push(id);
        }
        for (domain, members) in &mut inputs.members {
            *members = self.membership.members(domain);
            members.sort_by(|a, b| a.host.cmp(&b.host));
        }
        inputs
    }

    fn compute_tables(&self, inputs: Inputs) -> Tables {
        let mut tables = Tables::default();
        let mut by_domain: IndexMap<FailureDomainId, Vec<PoolId>> = IndexMap::new();
        for ((domain, target), upstreams) in &inputs.upstreams {
            for (pool, pool_upstreams) in partition_upstreams(domain, target, upstreams) {
                by_domain
                    .entry(domain.clone())
                    .or_default()
                    .push(pool.clone());
                tables
                    .by_target
                    .entry(target.clone())
                    .or_default()
                    .push(pool.clone());
                tables.pools.insert(pool, pool_upstreams);
            }
        }
        for pools in tables.by_target.values_mut() {
            pools.sort_by_key(|pool| pool.domain().as_ref() != Some(&self.domain));
        }
        for (domain, pools) in by_domain {
            let members = inputs.members.get(&domain).map_or(&[][..], Vec::as_slice);
            tables.homes.insert(domain, HomeTable::new(&pools, members));
        }
        Tables { inputs, ..tables }
    }
}

impl Tables {
    /// The hosts that can be home of a pool, the home first; empty for an unknown pool.
    fn candidates(&self, pool: &PoolId) -> &[HostId] {
        let homes = pool.domain().and_then(|domain| self.homes.get(&domain));
        homes.map_or(&[], |homes| homes.candidates(pool))
    }
}

impl HomeDirectory for ClusterHomeDirectory {
    fn pools_for_target(&self, target: &TargetId, rotation: u64) -> Vec<PoolId> {
        let tables = self.tables();
        let mut pools = tables.by_target.get(target).cloned().unwrap_or_default();
        let is_own = |pool: &PoolId| pool.domain().as_ref() == Some(&self.domain);
        let own_count = pools.iter().take_while(|pool| is_own(pool)).count();
        rotate(&mut pools[..own_count], rotation);
        rotate(&mut pools[own_count..], rotation);
        pools
    }

    fn candidates(&self, pool: &PoolId) -> Vec<HostId> {
        self.tables().candidates(pool).to_vec()
    }

    fn pools_with_local_home(&self) -> Vec<PoolId> {
        let tables = self.tables();
        let own_table = tables.homes.get(&self.domain);
        let pools = own_table.map(|homes| homes.pools_of(&self.host).cloned().collect());
        pools.unwrap_or_default()
    }

    fn upstreams_of(&self, pool: &PoolId) -> Vec<UpstreamId> {
        self.tables().pools.get(pool).cloned().unwrap_or_default()
    }

    fn report_unresponsive(&self, host: &HostId) {
        self.membership.report_unresponsive(host);
    }
}

/// Rotates the pools to the left by `rotation` modulo their number.
fn rotate(pools: &mut [PoolId], rotation: u64) {
    if let Some(by) = usize::try_from(rotation)
        .unwrap_or(0)
        .checked_rem(pools.len())
    {
        pools.rotate_left(by);
    }
}

//! Evacuations: failure domains whose upstreams get no requests until operators end the evacuation.

use std::sync::Arc;

use indexmap::IndexSet;

use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::units::FailureDomainId;

impl Gateway {
    /// Whether this host knows which failure domains are evacuated, or none can be.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.conf.evacuation_lease.is_none() || self.catalog_cache.evacuations_version() != 0
    }

    /// Applies the evacuations that were read last to all listed upstreams, and logs them. `before`
    /// are the failure domains that were evacuated before; those that are now are returned.
    pub(crate) fn apply_evacuations(
        &self,
        before: &IndexSet<FailureDomainId>,
    ) -> Arc<IndexSet<FailureDomainId>> {
        let listed = self.catalog_cache.upstreams().unwrap_or_default();
        let evacuated = self.catalog_cache.evacuations().unwrap_or_default();
        self.assume_cold(&before.difference(&evacuated).cloned().collect());
        let upstreams = self.mark_evacuated(&listed);
        let domains: IndexSet<&FailureDomainId> =
            listed.iter().map(|upstream| &upstream.domain).collect();
        let without_upstreams = evacuated.iter().filter(|domain| !domains.contains(domain));
        self.log.record(DecisionEvent::EvacuationsChanged {
            evacuated: evacuated.iter().map(ToString::to_string).collect(),
            without_upstreams: without_upstreams.map(ToString::to_string).collect(),
            upstreams,
        });
        evacuated
    }

    /// Records which of the listed upstreams are in evacuated failure domains. Returns their number.
    pub(crate) fn mark_evacuated(&self, listed: &[ListedUpstream]) -> usize {
        let Some(evacuated) = self.catalog_cache.evacuations() else {
            return 0;
        };
        let now = self.clock.now();
        let mut availability = self.availability();
        let mut count = 0;
        for upstream in listed {
            let is_evacuated = evacuated.contains(&upstream.domain);
            availability.set_evacuated(&upstream.id, is_evacuated, now);
            count += usize::from(is_evacuated);
        }
        count
    }
}

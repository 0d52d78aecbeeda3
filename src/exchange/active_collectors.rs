//! The collectors whose updates a host accepts, one for each other failure domain.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostUpdate;
use crate::exchange::MessageScope;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// Time without an update after which a collector no longer represents its failure domain.
const COLLECTOR_HOLD_TIME: Duration = Duration::from_millis(300);

/// The active collector of each other failure domain, and when its last update arrived.
#[derive(Debug, Default)]
pub(crate) struct ActiveCollectors {
    by_domain: IndexMap<FailureDomainId, (HostId, Instant)>,
}

impl ActiveCollectors {
    /// Records an update of a collector, and returns the updates to apply. There are none if
    /// another collector of the domain is active. When this collector takes over from another one,
    /// an empty update that removes the load of the former collector comes first.
    ///
    /// For a moment, two hosts of a domain can both be collectors, and each sends the load of the
    /// whole domain. Accepting both would count that load twice, so one of them stays active until
    /// it times out.
    pub(crate) fn accept(
        &mut self,
        domain: FailureDomainId,
        collector: &HostId,
        update: HostUpdate,
        now: Instant,
    ) -> Vec<HostUpdate> {
        let mut accepted = Vec::new();
        if let Some((known, heard_at)) = self.by_domain.get(&domain)
            && known != collector
        {
            if now.saturating_duration_since(*heard_at) < COLLECTOR_HOLD_TIME {
                return Vec::new();
            }
            accepted.push(empty_domain_update(known));
        }
        self.by_domain.insert(domain, (collector.clone(), now));
        accepted.push(update);
        accepted
    }

    /// Whether `host` is the active collector of its failure domain.
    pub(crate) fn is_active(&self, host: &HostId) -> bool {
        self.by_domain
            .values()
            .any(|(collector, _)| collector == host)
    }
}

/// An update that reports no load for the failure domain of `collector`.
fn empty_domain_update(collector: &HostId) -> HostUpdate {
    HostUpdate {
        host: collector.to_string(),
        scope: MessageScope::Domain.into(),
        ..HostUpdate::default()
    }
}

//! Which collector speaks for each other failure domain.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::HostUpdate;
use crate::exchange::MessageScope;
use crate::units::FailureDomainId;
use crate::units::HostId;

/// A collector that has been silent for this long no longer speaks for its domain to this host.
const COLLECTOR_HOLD_TIME: Duration = Duration::from_millis(300);

/// The collector that speaks for each other domain to this host, and when it did last.
#[derive(Debug, Default)]
pub(crate) struct ActiveCollectors {
    by_domain: IndexMap<FailureDomainId, (HostId, Instant)>,
}

impl ActiveCollectors {
    /// What a collector says for its domain, if it is the one that this host listens to, after what is
    /// taken back of another one.
    ///
    /// Failure it guards against: two hosts of a domain collect for a moment, each speaks for all of
    /// it, and its work counts twice. It holds because one of them is listened to until it is silent,
    /// and what it said is taken back when the other one is.
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

    /// Whether a host speaks for its domain.
    pub(crate) fn is_active(&self, host: &HostId) -> bool {
        self.by_domain
            .values()
            .any(|(collector, _)| collector == host)
    }
}

/// That a collector's domain has no work any more.
fn empty_domain_update(collector: &HostId) -> HostUpdate {
    HostUpdate {
        host: collector.to_string(),
        scope: MessageScope::Domain.into(),
        ..HostUpdate::default()
    }
}

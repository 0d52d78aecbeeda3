//! The sender of a load report.

use crate::units::HostId;

/// The sender of a report about load at upstreams.
///
/// A host that collects the reports of its failure domain sends in two roles: as a host inside its
/// domain, and as the collector for all hosts of its domain in other domains. Both roles are
/// identified by the id of the sending host, not by the domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadSource {
    /// A host that reports its own load.
    Host(HostId),
    /// A host that reports the load of all hosts in its failure domain.
    Collector(HostId),
}

impl LoadSource {
    /// The host that sends the report.
    pub fn host(&self) -> &HostId {
        let (Self::Host(host) | Self::Collector(host)) = self;
        host
    }
}

//! A host on the platform's list.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::Millicores;

/// A host of this system on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// The name of the host.
    pub host: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomainId,
    /// The address at which the host exchanges load with other hosts.
    pub exchange_addr: SocketAddr,
    /// The CPU share that the host may use; none for a host of an earlier version, which cannot be
    /// a collector and does not understand the messages of collectors.
    pub processors: Option<Millicores>,
}

impl ListedHost {
    /// Whether the host can be a collector and understands the messages of collectors.
    pub(crate) fn can_relay(&self) -> bool {
        self.processors.is_some()
    }
}

/// Returns the host with the largest CPU share, the first by name among equals. It performs the
/// tasks that one host does on behalf of its failure domain.
pub fn strongest_host<'a>(hosts: impl Iterator<Item = &'a ListedHost>) -> Option<&'a ListedHost> {
    hosts.min_by_key(|listed| (Reverse(listed.processors), &listed.host))
}

//! A host on the platform's list.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::Millicores;

/// A host of this system on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Where it exchanges news with other hosts.
    pub exchange_addr: SocketAddr,
    /// What it may use of its processors; none for a host of a former version, which neither collects
    /// nor understands what collectors send.
    pub processors: Option<Millicores>,
}

impl ListedHost {
    /// Whether it can collect, and understands what collectors send.
    pub(crate) fn can_relay(&self) -> bool {
        self.processors.is_some()
    }
}

/// The strongest of several hosts, of equals the first by name: it does what one host of a failure domain
/// does for all.
pub fn strongest_host<'a>(hosts: impl Iterator<Item = &'a ListedHost>) -> Option<&'a ListedHost> {
    hosts.min_by_key(|listed| (Reverse(listed.processors), &listed.host))
}

//! A host of the system as seen by this host.

use std::net::SocketAddr;

use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::Incarnation;

/// What the membership protocol reports about one host: its failure domain, address, state and
/// manifest generation.
#[derive(Clone, Debug, PartialEq)]
pub struct HostView {
    /// The name of the host.
    pub id: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomainId,
    /// The address at which the host accepts connections of other hosts.
    pub peer_addr: SocketAddr,
    /// The incarnation of the host that the report is about.
    pub incarnation: Incarnation,
    /// The membership state of the host.
    pub state: HostState,
    /// The generation of the manifest that the host has in force.
    pub generation: Generation,
}

/// The states of a host in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostState {
    /// The host answers probes.
    Alive,
    /// The host did not answer a probe, but may still refute the suspicion that it is dead.
    Suspect,
    /// The host drains: it is not chosen as the home of any pool, and finishes its requests.
    Leaving,
    /// The host is treated as gone.
    Dead,
}

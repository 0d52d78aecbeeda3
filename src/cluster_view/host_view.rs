//! A host of the system as seen by this host.

use std::net::SocketAddr;

use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::Incarnation;

/// The state of a host according to the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct HostView {
    /// The name of the host.
    pub id: HostId,
    /// The failure domain of the host.
    pub domain: FailureDomainId,
    /// The address at which the host listens for peers.
    pub peer_addr: SocketAddr,
    /// The incarnation of the host.
    pub incarnation: Incarnation,
    /// The membership state of the host.
    pub state: HostState,
    /// The generation of the manifest that the host has in force.
    pub generation: Generation,
}

/// The states of a host in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostState {
    /// The host answers.
    Alive,
    /// The host did not answer, but may still refute the suspicion.
    Suspect,
    /// The host drains: it takes no homes and finishes its requests.
    Leaving,
    /// The host is gone.
    Dead,
}

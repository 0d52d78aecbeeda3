//! A host of the system as this host sees it.

use std::net::SocketAddr;

use crate::units::FailureDomainId;
use crate::units::Generation;
use crate::units::HostId;
use crate::units::Incarnation;

/// What membership knows of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostView {
    /// Its name.
    pub id: HostId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Where it listens for peers.
    pub peer_addr: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: HostState,
    /// The manifest it has in force.
    pub generation: Generation,
}

/// The states of a host in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HostState {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute.
    Suspect,
    /// It drains: it takes no home and finishes its requests.
    Leaving,
    /// It is gone.
    Dead,
}

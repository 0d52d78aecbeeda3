//! Where other hosts listen.

use std::net::SocketAddr;

use crate::board::Board;
use crate::units::HostId;

/// Knows where hosts listen for peers.
pub trait PeerAddrs: Send + Sync {
    /// The address of a host, if it is known.
    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr>;
}

impl PeerAddrs for Board {
    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.get(host).map(|view| view.peer_addr)
    }
}

//! The addresses on which hosts listen for peers.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::cluster_view::ClusterView;
use crate::cluster_view::ShardedMap;
use crate::settings::PeerSeed;
use crate::units::HostId;

/// A directory of the addresses on which hosts listen for peers.
pub trait PeerAddrs: Send + Sync {
    /// The address of a host; none if the address is not known.
    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr>;
}

/// The addresses of the hosts in the cluster view, and the addresses of seeds for all other hosts.
#[derive(Debug)]
pub struct SeededAddrs {
    cluster_view: Arc<ClusterView>,
    seeds: ShardedMap<HostId, SocketAddr>,
}

impl SeededAddrs {
    /// A directory without seeds, which finds only the hosts in the cluster view.
    pub fn new(cluster_view: Arc<ClusterView>) -> Self {
        Self {
            cluster_view,
            seeds: ShardedMap::new(),
        }
    }

    /// Adds seeds from the settings or from the platform's list of machines.
    pub fn add_seeds(&self, seeds: &[PeerSeed]) {
        for seed in seeds {
            self.seeds.insert(seed.host.clone(), seed.address);
        }
    }
}

impl PeerAddrs for SeededAddrs {
    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        let view = self.cluster_view.hosts.get(host);
        view.map(|view| view.peer_addr)
            .or_else(|| self.seeds.get(host))
    }
}

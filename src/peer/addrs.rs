//! Where other hosts listen.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::cluster_view::ClusterView;
use crate::cluster_view::ShardedMap;
use crate::settings::PeerSeed;
use crate::units::HostId;

/// Knows where hosts listen for peers.
pub trait PeerAddrs: Send + Sync {
    /// The address of a host, if it is known.
    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr>;
}

/// The addresses that the membership knows, and for others those of seeds.
#[derive(Debug)]
pub struct SeededAddrs {
    cluster_view: Arc<ClusterView>,
    seeds: ShardedMap<HostId, SocketAddr>,
}

impl SeededAddrs {
    /// The addresses in the cluster view, and no seeds yet.
    pub fn new(cluster_view: Arc<ClusterView>) -> Self {
        Self {
            cluster_view,
            seeds: ShardedMap::new(),
        }
    }

    /// Takes in seeds of the settings or of the platform's list.
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

//! The clients of the upstreams.

use std::sync::Arc;

use crate::cluster_view::ClusterView;
use crate::cluster_view::ShardedMap;
use crate::entry::UpstreamDirectory;
use crate::http::HttpClient;
use crate::units::UpstreamId;
use crate::upstream::HttpUpstreamClient;
use crate::upstream::UpstreamClient;

/// The clients of the upstreams in the cluster view, by upstream id. A client keeps idle
/// connections, so it is created once and replaced only when the address of its upstream has
/// changed.
#[derive(Debug)]
pub struct UpstreamRegistry {
    cluster_view: Arc<ClusterView>,
    clients: ShardedMap<UpstreamId, HttpClient>,
}

impl UpstreamRegistry {
    /// A registry without clients; each is created when its upstream is first looked up.
    pub fn new(cluster_view: Arc<ClusterView>) -> Self {
        Self {
            cluster_view,
            clients: ShardedMap::new(),
        }
    }
}

impl UpstreamDirectory for UpstreamRegistry {
    fn upstream(&self, id: &UpstreamId) -> Option<Arc<dyn UpstreamClient>> {
        let addr = self.cluster_view.upstreams.get(id)?.addr;
        let client = self.clients.upsert(
            id,
            || HttpClient::new(addr),
            |client| {
                if client.addr() != addr {
                    *client = HttpClient::new(addr);
                }
                client.clone()
            },
        );
        Some(Arc::new(HttpUpstreamClient::new(client)))
    }
}

//! The shared state of one host, which its controllers read and write instead of calling each
//! other.

mod host_view;
mod sharded_map;
mod upstream_view;

pub use host_view::HostState;
pub use host_view::HostView;
pub use sharded_map::ShardedMap;
pub use upstream_view::UpstreamView;

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::manifest::ManifestInForce;
use crate::units::HostId;
use crate::units::UpstreamId;

/// The hosts, upstreams and manifest of the system as seen by this host.
#[derive(Debug)]
pub struct ClusterView {
    /// The hosts of the system, by name.
    pub hosts: ShardedMap<HostId, HostView>,
    /// The upstreams, by id.
    pub upstreams: ShardedMap<UpstreamId, UpstreamView>,
    manifest: RwLock<Option<Arc<ManifestInForce>>>,
}

impl ClusterView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self {
            hosts: ShardedMap::new(),
            upstreams: ShardedMap::new(),
            manifest: RwLock::new(None),
        }
    }

    /// The manifest in force, if one is known yet.
    pub fn manifest(&self) -> Option<Arc<ManifestInForce>> {
        self.manifest
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a manifest in force unless the current one is as new or newer. Returns whether this
    /// call has put it in force.
    pub fn advance_manifest(&self, next: ManifestInForce) -> bool {
        let mut manifest = self
            .manifest
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let is_newer = manifest
            .as_ref()
            .is_none_or(|old| old.generation < next.generation);
        if is_newer {
            *manifest = Some(Arc::new(next));
        }
        is_newer
    }
}

impl Default for ClusterView {
    fn default() -> Self {
        Self::new()
    }
}

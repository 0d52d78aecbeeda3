//! Upstreams by name.

use std::sync::Arc;

use crate::units::UpstreamId;
use crate::upstream::UpstreamClient;

/// Whoever knows how to reach an upstream.
pub trait UpstreamDirectory: Send + Sync {
    /// The upstream of that name, if it is known.
    fn upstream(&self, id: &UpstreamId) -> Option<Arc<dyn UpstreamClient>>;
}

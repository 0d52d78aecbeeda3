//! The lookup of upstream clients by id.

use std::sync::Arc;

use crate::units::UpstreamId;
use crate::upstream::UpstreamClient;

/// Looks up clients for upstreams.
pub trait UpstreamDirectory: Send + Sync {
    /// The client for an upstream; none if the upstream is unknown.
    fn upstream(&self, id: &UpstreamId) -> Option<Arc<dyn UpstreamClient>>;
}

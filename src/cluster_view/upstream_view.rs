//! An upstream as this host sees it.

use std::net::SocketAddr;

use crate::decide::UpstreamHealth;
use crate::units::FailureDomainId;
use crate::units::ObjectVersion;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// What is known of an upstream from the platform's list and from peers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// Its name.
    pub id: UpstreamId,
    /// The model or service that it serves.
    pub target: TargetId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The version of the platform's word on it.
    pub version: ObjectVersion,
    /// Whether it may get new work.
    pub health: UpstreamHealth,
}

//! An upstream as seen by this host.

use std::net::SocketAddr;

use crate::decide::UpstreamHealth;
use crate::units::FailureDomainId;
use crate::units::ObjectVersion;
use crate::units::TargetId;
use crate::units::UpstreamId;

/// The state of an upstream according to the platform's list and to peers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The model or service that the upstream serves.
    pub target: TargetId,
    /// The failure domain of the upstream.
    pub domain: FailureDomainId,
    /// The address at which the upstream listens.
    pub addr: SocketAddr,
    /// The version of the upstream's entry in the platform's list.
    pub version: ObjectVersion,
    /// Whether the upstream may get new requests.
    pub health: UpstreamHealth,
}

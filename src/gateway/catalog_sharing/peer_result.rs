//! The result of requesting a list of the platform from other hosts.

use std::time::Duration;

use crate::gateway::catalog_sharing::message::ReadResponse;

/// The result of requesting a list from other hosts.
pub(super) enum PeerResult {
    /// A host responded with a fresh list, which was confirmed to be current at this time since
    /// boot.
    Fresh(ReadResponse, Duration),
    /// The hosts that responded have no fresh list.
    Stale,
    /// A host that reads the platform has found that it has no such list.
    Absent,
    /// There is no host to request the list from, or none responds.
    NoResponse,
}

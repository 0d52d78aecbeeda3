//! What a collector sends in one turn.

use crate::exchange::HostUpdate;

/// What a collector sends in one turn.
#[derive(Debug, Default)]
pub(crate) struct CollectorMessages {
    /// To the hosts of its domain.
    pub(crate) relay: HostUpdate,
    /// To the other collectors.
    pub(crate) domain: Option<HostUpdate>,
}

//! The messages that a collector sends in one round.

use crate::exchange::HostUpdate;

/// The messages that a collector sends in one round.
#[derive(Debug, Default)]
pub(crate) struct CollectorMessages {
    /// The message to the hosts of the collector's failure domain.
    pub(crate) relay: HostUpdate,
    /// The message to the other collectors, if there is anything new.
    pub(crate) domain: Option<HostUpdate>,
}

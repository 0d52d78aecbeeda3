//! The messages that a collector sends in one round.

use crate::exchange::HostUpdate;

/// The messages that a collector sends in one round: one relays the updates of other domains to the
/// hosts of its own domain; the other, absent if nothing is new, takes the total of its own domain
/// to the collectors of the other domains.
#[derive(Debug, Default)]
pub(crate) struct CollectorMessages {
    /// The message to the hosts of the collector's failure domain, with the updates of other
    /// domains.
    pub(crate) relay: HostUpdate,
    /// The message to the collectors of other domains, with the load of the collector's own domain;
    /// none if there is nothing new.
    pub(crate) domain: Option<HostUpdate>,
}

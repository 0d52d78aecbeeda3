//! What a host is in the exchange.

use std::time::Instant;

use crate::exchange::ListedHost;

/// What a host is in the exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// One of a few that tell each other.
    Direct,
    /// It looks for a collector.
    Searching {
        /// Since when.
        since: Instant,
    },
    /// It tells a collector.
    Member(ListedHost),
    /// It collects for its domain.
    Collector,
}

impl Place {
    /// The host that it tells.
    pub(crate) fn collector(&self) -> Option<&ListedHost> {
        match self {
            Self::Member(collector) => Some(collector),
            Self::Direct | Self::Searching { .. } | Self::Collector => None,
        }
    }

    /// Since when it has been looking for a collector.
    pub(crate) fn searches_since(&self) -> Option<Instant> {
        match self {
            Self::Searching { since } => Some(*since),
            Self::Direct | Self::Member(_) | Self::Collector => None,
        }
    }
}

//! For how long a host requests no lists from another one that has failed to deliver one.

use std::time::Duration;

/// How long a host that did not respond, or had no fresh list, is not asked again. This is longer
/// than a read, so that the hosts of a domain do not send requests to a partitioned host again and
/// again.
pub const EXCLUDED_FOR: Duration = Duration::from_secs(3);
/// The same for a host that did not respond, but reports the list to one that lacks it. It may have
/// been asked by many hosts at once.
pub const EXCLUDED_FOR_IF_NEEDED: Duration = Duration::from_millis(500);

/// Why a host is not asked for lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderFailure {
    /// The host did not respond.
    NoResponse,
    /// The host had no fresh list.
    Stale,
}

/// What the host that needs a list knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListNeed {
    /// Whether its own list is not fresh.
    pub lacks_list: bool,
    /// Whether the other host reports that its list is fresh.
    pub is_reported_fresh: bool,
    /// Whether the other host reports the age of this list apart from that of others.
    pub is_reported_alone: bool,
}

impl ReaderFailure {
    /// For how long after this failure the other host is not asked.
    pub fn excluded_for(self, need: ListNeed) -> Duration {
        match self {
            // Another list may have been the stale one.
            Self::Stale if need.is_reported_fresh && need.is_reported_alone => Duration::ZERO,
            Self::NoResponse if need.is_reported_fresh && need.lacks_list => EXCLUDED_FOR_IF_NEEDED,
            Self::Stale | Self::NoResponse => EXCLUDED_FOR,
        }
    }
}

//! The result of one read of a list of the platform.

use std::time::Duration;

/// The result of one read.
pub(crate) struct ReadOutcome<T> {
    /// The changed content; none if the cached one is still current.
    pub(crate) changed: Option<T>,
    /// The time since boot at which the list was confirmed to be current.
    pub(crate) confirmed_at: Duration,
    /// Whether the platform may have newer content already, so the next read is due immediately.
    pub(crate) has_more: bool,
}

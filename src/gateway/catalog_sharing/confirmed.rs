//! A list of the platform and when it was last confirmed to be current.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog_sharing::message::ReadResponse;

/// A list with its version and the time since boot at which it was last confirmed to be current.
#[derive(Clone, Debug)]
pub(super) struct Confirmed<T> {
    pub(super) version: u64,
    pub(super) value: Arc<T>,
    pub(super) confirmed_at: Duration,
}

impl<T> Confirmed<T> {
    /// A response with the version and the age of the list at `now`, since boot.
    pub(super) fn header(&self, now: Duration) -> ReadResponse {
        ReadResponse::header(self.version, self.confirmed_at, now)
    }
}

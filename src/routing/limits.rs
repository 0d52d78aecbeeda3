//! Limits on the connections of callers.

use std::time::Duration;

/// Limits on one connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The time within which a caller must send its request head.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Common limits of HTTP servers, which apply until a manifest sets others.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

//! What callers may send.

use std::time::Duration;

/// Bounds on one connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head.
    pub head_bytes: usize,
    /// The largest body.
    pub body_bytes: usize,
    /// How long a caller may take for its head.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Until a manifest says otherwise: common bounds of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

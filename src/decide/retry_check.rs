//! The result of a check whether a retry is allowed.

/// Whether a retry is allowed, and the numbers that this follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryCheck {
    /// Whether the retry is allowed. If so, it is counted.
    pub is_allowed: bool,
    /// The requests of this host to the service in the window.
    pub requests: usize,
    /// The retries of this host to the service in the window, without this one.
    pub retries: usize,
    /// The number of hosts that share the allowance; none if this host does not know it.
    pub hosts: Option<usize>,
    /// The number of retries that this host may make in the window.
    pub budget: f64,
}

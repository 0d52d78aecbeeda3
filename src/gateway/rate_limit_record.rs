//! An upstream's rate limit as recorded in the decision log.

use serde::Deserialize;
use serde::Serialize;

use crate::decide::RateLimitView;

/// An upstream's rate limit and its use as one host knew them.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RateLimitRecord {
    /// The requests a second that the upstream accepts from all hosts together.
    pub per_s: f64,
    /// Whether the limit holds because the upstream is cold.
    #[serde(default)]
    pub is_cold: bool,
    /// Requests that all hosts had sent to the upstream in the four seconds before, as far as this
    /// host knew.
    pub sent_in_window: u32,
    /// Number of hosts on the list.
    pub hosts_listed: usize,
    /// Number of hosts on the list whose sends were known.
    pub hosts_heard: usize,
}

impl From<&RateLimitView> for RateLimitRecord {
    fn from(view: &RateLimitView) -> Self {
        Self {
            per_s: view.limit.0,
            is_cold: view.is_cold,
            sent_in_window: view.sent.in_window,
            hosts_listed: view.hosts.listed,
            hosts_heard: view.hosts.heard,
        }
    }
}

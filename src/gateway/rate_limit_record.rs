//! An upstream's limit, as the decision log tells it.

use serde::Deserialize;
use serde::Serialize;

use crate::decide::RateLimitView;

/// The limit that an upstream has named, and how much of it is used, as one host saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RateLimitRecord {
    /// The requests a second that it takes from all hosts together.
    pub per_s: f64,
    /// Requests that all hosts have sent there in the four seconds before.
    pub sent_in_window: u32,
    /// Hosts on the list.
    pub hosts_listed: usize,
    /// Those of them whose sends were known.
    pub hosts_heard: usize,
}

impl From<&RateLimitView> for RateLimitRecord {
    fn from(view: &RateLimitView) -> Self {
        Self {
            per_s: view.limit.0,
            sent_in_window: view.sent.in_window,
            hosts_listed: view.hosts.listed,
            hosts_heard: view.hosts.heard,
        }
    }
}

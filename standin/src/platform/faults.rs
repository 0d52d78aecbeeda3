//! Faults that can be injected into the fake platform.

use serde::Deserialize;
use serde::Serialize;

/// Faults of the fake platform; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The outage of the platform, if any.
    pub outage: Outage,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Drop the response of every n-th write, which still takes effect; 0 for none.
    pub lose_answer_one_in: u64,
    /// Age of the state that lists and watches of machines show, in milliseconds.
    pub machines_lag_ms: u64,
    /// Limit of gets, lists and watches a second; calls beyond it get status 429.
    pub reads_per_second: Option<u64>,
    /// Limit of writes a second; calls beyond it get status 429.
    pub writes_per_second: Option<u64>,
}

/// Kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Each call gets status 503.
    Unavailable,
    /// Each connection is closed without a response.
    Closed,
}

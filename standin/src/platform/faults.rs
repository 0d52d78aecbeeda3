//! What can be wrong with the platform.

use serde::Deserialize;
use serde::Serialize;

/// Faults of the platform; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether it serves at all.
    pub outage: Outage,
    /// How long each call takes.
    pub delay_ms: u64,
    /// Of each so many writes one takes effect and loses its answer; 0 for none.
    pub lose_answer_one_in: u64,
    /// How old the list of machines is.
    pub machines_lag_ms: u64,
    /// Gets, lists and watches that it takes in a second; more get 429.
    pub reads_per_second: Option<u64>,
    /// Writes that it takes in a second; more get 429.
    pub writes_per_second: Option<u64>,
}

/// How the platform is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is up.
    #[default]
    None,
    /// Each call gets 503.
    Unavailable,
    /// Each connection is closed without an answer.
    Closed,
}

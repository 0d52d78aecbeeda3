//! Upstreams that accept no requests, as recorded in the decision log.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The listed upstreams of a service that accept no requests, according to their own statements and
/// to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct ExcludedRecord {
    /// The number of upstreams that are leaving.
    pub leaving: usize,
    /// The number of upstreams that want no requests from this host for now.
    pub backing_off: usize,
    /// The number of upstreams whose failure domain is evacuated.
    #[serde(default)]
    pub evacuated: usize,
    /// The time since this host learned of the latest of these, in ms.
    pub latest_age_ms: u64,
}

impl fmt::Display for ExcludedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} upstreams leaving, {} evacuated and {} backing off, the latest known for {} ms",
            self.leaving, self.evacuated, self.backing_off, self.latest_age_ms
        )
    }
}

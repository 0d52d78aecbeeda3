//! Whether an upstream accepts requests, according to its own statements.

use std::time::Duration;

/// Whether an upstream accepts requests of this host, according to its own statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamAvailability {
    /// The upstream has stated nothing else.
    Available,
    /// The upstream wants no requests from this host for this time.
    BackingOff(Duration),
    /// The upstream is leaving and accepts no new requests.
    Leaving,
}

//! Whether an upstream accepts requests, according to its own statements and to operators.

use std::time::Duration;

/// Whether an upstream accepts requests of this host, according to its own statements and to
/// operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamAvailability {
    /// Nothing else is known.
    Available,
    /// Operators have evacuated the failure domain of the upstream.
    Evacuated,
    /// The upstream wants no requests from this host for this time.
    BackingOff(Duration),
    /// The upstream is leaving and accepts no new requests.
    Leaving,
}

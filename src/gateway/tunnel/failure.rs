//! Why the connection that a tunnel carries has failed.

use std::error::Error;
use std::fmt;
use std::io;

/// Why the connection that a tunnel carries has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelFailure {
    /// The upstream has reset its connection, or can no longer be reached.
    UpstreamBroken,
    /// The tunnel has ended, and the providing host has not announced how the upstream's connection
    /// ended.
    TunnelLost,
}

impl fmt::Display for TunnelFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UpstreamBroken => "the upstream broke the connection behind the tunnel",
            Self::TunnelLost => "the tunnel ended before the connection of the upstream",
        })
    }
}

impl Error for TunnelFailure {}

impl From<TunnelFailure> for io::Error {
    fn from(failure: TunnelFailure) -> Self {
        Self::new(io::ErrorKind::ConnectionReset, failure)
    }
}

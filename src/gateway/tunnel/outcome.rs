//! The answer to a request for a tunnel.

/// The answer to a request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub(crate) enum TunnelOutcome {
    /// The host is of an earlier version, which provides no tunnels.
    Unsupported = 0,
    /// From now on the connection is the tunnel.
    Connected = 1,
    /// The host cannot connect to the upstream.
    Unreachable = 2,
    /// The upstream is not on the host's list, or accepts no requests as far as the host knows.
    Unavailable = 3,
    /// The host does not reach the upstream, and cannot tell whether others do.
    NoPath = 4,
    /// The host provides too many tunnels already, or is stopping.
    Busy = 5,
    /// The host reaches no upstream itself.
    Isolated = 6,
}

impl TunnelOutcome {
    /// The name of the outcome in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unsupported => "unsupported",
            Self::Connected => "connected",
            Self::Unreachable => "unreachable",
            Self::Unavailable => "unavailable",
            Self::NoPath => "no_path",
            Self::Busy => "busy",
            Self::Isolated => "isolated",
        }
    }
}

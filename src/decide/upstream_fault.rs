//! The kinds of faults of an upstream.

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection was refused.
    ConnectRefused,
    /// The connection was not established, and this host reaches no other upstream either: the fault
    /// is not the upstream's.
    NoPath,
    /// The connection broke during a request.
    Broken,
    /// The tunnel through which another host reached the upstream ended during a request: the fault is
    /// not the upstream's.
    TunnelLost,
    /// The upstream sent nothing for far longer than the work takes.
    Silent,
    /// The upstream refused the request without running it.
    RequestRefused,
    /// The upstream responded with an error of its own.
    Failed,
}

impl UpstreamFault {
    /// Whether the connection could not be established.
    pub fn is_unreachable(self) -> bool {
        matches!(self, Self::ConnectTimeout | Self::ConnectRefused)
    }

    /// The name of the fault in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectTimeout => "connect_timeout",
            Self::ConnectRefused => "connect_refused",
            Self::NoPath => "no_path",
            Self::Broken => "broken",
            Self::TunnelLost => "tunnel_lost",
            Self::Silent => "silent",
            Self::RequestRefused => "turned_away",
            Self::Failed => "failed",
        }
    }
}

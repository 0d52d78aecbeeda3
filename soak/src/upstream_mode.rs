//! The ways in which a stand-in for an upstream can fail.

use std::time::Duration;

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamMode {
    /// The upstream responds correctly.
    #[default]
    Healthy,
    /// The upstream has crashed: its connections are reset and new ones are refused.
    Down,
    /// The upstream accepts connections but sends nothing.
    Unresponsive,
    /// The upstream starts each response later by this duration.
    Slow(Duration),
    /// The upstream runs no requests and reports each as not run.
    RejectsRequests,
    /// The upstream runs requests but breaks the connection before the response starts.
    DropsResponses,
    /// The upstream breaks the connection in the middle of each response.
    TruncatesResponses,
    /// The upstream runs requests and responds with status 500.
    RespondsWithError,
    /// The upstream runs requests, but its responses name another request than the one that was
    /// sent.
    NamesOtherRequest,
}

impl UpstreamMode {
    /// Whether the upstream completes its responses without errors, however late.
    pub(crate) fn is_sound(self) -> bool {
        matches!(self, Self::Healthy | Self::Unresponsive | Self::Slow(_))
    }
}

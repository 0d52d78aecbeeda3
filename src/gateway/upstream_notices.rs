//! What upstreams state about themselves in the heads of their responses.

use std::time::Duration;

use crate::gateway::AdvertisedLimit;
use crate::gateway::Stated;

/// What an upstream states about itself in the head of a response, whatever the response answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamNotices {
    /// The limit on requests per second that the upstream advertises.
    pub limit: AdvertisedLimit,
    /// Whether the upstream states that it is leaving. It never takes this back.
    pub leaving: Stated<()>,
    /// For how long the upstream, which has refused a request, wants no requests from this host.
    pub backoff: Stated<Duration>,
}

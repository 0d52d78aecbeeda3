//! The upstreams that a request is granted.

use std::time::Duration;

use crate::units::UpstreamId;

/// The upstreams that a request is granted, leader first, with the forecast for the grant.
pub(super) struct Assignment {
    pub(super) upstreams: Vec<UpstreamId>,
    /// Expected prefill at each upstream, in tokens.
    pub(super) prefill_tokens: f64,
    /// Expected time from the grant to the end of the answer.
    pub(super) expected: Duration,
    /// The reason for the choice, for the explanation of the request.
    pub(super) why: &'static str,
}

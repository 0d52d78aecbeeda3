//! Requests to upstreams.

use std::time::Duration;

use bytes::Bytes;

use crate::units::AttemptId;
use crate::units::HostId;
use crate::units::Priority;
use crate::units::UpstreamId;

/// A request body in the chunks in which it was received. Cloning copies no bytes.
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    /// The chunks in order.
    pub chunks: Vec<Bytes>,
}

impl RequestBody {
    /// The length of the body, in bytes.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An attempt to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The id of the attempt at the upstream: the number of the grant that the attempt consumes.
    pub attempt: AttemptId,
    /// The host that sends the attempt and reads the response.
    pub host: HostId,
    /// The HTTP method.
    pub method: String,
    /// The path at the upstream, such as `/v1/completions`.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body as the caller sent it.
    pub body: RequestBody,
    /// The priority at the engine.
    pub priority: Priority,
    /// The remaining time, after which the engine ends the attempt.
    pub remaining: Duration,
    /// The engines that hold the prompt together, the receiver first; empty for a single engine.
    pub gang: Vec<UpstreamId>,
    /// Whether the request is a model call, whose response is a stream of tokens.
    pub is_model: bool,
}

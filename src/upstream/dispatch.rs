//! What is sent to an upstream.

use std::time::Duration;

use bytes::Bytes;

use crate::units::AttemptId;
use crate::units::HostId;
use crate::units::Priority;
use crate::units::UpstreamId;

/// A request body in the pieces it arrived in; a clone costs reference counts only.
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    /// The pieces in order.
    pub chunks: Vec<Bytes>,
}

impl RequestBody {
    /// The length of all pieces.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }

    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// One attempt, ready to be sent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The id that the upstream knows the attempt by: the number of the grant it uses up.
    pub attempt: AttemptId,
    /// The host that dispatches and reads the answer.
    pub host: HostId,
    /// The HTTP method.
    pub method: String,
    /// The path at the upstream, such as `/v1/completions`.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body as the caller sent it.
    pub body: RequestBody,
    /// The rank at the engine.
    pub priority: Priority,
    /// The time that remains, which the engine ends the attempt by.
    pub remaining: Duration,
    /// The engines that hold the prompt together, this one first; empty for a single engine.
    pub gang: Vec<UpstreamId>,
    /// Whether the body is a model call whose answer is a stream of tokens.
    pub is_model: bool,
}

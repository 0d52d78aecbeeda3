//! The interface to the headers of callers and upstreams. The adapter of a platform knows the names
//! of the headers; here their values are typed.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;

use crate::gateway::UpstreamNotices;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::PromptPartId;
use crate::units::Tokens;
use crate::units::UpstreamName;

/// What a caller's request head contains besides method, path and host: the attempt id, the time
/// limit, the key, the lengths of prompt and output in tokens, the last event received, and the parts
/// of the prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's id of this attempt; empty if none was given.
    pub request: String,
    /// How long the caller will wait; none if the caller states no limit.
    pub deadline: Option<Duration>,
    /// The secret key of the customer, if given.
    pub key: Option<String>,
    /// The length of the prompt in tokens.
    pub prompt: Tokens,
    /// The maximum length of the response in tokens.
    pub output: Tokens,
    /// The id of the last event of an earlier response that the caller has received.
    pub last_event: Option<String>,
    /// The parts of the prompt that other requests may share, in the order of the prompt. Empty if
    /// there are none or they are unknown.
    pub shared_parts: Vec<PromptPartId>,
}

/// What the head of a call that is forwarded to an upstream contains besides the caller's headers.
#[derive(Clone, Debug)]
pub struct ForwardHead<'a> {
    /// The intended upstream. A different upstream at its address must refuse the call.
    pub upstream: &'a UpstreamName,
    /// The time left until the caller's deadline.
    pub time_left: Duration,
    /// The customer of the request; none on public routes.
    pub customer: Option<&'a CustomerId>,
    /// The priority at an engine; none if the upstream is no engine or the manifest lists none.
    pub priority: Option<Priority>,
    /// The engines that prefill parts of the prompt.
    pub helpers: &'a [HelperAddr],
    /// The id of the last event that the caller has received, if the stream is to be resumed after
    /// it.
    pub last_event: Option<&'a str>,
}

/// An engine that prefills a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperAddr {
    /// The address of the engine.
    pub addr: SocketAddr,
    /// The name of the memory reservation that holds the part. Without one the leader holds the
    /// part.
    pub reservation: Option<String>,
}

/// What an upstream's response head contains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Whether the response carries the upstream's signature. A response without it must not be
    /// forwarded as a success.
    pub is_signed: bool,
    /// Whether the response states that the request did not run and will not run.
    pub did_not_run: bool,
    /// Whether the response belongs to the request that was sent.
    pub is_for_request: bool,
    /// The upstream that the refusal is about, if this is not the one the call was sent to.
    pub at_fault: Option<SocketAddr>,
    /// What the upstream states about itself.
    pub notices: UpstreamNotices,
}

/// A header of a caller that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidHeader {
    /// The name of the header.
    pub header: &'static str,
    /// What is wrong with the value.
    pub problem: String,
}

/// Parses and writes the headers of one platform.
pub trait HeaderCodec: Send + Sync {
    /// Parses a caller's request head.
    fn read_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, InvalidHeader>;

    /// Builds the headers for an upstream: the caller's headers, without those that belong to one
    /// connection or that only this system may set.
    fn send_headers(&self, caller: &HeaderMap, head: &ForwardHead<'_>) -> HeaderMap;

    /// Parses an upstream's response head. `request` is the id that was sent.
    fn read_response_head(
        &self,
        request: &str,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHead;

    /// Whether the name of a header in an upstream's response is known to this system, be it that
    /// the header is read, or that it is left to the caller.
    fn is_known_response_header(&self, name: &HeaderName) -> bool;

    /// Adds the caller's request id to a response that this host generated itself.
    fn mark_local_response(&self, request: &str, headers: &mut HeaderMap);
}

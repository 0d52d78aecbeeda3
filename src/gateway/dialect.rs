//! The headers of callers and upstreams, as an interface. The adapter of a platform knows their
//! names; here they are typed.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::gateway::AdvertisedLimit;
use crate::units::CustomerId;
use crate::units::Tokens;
use crate::units::UpstreamName;

/// What a caller's head says beyond method, path and host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's id of this attempt; empty if it gave none.
    pub request: String,
    /// How long it will wait.
    pub deadline: Option<Duration>,
    /// Its secret key.
    pub key: Option<String>,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// The longest answer.
    pub output: Tokens,
    /// The last event that it has of an earlier answer.
    pub last_event: Option<String>,
}

/// One send of a call to an upstream.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// The upstream that is meant: another one at its address has to refuse.
    pub upstream: &'a UpstreamName,
    /// What is left of the caller's time.
    pub time_left: Duration,
    /// Whose request it is.
    pub customer: Option<&'a CustomerId>,
    /// The engines that read parts of the prompt.
    pub helpers: &'a [HelperAddr],
    /// The last event that the caller has, if the stream is to go on after it.
    pub last_event: Option<&'a str>,
}

/// An engine that reads a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperAddr {
    /// Its address.
    pub addr: SocketAddr,
    /// The reservation of its memory that keeps the part; without one the first engine keeps it.
    pub reservation: Option<String>,
}

/// What an upstream's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether it carries the upstream's signature. Without it, it is not an answer to be passed on
    /// as a success.
    pub is_signed: bool,
    /// Whether it says that the request did not run and will not.
    pub did_not_run: bool,
    /// Whether it belongs to the request that was sent.
    pub is_for_request: bool,
    /// The upstream that the refusal is about, if it is another than the one that was asked.
    pub at_fault: Option<SocketAddr>,
    /// What it says of the requests a second that the upstream takes.
    pub limit: AdvertisedLimit,
}

/// Why a caller's head can't be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadHead {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

/// Reads and writes the headers of one platform.
pub trait Dialect: Send + Sync {
    /// Reads a caller's head.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, BadHead>;

    /// The head of a send: the caller's headers, without those that belong to one connection or
    /// that only this system may set.
    fn send_headers(&self, caller: &HeaderMap, head: &SendHead<'_>) -> HeaderMap;

    /// Reads an upstream's head. `request` is the id that was sent.
    fn read_answer(&self, request: &str, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Marks an answer of this host's own with the caller's id of the request.
    fn mark_own(&self, request: &str, headers: &mut HeaderMap);
}

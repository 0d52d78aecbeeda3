//! The explanation of a request: the decisions and events in its course.

use std::borrow::Cow;

use serde::Serialize;

use crate::units::RequestId;

/// One decision or event in the course of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Step {
    /// The wall clock time of this host, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The time since the first recorded step of the request, in milliseconds.
    pub elapsed_ms: u64,
    /// The kind of the step.
    pub what: StepKind,
    /// The upstream or host that the step concerns; empty if there is none.
    pub place: String,
    /// The reason for the step.
    pub why: Cow<'static, str>,
}

/// The kind of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// The request arrived and was parsed.
    Received,
    /// A home was asked for a grant of upstreams.
    Asked,
    /// The home granted upstreams to the request.
    Granted,
    /// The request was refused.
    Refused,
    /// The claim of the request's idempotency key was recorded, or another request held it already.
    Claimed,
    /// The request was sent to an upstream.
    Dispatched,
    /// The first token of the answer arrived.
    FirstToken,
    /// An attempt failed and another one follows.
    Retried,
    /// An interrupted stream was resumed.
    Resumed,
    /// An attempt was cancelled at its upstream.
    Cancelled,
    /// The request ended.
    Ended,
}

/// The recorded steps of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Explanation {
    /// The id of the request.
    pub request_id: RequestId,
    /// The steps, in the order in which they happened.
    pub steps: Vec<Step>,
    /// The number of steps that were removed to keep within the limit per request.
    pub left_out: u64,
}

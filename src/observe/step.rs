//! What was decided for a request.

use std::borrow::Cow;

use serde::Serialize;

use crate::units::RequestId;

/// One thing that was decided for, or happened to, a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Step {
    /// The time of day on this host's clock, in milliseconds since 1970.
    pub wall_ms: u64,
    /// The time since the request's first step.
    pub elapsed_ms: u64,
    /// What.
    pub what: StepKind,
    /// The upstream or host that it concerns; empty if none.
    pub place: String,
    /// Why.
    pub why: Cow<'static, str>,
}

/// The kinds of steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// It arrived and was understood.
    Received,
    /// A home was asked for a grant.
    Asked,
    /// It was granted upstreams.
    Granted,
    /// It was turned away.
    Refused,
    /// Its claim was recorded, or found to be another's.
    Claimed,
    /// It was sent to an upstream.
    Dispatched,
    /// The first token came.
    FirstToken,
    /// An attempt failed and another follows.
    Retried,
    /// A stream that broke was taken up again.
    Resumed,
    /// An attempt was cancelled at its upstream.
    Cancelled,
    /// It ended.
    Ended,
}

/// All that is known of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Explanation {
    /// The request.
    pub request_id: RequestId,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// Steps that were left out since there were too many.
    pub left_out: u64,
}

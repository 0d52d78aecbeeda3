//! How a request ended, as its caller is told.

use hyper::StatusCode;

use crate::control::outcome::Outcome;
use crate::decide::RefuseReason;

/// The three outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller has the whole answer.
    Completed,
    /// It truly did not run.
    NotRun(FailureReason),
    /// It may have run, wholly or in part.
    MayHaveRun(FailureReason),
}

impl RequestOutcome {
    /// The outcome as headers and bodies give it.
    pub fn kind(self) -> Outcome {
        match self {
            Self::Completed => Outcome::Completed,
            Self::NotRun(_) => Outcome::NotRun,
            Self::MayHaveRun(_) => Outcome::MayHaveRun,
        }
    }

    /// The reason as one word; `ok` when it completed.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Completed => "ok",
            Self::NotRun(reason) | Self::MayHaveRun(reason) => reason.name(),
        }
    }

    /// The HTTP status, when no other has been sent.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Completed => StatusCode::OK,
            Self::NotRun(reason) | Self::MayHaveRun(reason) => reason.status(),
        }
    }
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The request itself is wrong.
    BadRequest,
    /// Nothing of that name is in the manifest.
    UnknownTarget,
    /// The customer is unknown, or may not name that priority.
    Forbidden,
    /// The head is larger than any client library sends.
    HeadTooLarge,
    /// The body is larger than the manifest allows.
    BodyTooLarge,
    /// The method or path is not served.
    NotServed,
    /// The host has no memory left for the body.
    BodyMemory,
    /// The host knows no manifest yet.
    NotReady,
    /// The host is shutting down.
    Draining,
    /// A home turned it away.
    Refused(RefuseReason),
    /// The key was used for another request.
    KeyReused,
    /// A sending of the same key may have run, and its answer is gone.
    KeyMayHaveRun,
    /// An upstream failed it.
    UpstreamFailed,
    /// An upstream sent what is not its answer.
    UpstreamInvalidResponse,
    /// The time limit came.
    DeadlineExceeded,
}

impl FailureReason {
    /// The reason as one word for headers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownTarget => "unknown_target",
            Self::Forbidden => "forbidden",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NotServed => "not_served",
            Self::BodyMemory => "body_memory",
            Self::NotReady => "not_ready",
            Self::Draining => "draining",
            Self::Refused(reason) => reason.name(),
            Self::KeyReused => "key_reused",
            Self::KeyMayHaveRun => "key_may_have_run",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamInvalidResponse => "upstream_garbled",
            Self::DeadlineExceeded => "time_up",
        }
    }

    /// The HTTP status of a failure for this reason.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownTarget | Self::NotServed => StatusCode::NOT_FOUND,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused | Self::Refused(RefuseReason::Poison) => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::Refused(RefuseReason::CustomerLimit) => StatusCode::TOO_MANY_REQUESTS,
            Self::Refused(RefuseReason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Refused(_) | Self::BodyMemory | Self::NotReady | Self::Draining => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::KeyMayHaveRun => StatusCode::CONFLICT,
            Self::UpstreamFailed | Self::UpstreamInvalidResponse => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

//! The outcome of a request as its caller is told, with the reason for a failure.

use hyper::StatusCode;

use crate::control::outcome::Outcome;
use crate::decide::RefuseReason;

/// The outcome of a request, with the reason for a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete.
    Completed,
    /// The request certainly did not run.
    NotRun(FailureReason),
    /// The request may have run, completely or in part.
    MayHaveRun(FailureReason),
}

impl RequestOutcome {
    /// The outcome without its reason, as headers and bodies state it.
    pub fn kind(self) -> Outcome {
        match self {
            Self::Completed => Outcome::Completed,
            Self::NotRun(_) => Outcome::NotRun,
            Self::MayHaveRun(_) => Outcome::MayHaveRun,
        }
    }

    /// The name of the reason; `ok` for a completed request.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Completed => "ok",
            Self::NotRun(reason) | Self::MayHaveRun(reason) => reason.name(),
        }
    }

    /// The HTTP status for the outcome. It applies only if no status has been sent before.
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
    /// The request is malformed.
    BadRequest,
    /// The manifest has no model of the given name.
    UnknownTarget,
    /// The customer is unknown, or may not use the requested priority.
    Forbidden,
    /// The head exceeds the size limit.
    HeadTooLarge,
    /// The body, or prompt and output together, are larger than the manifest allows.
    BodyTooLarge,
    /// No model API or service accepts the method and path.
    NotServed,
    /// The host's memory budget for bodies is used up.
    BodyMemory,
    /// The host has no manifest yet.
    NotReady,
    /// The host is shutting down.
    Draining,
    /// A home refused the request, or an equivalent check on this host did.
    Refused(RefuseReason),
    /// The idempotency key was used before for a request with other content.
    KeyReused,
    /// An earlier request with the same key may have run, and its response is not available.
    KeyMayHaveRun,
    /// The last attempt failed at its upstream.
    UpstreamFailed,
    /// An upstream sent something that is not a response to the last attempt.
    UpstreamInvalidResponse,
    /// The time limit passed.
    DeadlineExceeded,
}

impl FailureReason {
    /// The name of the reason in bodies, metrics and logs.
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

    /// The HTTP status for a failure with this reason.
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

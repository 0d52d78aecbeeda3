//! The error responses that a host generates itself in place of an upstream.

use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crate::decide::RefuseReason;
use crate::gateway::ResponseBody;

/// The time after which a caller should retry when this host has no manifest or an outdated view of
/// the platform. Another host can serve the request at once.
const RETRY_AFTER_HOST: Duration = Duration::from_millis(200);

/// Why a request receives no response of an upstream. The status tells whether the request may have
/// run: 4xx and 503 guarantee that it has not run and never will.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// This host has not read a manifest yet.
    NoManifest,
    /// This host is shutting down.
    Stopping,
    /// The view of the platform on this host is too old to serve requests with keys or to reject
    /// other requests.
    StaleKnowledge,
    /// The request head is invalid.
    InvalidHead(String),
    /// No route matches the host name and path.
    NoRoute,
    /// The key is missing or belongs to no customer.
    UnknownKey,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive in time, or broke off.
    BodyLate,
    /// This host holds as many bytes of bodies as it may.
    NoMemory,
    /// The request cannot be served now.
    Overload {
        /// The reason.
        reason: RefuseReason,
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
    /// The deadline passed before the request was sent to any upstream.
    DeadlineExceededNotRun,
    /// The deadline passed, and the request may have run.
    DeadlineExceeded,
    /// The request may have run, and no response of an upstream is available.
    OutcomeUnknown,
}

impl CallRefusal {
    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidHead(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::NoManifest
            | Self::NoMemory
            | Self::Stopping
            | Self::StaleKnowledge
            | Self::Overload { .. }
            | Self::DeadlineExceededNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// The name of the reason in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NoManifest => "no_manifest",
            Self::Stopping => "stopping",
            Self::StaleKnowledge => "stale_knowledge",
            Self::InvalidHead(_) => "bad_head",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyLate => "body_late",
            Self::NoMemory => "no_memory",
            Self::Overload { reason, .. } => reason.name(),
            Self::DeadlineExceededNotRun => "time_up_not_run",
            Self::DeadlineExceeded => "time_up",
            Self::OutcomeUnknown => "unknown",
        }
    }

    /// The time after which the caller should retry; none if a retry cannot help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoManifest | Self::NoMemory | Self::Stopping | Self::StaleKnowledge => {
                Some(RETRY_AFTER_HOST)
            }
            Self::Overload { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// The response for the caller, with the reason as its text and the time to wait as
    /// `Retry-After` in seconds.
    pub fn response(&self) -> Response<ResponseBody> {
        let text = match self {
            Self::InvalidHead(problem) => format!("{}: {problem}\n", self.name()),
            _ => format!("{}\n", self.name()),
        };
        let mut res = Response::new(ResponseBody::full(text));
        *res.status_mut() = self.status();
        if let Some(after) = self.retry_after() {
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                res.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        res
    }
}

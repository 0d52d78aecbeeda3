//! The answers that a host gives in place of an upstream.

use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crate::decide::RefuseReason;
use crate::gateway::ResponseBody;

/// When to come back to a host that knows no manifest, or whose knowledge is too old: another host
/// can serve the request right away.
const RETRY_AFTER_HOST: Duration = Duration::from_millis(200);

/// Why a request gets no answer of an upstream. The status says whether it may have run: 4xx and 503
/// promise that it has not and never will.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRefusal {
    /// This host has not read a manifest yet.
    NoManifest,
    /// This host stops.
    Stopping,
    /// What this host knows is too old to serve requests with keys, or to reject others.
    StaleKnowledge,
    /// The head can't be understood.
    InvalidHead(String),
    /// No route has this host name and path.
    NoRoute,
    /// The key is missing or nobody's.
    UnknownKey,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not come in time, or broke off.
    BodyLate,
    /// It can't be served now.
    Overload {
        /// Why.
        reason: RefuseReason,
        /// When it can.
        retry_after: Duration,
    },
    /// Its time ran out before it was sent anywhere.
    DeadlineExceededNotRun,
    /// Its time ran out, and it may have run.
    DeadlineExceeded,
    /// It may have run, and no upstream's answer can be had.
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
            | Self::Stopping
            | Self::StaleKnowledge
            | Self::Overload { .. }
            | Self::DeadlineExceededNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// The reason as one word for logs and metrics.
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
            Self::Overload { reason, .. } => reason.name(),
            Self::DeadlineExceededNotRun => "time_up_not_run",
            Self::DeadlineExceeded => "time_up",
            Self::OutcomeUnknown => "unknown",
        }
    }

    /// When the caller should come back, where that helps.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoManifest | Self::Stopping | Self::StaleKnowledge => Some(RETRY_AFTER_HOST),
            Self::Overload { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// The answer.
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

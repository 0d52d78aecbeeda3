//! The error type of the setup of logs and metrics.

use std::error::Error;
use std::fmt;

/// A failure to set up or to render logs or metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObserveError {
    /// The log level is unknown.
    LogLevel(String),
    /// The logger can't be installed, for example because the process has one already.
    Logger(String),
    /// The metrics exporter can't be built, or the metrics can't be rendered.
    Metrics(String),
}

impl fmt::Display for ObserveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LogLevel(level) => write!(f, "logs: unknown level: {level}"),
            Self::Logger(why) => write!(f, "logs: {why}"),
            Self::Metrics(why) => write!(f, "metrics: {why}"),
        }
    }
}

impl Error for ObserveError {}

impl From<log::ParseLevelError> for ObserveError {
    fn from(error: log::ParseLevelError) -> Self {
        Self::LogLevel(error.to_string())
    }
}

impl From<prometheus::Error> for ObserveError {
    fn from(error: prometheus::Error) -> Self {
        Self::Metrics(error.to_string())
    }
}

impl From<opentelemetry_sdk::error::OTelSdkError> for ObserveError {
    fn from(error: opentelemetry_sdk::error::OTelSdkError) -> Self {
        Self::Metrics(error.to_string())
    }
}

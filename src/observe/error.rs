//! What can fail when observation is set up.

use std::error::Error;
use std::fmt;

/// Why logs or metrics could not be set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObserveError {
    /// The log level is no level.
    LogLevel(String),
    /// A logger has been set before.
    Logger(String),
    /// The metrics exporter can't be built.
    Metrics(String),
}

impl fmt::Display for ObserveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LogLevel(level) => write!(f, "logs: `{level}` is no level"),
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

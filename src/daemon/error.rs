//! Errors that keep a daemon from starting.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::observe::ObserveError;
use crate::settings::SettingsErrors;

/// An error that keeps a daemon from starting.
#[derive(Debug)]
pub enum DaemonError {
    /// The settings are invalid.
    Settings(SettingsErrors),
    /// An address could not be bound.
    Bind {
        /// The listener's field in the settings.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Logs or metrics could not be set up.
    Observe(ObserveError),
    /// The runtime or signals could not be set up.
    Io(io::Error),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(errors) => errors.fmt(f),
            Self::Bind {
                field,
                addr,
                source,
            } => {
                write!(
                    f,
                    "settings field {field}: cannot listen on {addr}: {source}"
                )
            }
            Self::Observe(err) => err.fmt(f),
            Self::Io(err) => err.fmt(f),
        }
    }
}

impl Error for DaemonError {}

impl From<SettingsErrors> for DaemonError {
    fn from(errors: SettingsErrors) -> Self {
        Self::Settings(errors)
    }
}

impl From<ObserveError> for DaemonError {
    fn from(err: ObserveError) -> Self {
        Self::Observe(err)
    }
}

impl From<io::Error> for DaemonError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

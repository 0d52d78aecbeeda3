//! Errors that prevent a gateway from starting or end it.

use std::fmt;
use std::io;

use crate::observe::ObserveError;

/// An error that prevents a gateway from starting, or ends it.
#[derive(Debug)]
pub enum GatewayError {
    /// An address cannot be bound: the purpose of the address, and the error.
    Bind(&'static str, io::Error),
    /// The metrics cannot be set up.
    Observe(ObserveError),
    /// The signal handler cannot be installed.
    Signal(io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(purpose, err) => write!(f, "cannot listen for {purpose}: {err}"),
            Self::Observe(err) => write!(f, "cannot set up metrics: {err}"),
            Self::Signal(err) => write!(f, "cannot wait for signals: {err}"),
        }
    }
}

impl std::error::Error for GatewayError {}

impl From<ObserveError> for GatewayError {
    fn from(err: ObserveError) -> Self {
        Self::Observe(err)
    }
}

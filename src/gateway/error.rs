//! Why a gateway can't start or go on.

use std::fmt;
use std::io;

use crate::observe::ObserveError;

/// What ends a gateway.
#[derive(Debug)]
pub enum GatewayError {
    /// An address can't be bound; which one, and why.
    Bind(&'static str, io::Error),
    /// Metrics can't be set up.
    Observe(ObserveError),
    /// A signal can't be waited for.
    Signal(io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(what, err) => write!(f, "cannot listen for {what}: {err}"),
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

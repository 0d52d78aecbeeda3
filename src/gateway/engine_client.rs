//! Orders to engines, as an interface.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::units::Slowdown;
use crate::units::Tokens;

/// Why an engine did not carry out an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineClientError {
    /// It can't: the memory is not free, or it knows no such order.
    Refused(String),
    /// No answer came; it may have been carried out, or may still be.
    NoAnswer(String),
}

impl fmt::Display for EngineClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer: {why}"),
        }
    }
}

impl std::error::Error for EngineClientError {}

/// What an engine says of itself, some hundred ms late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineReport {
    /// How much slower than its model it works.
    pub slowdown: Slowdown,
}

/// Orders about engines' memory, and questions to engines.
pub trait EngineClient: Send + Sync {
    /// Sets memory aside under a name for `hold` from the order's arrival on, or renews it. The
    /// memory is free at once or the order is refused.
    fn reserve<'a>(
        &'a self,
        engine: SocketAddr,
        name: &'a str,
        tokens: Tokens,
        hold: Duration,
    ) -> BoxFuture<'a, Result<(), EngineClientError>>;

    /// Asks an engine how it does.
    fn report(&self, engine: SocketAddr) -> BoxFuture<'_, Result<EngineReport, EngineClientError>>;

    /// Gives it back.
    fn release<'a>(
        &'a self,
        engine: SocketAddr,
        name: &'a str,
    ) -> BoxFuture<'a, Result<(), EngineClientError>>;
}

//! The interface through which a gateway sends orders and report requests to engines.

use std::fmt;
use std::time::Duration;

use futures_util::future::BoxFuture;

use crate::gateway::EngineAnswer;
use crate::gateway::EngineEndpoint;
use crate::units::Slowdown;
use crate::units::Tokens;

/// Why an engine did not carry out an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineClientError {
    /// The engine refused the order: the memory is not free, or the engine does not know the order.
    Refused(String),
    /// No response arrived; the order may have been carried out, or may still be.
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

/// An engine's report on its own speed, some hundred milliseconds old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineReport {
    /// How much slower the engine works than its model predicts.
    pub slowdown: Slowdown,
}

/// Sends orders to reserve the memory of engines, and requests for reports on their speed.
pub trait EngineClient: Send + Sync {
    /// Reserves memory under a name for `hold`, counted from the arrival of the order, or renews
    /// the reservation of that name. An engine whose memory is not free refuses the order at once.
    fn reserve<'a>(
        &'a self,
        engine: EngineEndpoint<'a>,
        name: &'a str,
        tokens: Tokens,
        hold: Duration,
    ) -> BoxFuture<'a, EngineAnswer<()>>;

    /// Requests a report from an engine.
    fn report<'a>(
        &'a self,
        engine: EngineEndpoint<'a>,
    ) -> BoxFuture<'a, EngineAnswer<EngineReport>>;

    /// Releases the reservation with this name.
    fn release<'a>(
        &'a self,
        engine: EngineEndpoint<'a>,
        name: &'a str,
    ) -> BoxFuture<'a, EngineAnswer<()>>;
}

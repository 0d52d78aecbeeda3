//! A request that waits.

use std::time::Instant;

use crate::decide::Work;
use crate::units::CustomerId;
use crate::units::Tokens;

/// A request in a queue, with what the decisions have worked out for it.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request.
    pub work: Work,
    /// The account that it is charged to: its customer, or the one that stands for all that are not
    /// listed.
    pub account: CustomerId,
    /// The account's weight.
    pub share: u32,
    /// The prompt's length, corrected by what engines counted for this account.
    pub prompt_tokens: Tokens,
    /// The answer's length that is to be expected.
    pub output_tokens: Tokens,
    /// When it came.
    pub since: Instant,
}

impl QueuedRequest {
    /// What it costs its account: the tokens that an engine works on for it.
    pub fn cost(&self) -> f64 {
        (self.prompt_tokens + self.output_tokens).as_f64().max(1.0)
    }

    /// The engine memory to hold for it. The answer may be as long as the caller allowed.
    pub fn memory_tokens(&self) -> Tokens {
        self.prompt_tokens + self.work.output_tokens
    }

    /// Whether an upstream failed it before, so that it may be what made it fail.
    pub fn is_suspect(&self) -> bool {
        !self.work.avoid.is_empty()
    }
}

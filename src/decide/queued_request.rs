//! A queued request.

use std::time::Instant;

use crate::decide::QueueEntry;
use crate::decide::Work;
use crate::units::CustomerId;
use crate::units::Priority;
use crate::units::RequestId;
use crate::units::Tokens;

/// A request in a queue, with the estimates that decisions need.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request as submitted.
    pub work: Work,
    /// The account that the request is charged to: its customer, or the common account of all
    /// customers that are not listed.
    pub account: CustomerId,
    /// The weight of the account.
    pub share: u32,
    /// The prompt length, corrected by the lengths that engines counted for this account.
    pub prompt_tokens: Tokens,
    /// The expected length of the answer.
    pub output_tokens: Tokens,
    /// The time at which the request was submitted.
    pub since: Instant,
}

impl QueuedRequest {
    /// The engine memory to hold for the request. The answer may be as long as the caller allowed.
    pub fn memory_tokens(&self) -> Tokens {
        self.prompt_tokens + self.work.output_tokens
    }

    /// Whether the request failed on an upstream before, so that it may have caused the failure.
    pub fn is_suspect(&self) -> bool {
        !self.work.avoid.is_empty()
    }
}

impl QueueEntry for QueuedRequest {
    fn request(&self) -> RequestId {
        self.work.request
    }

    fn priority(&self) -> Priority {
        self.work.priority
    }

    fn account(&self) -> &CustomerId {
        &self.account
    }

    fn share(&self) -> u32 {
        self.share
    }

    fn deadline(&self) -> Instant {
        self.work.deadline
    }

    /// The tokens that an engine processes for the request.
    fn cost(&self) -> f64 {
        (self.prompt_tokens + self.output_tokens).as_f64().max(1.0)
    }
}

//! Whether a request may have run.

use crate::control::outcome::Outcome;
use crate::upstream::UpstreamError;

/// What may be done after an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Another attempt does not run the request a second time, or may do so.
    RetryAllowed,
    /// The request may have run and must not run twice: tell the caller.
    RetryForbidden,
}

/// Remembers whether one request may have run, over all its attempts.
///
/// The failure this guards against: a caller is told "not run", sends its licence grant again, and
/// two are issued. So a request counts as run from right before its first byte leaves until an
/// upstream's error proves the contrary, and what was once uncertain never becomes certain again: a
/// task that ends in between leaves "may have run" behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTracker {
    is_repeatable: bool,
    is_in_flight: bool,
    may_have_run: bool,
    is_complete: bool,
}

impl RunTracker {
    /// A request that was not sent to any upstream yet.
    pub fn new(is_repeatable: bool) -> Self {
        Self {
            is_repeatable,
            is_in_flight: false,
            may_have_run: false,
            is_complete: false,
        }
    }

    /// To be called right before an attempt is given to an upstream.
    pub fn on_send(&mut self) {
        self.is_in_flight = true;
    }

    /// The upstream has begun to answer, so it is running the request.
    pub fn on_response_start(&mut self) {
        self.may_have_run = true;
    }

    /// The whole answer has gone to the caller.
    pub fn on_completed(&mut self) {
        self.is_in_flight = false;
        self.may_have_run = true;
        self.is_complete = true;
    }

    /// An attempt, or resuming one, failed. An error that shows that nothing ran says so of this
    /// sending only: what was in doubt before stays in doubt.
    pub fn on_failure(&mut self, error: &UpstreamError) -> AfterFailure {
        self.on_attempt_ended(error.did_not_run())
    }

    /// An attempt ended without its whole answer.
    pub fn on_attempt_ended(&mut self, did_not_run: bool) -> AfterFailure {
        if !did_not_run {
            self.may_have_run = true;
        }
        self.is_in_flight = false;
        if self.is_repeatable || !self.may_have_run {
            AfterFailure::RetryAllowed
        } else {
            AfterFailure::RetryForbidden
        }
    }

    /// What the caller is to be told if the request ended now.
    pub fn outcome(&self) -> Outcome {
        match (self.is_complete, self.may_have_run || self.is_in_flight) {
            (true, _) => Outcome::Completed,
            (false, true) => Outcome::MayHaveRun,
            (false, false) => Outcome::NotRun,
        }
    }
}

//! Tracking whether a request may have run.

use crate::control::outcome::Outcome;
use crate::upstream::UpstreamError;

/// Whether a request may be retried after an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// A retry is allowed: the request has certainly not run, or may run twice.
    RetryAllowed,
    /// A retry is forbidden: the request may have run and must not run twice. The caller has to be
    /// told.
    RetryForbidden,
}

/// Tracks whether one request may have run, over all its attempts.
///
/// The failure this guards against: a caller is told "not run" although its request ran, sends it
/// again, and the request takes effect twice, such as a licence grant that is issued twice. A
/// request therefore counts as possibly run from right before its first byte is sent until an error
/// of the upstream proves that it did not run, and uncertainty about an earlier attempt is never
/// resolved by a later one. A task that is dropped in between leaves the outcome "may have run".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTracker {
    /// Whether the request may run twice.
    is_repeatable: bool,
    /// Whether an attempt was sent and has not ended.
    is_in_flight: bool,
    may_have_run: bool,
    is_complete: bool,
}

impl RunTracker {
    /// Tracks a request that was not sent to any upstream yet. `is_repeatable` if it may run twice.
    pub fn new(is_repeatable: bool) -> Self {
        Self {
            is_repeatable,
            is_in_flight: false,
            may_have_run: false,
            is_complete: false,
        }
    }

    /// Records that an attempt is sent: until it fails or completes, the outcome is "may have run".
    /// To be called right before the attempt is given to an upstream.
    pub fn on_send(&mut self) {
        self.is_in_flight = true;
    }

    /// Records that the upstream has started to answer, so it is running the request.
    pub fn on_response_start(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the whole answer has gone to the caller.
    pub fn on_completed(&mut self) {
        self.is_in_flight = false;
        self.may_have_run = true;
        self.is_complete = true;
    }

    /// Records that an attempt, or resuming one, failed. An error that proves that nothing ran
    /// holds for this attempt only; uncertainty about earlier ones remains.
    pub fn on_failure(&mut self, error: &UpstreamError) -> AfterFailure {
        self.on_attempt_ended(error.did_not_run())
    }

    /// Records that an attempt ended without its whole answer; `did_not_run` if it certainly did
    /// not run.
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

    /// The outcome to report if the request ended now.
    pub fn outcome(&self) -> Outcome {
        match (self.is_complete, self.may_have_run || self.is_in_flight) {
            (true, _) => Outcome::Completed,
            (false, true) => Outcome::MayHaveRun,
            (false, false) => Outcome::NotRun,
        }
    }
}

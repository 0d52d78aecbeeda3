//! Handles the failures of attempts.

use std::time::Duration;

use log::info;

use crate::decide::AttemptOutcome;
use crate::entry::AttemptFailure;
use crate::entry::LifecycleEvent;
use crate::entry::classify_failure;
use crate::entry::driver::Driver;
use crate::observe::StepKind;
use crate::upstream::UpstreamError;

/// An attempt that fails this close to the deadline is considered to have failed because of it.
const NEAR_DEADLINE: Duration = Duration::from_millis(100);

impl Driver<'_> {
    /// Records the failure of an attempt, and releases the attempt unless it can be resumed.
    pub(super) async fn on_attempt_failure(&mut self, err: UpstreamError) -> LifecycleEvent {
        let failure = classify_failure(&err);
        // A silent upstream is asked again and again, and is recorded once.
        if failure != AttemptFailure::Silent || self.silences == 0 {
            self.record_failure(failure, &err);
        }
        self.message = err.to_string();
        if let UpstreamError::Refused { retry_after, .. } = &err {
            self.retry_after = *retry_after;
        }
        match failure {
            AttemptFailure::DidNotRun => {
                let is_refusal = matches!(err, UpstreamError::Refused { .. });
                self.release_unsent(if is_refusal {
                    AttemptOutcome::Refused
                } else {
                    AttemptOutcome::NotSent
                });
            }
            AttemptFailure::Interrupted | AttemptFailure::Silent => {}
            AttemptFailure::Lost | AttemptFailure::InvalidResponse => {
                self.end_attempt(AttemptOutcome::Failed);
            }
        }
        self.last_error = Some(err);
        if failure != AttemptFailure::DidNotRun && self.is_near_deadline() {
            return LifecycleEvent::DeadlineExceeded;
        }
        LifecycleEvent::AttemptFailed(failure)
    }

    fn record_failure(&self, failure: AttemptFailure, err: &UpstreamError) {
        info!(
            "entry: an attempt of request {} failed: {err}",
            self.job.request
        );
        let step = match failure {
            AttemptFailure::Interrupted | AttemptFailure::Silent => StepKind::Resumed,
            _ => StepKind::Retried,
        };
        self.record_step(step, self.leader(), err.to_string());
    }

    /// Whether the deadline is so close that a failure counts as a timeout. Engines end an attempt
    /// at the same time limit as this host; whichever is first, the caller is told that the time
    /// ran out, and not that the engine failed.
    fn is_near_deadline(&self) -> bool {
        let now = self.context.clock.now();
        self.job.work.deadline.saturating_duration_since(now) < NEAR_DEADLINE
    }

    /// Releases the grant and the claim of an attempt that certainly did not run.
    pub(super) fn release_unsent(&mut self, ended: AttemptOutcome) {
        self.end_attempt(ended);
        if let Some((key, attempt)) = self.recorded_claim.take() {
            self.context.claims.give_back(key, attempt);
        }
    }

    /// Records that the upstream crashed while it ran this request, and broadcasts the resulting
    /// poison reports.
    pub(super) fn report_crash(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let now = self.context.clock.now();
        let reports = self
            .context
            .poison_list()
            .on_crash(&self.fingerprints(), attempt.id(), now);
        for poison in &reports {
            self.context.poison_broadcast.broadcast(poison);
        }
    }
}

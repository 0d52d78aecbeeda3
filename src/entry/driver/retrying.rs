//! Decides whether a failed or silent attempt is followed by another.

use log::debug;
use tokio::time::sleep;

use crate::decide::AttemptOutcome;
use crate::decide::FailedAttempt;
use crate::decide::RetryDecision;
use crate::entry::LifecycleEvent;
use crate::entry::driver::Driver;
use crate::entry::driver::resuming::wait_until_ready;
use crate::units::RequestId;
use crate::upstream::UpstreamError;

impl Driver<'_> {
    /// Decides whether a request is tried again. If so, this counts the retry, gives the work a new
    /// request id and waits for the pause before the retry. The buffered reply of a failed attempt
    /// is discarded; a silent attempt stays as it is.
    pub(super) async fn decide_retry(&mut self) -> LifecycleEvent {
        let now = self.context.clock.now();
        let is_silent = matches!(self.last_error, Some(UpstreamError::NoAnswer(_)));
        if !is_silent {
            self.end_attempt(AttemptOutcome::Failed);
        }
        // This request's own retries may be crashing one upstream after another.
        if self
            .context
            .poison_list()
            .is_poison(&self.fingerprints(), now)
        {
            return LifecycleEvent::RetryDenied;
        }
        let did_not_run = self
            .last_error
            .as_ref()
            .is_some_and(UpstreamError::did_not_run);
        let failed = FailedAttempt {
            attempts: self.attempts,
            did_not_run,
            is_repeatable: self.job.rules.repeatable,
            response_started: self.reply.has_started(),
            retry_after: self.retry_after,
            deadline: self.job.work.deadline,
        };
        match self
            .context
            .with_retry_budget(&self.job.target, |budget| budget.decide(&failed, now))
        {
            RetryDecision::Retry { after } => {
                self.context.metrics.count_retry(self.retry_reason());
                if is_silent {
                    self.avoid_leader();
                } else {
                    self.reply.take_buffered_text();
                }
                // A home answers a repeated request with the grant that it already issued. If the
                // message that ended the failed attempt was lost, the home would return the same
                // grant, and a second attempt would run under the same id. So the grant for each
                // attempt is requested under a new request id.
                self.job.work.request = RequestId(rand::random());
                tokio::select! {
                    () = sleep(after) => LifecycleEvent::RetryAllowed,
                    () = wait_until_ready(self.source.as_mut()) => LifecycleEvent::SilenceEnded,
                }
            }
            RetryDecision::GiveUp(stop) => {
                debug!(
                    "entry: request {} is not retried: {stop:?}",
                    self.job.request
                );
                LifecycleEvent::RetryDenied
            }
        }
    }

    /// The label for the retry in the metrics.
    pub(super) fn retry_reason(&self) -> &'static str {
        match &self.last_error {
            Some(UpstreamError::NotSent(_) | UpstreamError::Unreachable(_)) => "not_sent",
            Some(UpstreamError::Refused { .. }) => "refused",
            Some(UpstreamError::InvalidResponse(_)) => "garbled",
            _ => "failed",
        }
    }
}

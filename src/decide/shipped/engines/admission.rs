//! Admission of requests to a pool of engines, and the forecasts that it depends on.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Admission;
use crate::decide::Forecast;
use crate::decide::Lane;
use crate::decide::QueuedRequest;
use crate::decide::RefuseReason;
use crate::decide::Work;
use crate::decide::shipped::EnginePolicy;
use crate::units::BoundedTime;
use crate::units::seconds;

/// The largest number of requests in all queues together. Further requests are refused.
const QUEUED_MAX: usize = 10_000;
/// Drain time beyond which the short lane is loaded and customers over their rate are refused.
const SHORT_LOADED_DRAIN: Duration = Duration::from_millis(250);
/// Drain time beyond which the long lane is loaded and customers over their rate are refused.
const LONG_LOADED_DRAIN: Duration = Duration::from_secs(5);

impl EnginePolicy {
    /// The request as it is queued: with its account and the estimated lengths of prompt and
    /// answer.
    pub(super) fn queued_request(&self, work: Work, now: Instant) -> QueuedRequest {
        let (account, share) = self.intake.account(&work.customer);
        let prompt_tokens = self.estimator.prompt_tokens(&work, &account);
        QueuedRequest {
            prompt_tokens,
            output_tokens: self.estimator.output_tokens(&work),
            account,
            share: share.share,
            work,
            since: now,
        }
    }

    /// Decides whether to queue a request, and charges the customer's rate. An error holds the
    /// reason of the refusal and the time that the queue of the lane takes to drain.
    pub(super) fn admit(
        &mut self,
        waiting: &QueuedRequest,
        now: Instant,
    ) -> Result<(), (RefuseReason, Duration)> {
        if waiting.work.deadline <= now {
            return Err((RefuseReason::Expired, Duration::ZERO));
        }
        if self.fleet.live_upstreams().next().is_none() {
            return Err((RefuseReason::NoUpstream, Duration::ZERO));
        }
        let lane = self.lane_of(waiting);
        let drain = self.drain_time(lane, now);
        if self.queues.len() >= QUEUED_MAX {
            return Err((RefuseReason::QueueFull, drain));
        }
        let (account, share) = self.intake.account(&waiting.work.customer);
        let is_within_rate = self.intake.charge_rate(&account, &share, now);
        let loaded_drain = match lane {
            Lane::Short => SHORT_LOADED_DRAIN,
            Lane::Long => LONG_LOADED_DRAIN,
        };
        if !is_within_rate && drain > loaded_drain {
            return Err((RefuseReason::CustomerLimit, drain));
        }
        let remaining = waiting.work.deadline.saturating_duration_since(now);
        let remaining = remaining.scaled(self.fleet.tuning.admit_fraction);
        match self
            .forecast(waiting, lane, now)
            .admission(remaining, self.grants.is_empty())
        {
            Admission::Admit => Ok(()),
            Admission::TooLate => Err((RefuseReason::Deadline, drain)),
        }
    }

    /// The forecast of a request that enters the queue of its lane now.
    fn forecast(&self, waiting: &QueuedRequest, lane: Lane, now: Instant) -> Forecast {
        let cached = self.cached_tokens(&waiting.work, now);
        let prefill = (waiting.prompt_tokens.as_f64() - cached).max(0.0);
        let speed = self.fleet.median_speed() * self.gang_size(waiting) as f64;
        Forecast {
            wait: self
                .queues
                .get(lane)
                .wait_time(waiting, self.nominal_drain(lane, now), now),
            prefill: seconds(prefill / speed),
            output: self.estimator.output_time(waiting.output_tokens),
        }
    }

    /// Length of the longest prefix of the prompt that any engine has probably cached, in tokens.
    fn cached_tokens(&self, work: &Work, now: Instant) -> f64 {
        if work.prefixes.is_empty() {
            return 0.0;
        }
        let cached = self
            .fleet
            .open_upstreams(now)
            .map(|u| u.prefix.cached_tokens(work, now));
        cached.fold(0.0, f64::max)
    }

    /// The time until the queue of a lane has drained.
    pub(super) fn drain_time(&self, lane: Lane, now: Instant) -> Duration {
        self.queues
            .get(lane)
            .drain_time(self.nominal_drain(lane, now), now)
    }

    /// Cost per second at which a lane's queue drains while no rate has been observed.
    fn nominal_drain(&self, lane: Lane, now: Instant) -> f64 {
        let all = self.fleet.speed(now).max(1.0);
        let long = self.fleet.split.open_to_long() as f64 * self.fleet.median_speed();
        match lane {
            Lane::Short => (all - long / 2.0).max(all / 4.0),
            Lane::Long => long,
        }
    }

    /// The number of engines that have to hold the request together; 1 if one engine can hold it.
    pub(super) fn gang_size(&self, waiting: &QueuedRequest) -> usize {
        let largest = self.fleet.largest_memory().0.max(1);
        let size = waiting.memory_tokens().0.div_ceil(largest);
        usize::try_from(size).unwrap_or(usize::MAX).max(1)
    }
}

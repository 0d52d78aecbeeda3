//! The state of one instance of a plain service at its home.

use std::time::Instant;

use crate::decide::Access;
use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::ConcurrencyLimit;
use crate::decide::Ejection;
use crate::decide::UpstreamInfo;
use crate::decide::WarmUp;

/// The weight of one call in the moving average of the latency that placement compares.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// One instance of a plain service.
#[derive(Debug)]
pub struct ServiceUpstream {
    /// The instance's description from the platform and the manifest.
    pub info: UpstreamInfo,
    /// The number of calls that have not ended.
    pub running: u32,
    /// The limit on concurrent calls.
    pub limit: ConcurrencyLimit,
    /// Whether the instance is ejected from the pool.
    pub ejection: Ejection,
    /// The state of the instance's warm-up.
    pub warm_up: WarmUp,
    /// The moving average of the latency of completed calls.
    latency_seconds: f64,
}

impl ServiceUpstream {
    /// Creates an instance without calls.
    pub fn new(info: UpstreamInfo, warm_up: WarmUp) -> Self {
        let limit = ConcurrencyLimit::new(info.slots);
        Self {
            info,
            running: 0,
            limit,
            ejection: Ejection::default(),
            warm_up,
            latency_seconds: 0.0,
        }
    }

    /// Whether the instance is not leaving.
    pub fn is_live(&self) -> bool {
        self.info.is_live()
    }

    /// Which work the instance may get now.
    pub fn access(&self, now: Instant) -> Access {
        self.ejection.access_of(&self.info, now)
    }

    /// Whether the instance has room for another call.
    pub fn has_room(&self, now: Instant) -> bool {
        let warm = self.warm_up.slots(self.info.slots, now);
        self.running < self.limit.get().min(warm)
    }

    /// The cost of another call in seconds: the mean latency times the number of calls that would
    /// be running.
    pub fn cost(&self) -> f64 {
        (self.latency_seconds + 1.0e-6) * f64::from(self.running + 1)
    }

    /// Counts a granted call as running. On an ejected instance, the call is a probe.
    pub fn on_grant(&mut self, now: Instant) {
        self.running += 1;
        self.ejection.on_grant(now);
    }

    /// Removes an ended call from the running ones. A completed call adjusts the limit, the warm-up
    /// and the mean latency; a failed or refused one lowers the limit.
    pub fn on_done(&mut self, done: &AttemptSummary, now: Instant) {
        match done.ended {
            AttemptOutcome::Completed => {
                self.limit.observe(done.total, self.running, now);
                self.warm_up.on_success(now);
                let latency = done.total.as_secs_f64();
                self.latency_seconds += LATENCY_SAMPLE_WEIGHT * (latency - self.latency_seconds);
            }
            AttemptOutcome::Failed | AttemptOutcome::Refused => self.limit.on_overload(),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        self.running = self.running.saturating_sub(1);
    }
}

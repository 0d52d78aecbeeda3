//! An instance of a plain service as its home sees it.

use std::time::Instant;

use crate::decide::Access;
use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::ConcurrencyLimit;
use crate::decide::Ejection;
use crate::decide::UpstreamInfo;
use crate::decide::WarmUp;

/// The weight of one call in the latency that placement compares.
const LATENCY_GAIN: f64 = 0.2;

/// One instance of a plain service.
#[derive(Debug)]
pub struct ServiceUpstream {
    /// As the platform's list shows it.
    pub info: UpstreamInfo,
    /// Calls that have not ended.
    pub running: u32,
    /// How many it gets at once.
    pub limit: ConcurrencyLimit,
    /// Whether it is taken out.
    pub ejection: Ejection,
    /// How warm it is.
    pub warm_up: WarmUp,
    latency_seconds: f64,
}

impl ServiceUpstream {
    /// An instance without calls.
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

    /// Whether it is not leaving.
    pub fn is_live(&self) -> bool {
        self.info.is_live()
    }

    /// What it may get now.
    pub fn access(&self, now: Instant) -> Access {
        self.ejection.access_of(&self.info, now)
    }

    /// Whether it has room for one call more.
    pub fn has_room(&self, now: Instant) -> bool {
        let warm = self.warm_up.slots(self.info.slots, now);
        self.running < self.limit.get().min(warm)
    }

    /// What one call more costs: its latency, times the calls it would run with.
    pub fn cost(&self) -> f64 {
        (self.latency_seconds + 1.0e-6) * f64::from(self.running + 1)
    }

    /// Takes in a grant.
    pub fn on_grant(&mut self, now: Instant) {
        self.running += 1;
        self.ejection.on_grant(now);
    }

    /// Takes in the end of a call.
    pub fn on_done(&mut self, done: &AttemptSummary, now: Instant) {
        match done.ended {
            AttemptOutcome::Completed => {
                self.limit.observe(done.total, self.running, now);
                self.warm_up.on_success(now);
                let latency = done.total.as_secs_f64();
                self.latency_seconds += LATENCY_GAIN * (latency - self.latency_seconds);
            }
            AttemptOutcome::Failed | AttemptOutcome::Refused => self.limit.on_overload(),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        self.running = self.running.saturating_sub(1);
    }
}

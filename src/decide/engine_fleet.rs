//! The engines of one pool, with the grants, speed and health of each.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::rngs::StdRng;

use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::EjectionAction;
use crate::decide::EngineUpstream;
use crate::decide::GrantHold;
use crate::decide::LaneSplit;
use crate::decide::LiveGrant;
use crate::decide::PoolMedian;
use crate::decide::SpeedEstimate;
use crate::decide::SplitInput;
use crate::decide::Tuning;
use crate::decide::UpstreamHealth;
use crate::decide::UpstreamInfo;
use crate::decide::WarmUp;
use crate::decide::estimator::token_gap_seconds;
use crate::units::Tokens;
use crate::units::TokensPerSecond;
use crate::units::UpstreamId;

/// New upstreams are warmed up in steps only if they are at most this fraction of the pool, since
/// the other upstreams have to serve the load meanwhile.
const COLD_FRACTION_MAX: f64 = 0.5;
/// Number of speed samples that are accepted even under load, so that a wrong initial speed is
/// corrected.
const LOADED_SAMPLES_MAX: u32 = 4;
/// Upper bound of an engine's estimated speed, as a multiple of the median. The bound costs an
/// engine that really is faster a little work; an engine whose estimate is too high would get all
/// work.
const SPEED_OVER_MEDIAN_MAX: f64 = 1.3;
/// Interval between checks for stalled engines.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The engines of one pool, with the grants, speed and health of each.
#[derive(Debug)]
pub(crate) struct EngineFleet {
    pub(crate) upstreams: IndexMap<UpstreamId, EngineUpstream>,
    pub(crate) split: LaneSplit,
    pub(crate) tuning: Tuning,
    /// The assumed speed of engines while the pool has none.
    initial_speed: TokensPerSecond,
    /// Medians over the engines that may get work, as of the last change of the list or end of a
    /// grant.
    median: PoolMedian,
    stalls_checked_at: Option<Instant>,
}

impl EngineFleet {
    /// Creates a pool without engines.
    pub(crate) fn new(tuning: Tuning, initial_speed: TokensPerSecond) -> Self {
        Self {
            upstreams: IndexMap::new(),
            split: LaneSplit::new(),
            tuning,
            initial_speed,
            median: PoolMedian::default(),
            stalls_checked_at: None,
        }
    }

    /// Replaces the list of upstreams. An upstream that is no longer listed gets no new work and is
    /// removed when its grants have ended.
    pub(crate) fn set_upstreams(&mut self, listed: &[UpstreamInfo], now: Instant) {
        let is_new = |info: &&UpstreamInfo| !self.upstreams.contains_key(&info.id);
        let new = listed.iter().filter(is_new).count();
        let is_cold =
            (new as f64) <= COLD_FRACTION_MAX * listed.len() as f64 && !self.upstreams.is_empty();
        let speed = self.initial_estimate();
        for upstream in self.upstreams.values_mut() {
            upstream.info.health = UpstreamHealth::Leaving;
        }
        for info in listed {
            let warm_up = if is_cold {
                WarmUp::cold(now)
            } else {
                WarmUp::warm(now)
            };
            let new = || EngineUpstream::new(info.clone(), speed, warm_up, now);
            let upstream = self.upstreams.entry(info.id.clone()).or_insert_with(new);
            upstream.info = info.clone();
        }
        self.remove_drained();
        self.upstreams.sort_unstable_keys();
        self.update_median(now);
    }

    /// Advances the estimated prefill of all engines to `now`, ejects stalled engines and updates
    /// the split between the lanes. `long_head_wait` is how long the first request of the long lane
    /// has waited; `None` if the lane is empty.
    pub(crate) fn advance(
        &mut self,
        long_head_wait: Option<Duration>,
        now: Instant,
        rng: &mut StdRng,
    ) {
        for upstream in self.upstreams.values_mut() {
            upstream.ledger.advance(now);
        }
        let since_check = |at| now.saturating_duration_since(at);
        if self
            .stalls_checked_at
            .is_none_or(|at| since_check(at) >= STALL_CHECK_INTERVAL)
        {
            self.stalls_checked_at = Some(now);
            self.eject_stalled(now, rng);
        }
        let input = SplitInput {
            upstreams: self.open_upstreams(now).count(),
            speed: self.median_speed(),
            long_head_wait,
        };
        self.split.update(&input, &self.tuning, now);
    }

    /// The engines that may get any work: those that are neither leaving nor ejected.
    pub(crate) fn open_upstreams(&self, now: Instant) -> impl Iterator<Item = &EngineUpstream> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.is_open(now))
    }

    /// The engines that are not leaving.
    pub(crate) fn live_upstreams(&self) -> impl Iterator<Item = &EngineUpstream> {
        self.upstreams
            .values()
            .filter(|upstream| upstream.is_live())
    }

    /// Records a grant at each of its engines, with `prefill` tokens of prefill at each.
    pub(crate) fn record_grant(
        &mut self,
        grant: &LiveGrant,
        hold: &GrantHold,
        prefill: f64,
        now: Instant,
    ) {
        for id in &grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.on_grant(now);
                upstream.ledger.advance(now);
                let read_at = now + upstream.ledger.first_token_time(prefill, hold.priority);
                upstream.prefix.on_grant(&grant.work, read_at);
                upstream.ledger.hold(grant.id, hold.clone(), prefill);
            }
        }
    }

    /// Ends a grant at each of its engines, updates their speed, prefix and health estimates, and
    /// ejects or reinstates them accordingly. A grant of a gang changes none of these estimates.
    ///
    /// `hinted_tokens` is the length of the prefix that the first engine was expected to have
    /// cached.
    pub(crate) fn finish_grant(
        &mut self,
        grant: &LiveGrant,
        hinted_tokens: Tokens,
        done: &AttemptSummary,
        now: Instant,
        rng: &mut StdRng,
    ) {
        for id in &grant.upstreams {
            let Some(upstream) = self.upstreams.get_mut(id) else {
                continue;
            };
            upstream.ledger.advance(now);
            let hold = upstream.ledger.release(&grant.id);
            if grant.upstreams.len() > 1 {
                // The member that failed is unknown, and a gang's speed is not that of one engine.
                upstream.on_progress(None, now);
                continue;
            }
            upstream.on_progress(token_gap_seconds(done), now);
            upstream.prefix.on_done(&grant.work, hinted_tokens, done);
            if let (Some(hold), Some(first_token)) = (hold, done.first_token) {
                let ahead = upstream.ledger.prefill_ahead_of(&hold);
                let own = prefill_done(&hold, done);
                let speed = &mut upstream.ledger.speed;
                if is_speed_sample(&hold, speed) {
                    speed.observe(own, ahead, first_token);
                } else {
                    speed.observe_lower_bound(own, first_token);
                }
            }
            self.update_ejection(id, done.ended, now, rng);
        }
        self.remove_drained();
    }

    /// The memory of the largest engine that is not leaving.
    pub(crate) fn largest_memory(&self) -> Tokens {
        let memory = self
            .live_upstreams()
            .map(|upstream| upstream.info.memory_tokens);
        memory.max().unwrap_or_default()
    }

    /// The medians over the engines that may get work, as of the last change of the list or end of
    /// a grant.
    pub(crate) fn median(&self) -> PoolMedian {
        self.median
    }

    /// The median prefill speed of the engines that may get work, in tokens per second; at least 1.
    pub(crate) fn median_speed(&self) -> f64 {
        self.median.speed.max(1.0)
    }

    /// Total prefill speed of all engines that may get work, in tokens per second.
    pub(crate) fn speed(&self, now: Instant) -> f64 {
        self.open_upstreams(now)
            .map(|upstream| upstream.ledger.speed.get())
            .sum()
    }

    /// Recomputes the medians and limits the estimated speeds by them. Engines without samples are
    /// expected to be as fast as the median, not as their settings say.
    fn update_median(&mut self, now: Instant) {
        let has_samples = |upstream: &&EngineUpstream| upstream.ledger.speed.samples() > 0;
        self.median = PoolMedian::of(self.open_upstreams(now).filter(has_samples));
        if self.median.speed <= 0.0 {
            self.median = PoolMedian::of(self.open_upstreams(now));
        }
        let median_estimate = SpeedEstimate::new(TokensPerSecond(self.median.speed.max(1.0)));
        for upstream in self.upstreams.values_mut() {
            if upstream.ledger.speed.samples() == 0 && self.median.speed > 0.0 {
                upstream.ledger.speed = median_estimate;
            }
            upstream
                .ledger
                .speed
                .limit_to(self.median.speed * SPEED_OVER_MEDIAN_MAX);
        }
    }

    /// Ejects or reinstates an engine after an attempt there has ended with `outcome`.
    fn update_ejection(
        &mut self,
        id: &UpstreamId,
        outcome: AttemptOutcome,
        now: Instant,
        rng: &mut StdRng,
    ) {
        self.update_median(now);
        let median = self.median();
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let is_slow = upstream.is_slow(&median, self.tuning.slow_fraction);
        let was_ejected = upstream.ejection.is_ejected();
        let action = upstream.ejection.on_end(outcome);
        if outcome == AttemptOutcome::Completed {
            upstream.warm_up.on_success(now);
        }
        match action {
            EjectionAction::Reinstate if is_slow => upstream.ejection.eject(now, rng),
            EjectionAction::Reinstate => upstream.warm_up = WarmUp::cold(now),
            EjectionAction::Eject => self.eject(id, now, rng),
            EjectionAction::NoChange if is_slow && !was_ejected => self.eject(id, now, rng),
            EjectionAction::NoChange => {}
        }
    }

    /// Ejects an engine unless too large a fraction of the pool would be ejected.
    fn eject(&mut self, id: &UpstreamId, now: Instant, rng: &mut StdRng) {
        let live = self.live_upstreams().count();
        let ejected = self
            .live_upstreams()
            .filter(|u| u.ejection.is_ejected() && u.info.id != *id)
            .count();
        if (ejected + 1) as f64 > live as f64 * self.tuning.ejected_fraction_max {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.ejection.eject(now, rng);
        }
    }

    /// Ejects the engines on which an attempt is long overdue and none has ended meanwhile.
    fn eject_stalled(&mut self, now: Instant, rng: &mut StdRng) {
        let is_stalled = |u: &&EngineUpstream| u.is_stalled(now) && !u.ejection.is_ejected();
        let stalled: Vec<UpstreamId> = self
            .live_upstreams()
            .filter(is_stalled)
            .map(|u| u.info.id.clone())
            .collect();
        for id in stalled {
            self.eject(&id, now, rng);
        }
    }

    /// The speed estimate of a new engine: the median of the known engines, or the initial speed if
    /// there are none.
    fn initial_estimate(&self) -> SpeedEstimate {
        let median = PoolMedian::of(self.upstreams.values()).speed;
        let speed = if median > 0.0 {
            TokensPerSecond(median)
        } else {
            self.initial_speed
        };
        SpeedEstimate::new(speed)
    }

    /// Removes the engines that are leaving and have no grants left.
    fn remove_drained(&mut self) {
        self.upstreams
            .retain(|_, upstream| upstream.is_live() || upstream.running() > 0);
    }
}

/// Whether the time to the first token of a grant may be used as a sample of the engine's speed.
///
/// Under load that time includes waiting inside the engine. An estimate that followed it would
/// oscillate: the engine is left idle, looks fast again and gets too much work. So after the first
/// samples, only requests that did not wait are used.
fn is_speed_sample(hold: &GrantHold, speed: &SpeedEstimate) -> bool {
    !hold.has_waited || speed.samples() < LOADED_SAMPLES_MAX
}

/// The prefill that the engine did for a grant, as reported by the engine or else as expected.
fn prefill_done(hold: &GrantHold, done: &AttemptSummary) -> Tokens {
    if done.prompt_tokens == Tokens::ZERO {
        hold.prefill_tokens
    } else {
        done.prompt_tokens.saturating_sub(done.cached_tokens)
    }
}

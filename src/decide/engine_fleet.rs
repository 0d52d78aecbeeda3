//! The engines of one pool: who is in, who is out, and what each has been given.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::rngs::StdRng;

use crate::decide::AttemptOutcome;
use crate::decide::AttemptSummary;
use crate::decide::EjectionStep;
use crate::decide::EngineUpstream;
use crate::decide::Hold;
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

/// Upstreams that are new together are warmed in steps only while they are at most this part of the
/// pool: there must be others that carry the load meanwhile.
const COLD_PART_MAX: f64 = 0.5;
/// Samples that are taken in under load, to leave a wrong setting behind.
const SAMPLES_UNDER_LOAD: u32 = 4;
/// No engine is believed to be faster than the median by more than this: a true one loses a little
/// work by it, a wrong one would draw all of it.
const FASTER_MAX: f64 = 1.3;
/// How often stalls are looked for.
const STALL_CHECK: Duration = Duration::from_secs(1);

/// The engines of one pool.
#[derive(Debug)]
pub(crate) struct EngineFleet {
    pub(crate) upstreams: IndexMap<UpstreamId, EngineUpstream>,
    pub(crate) split: LaneSplit,
    pub(crate) tuning: Tuning,
    first_speed: TokensPerSecond,
    /// Over the engines that may get work, as of the last change.
    median: PoolMedian,
    stalls_checked_at: Option<Instant>,
}

impl EngineFleet {
    pub(crate) fn new(tuning: Tuning, first_speed: TokensPerSecond) -> Self {
        Self {
            upstreams: IndexMap::new(),
            split: LaneSplit::new(),
            tuning,
            first_speed,
            median: PoolMedian::default(),
            stalls_checked_at: None,
        }
    }

    /// Takes in the list. One that has vanished stays, closed, until its grants have ended.
    pub(crate) fn set(&mut self, seen: &[UpstreamInfo], now: Instant) {
        let is_new = |seen: &&UpstreamInfo| !self.upstreams.contains_key(&seen.id);
        let new = seen.iter().filter(is_new).count();
        let is_cold =
            (new as f64) <= COLD_PART_MAX * seen.len() as f64 && !self.upstreams.is_empty();
        let speed = self.first_estimate();
        for upstream in self.upstreams.values_mut() {
            upstream.info.health = UpstreamHealth::Leaving;
        }
        for seen in seen {
            let warm_up = if is_cold {
                WarmUp::cold(now)
            } else {
                WarmUp::warm(now)
            };
            let new = || EngineUpstream::new(seen.clone(), speed, warm_up, now);
            let upstream = self.upstreams.entry(seen.id.clone()).or_insert_with(new);
            upstream.info = seen.clone();
        }
        self.drop_gone();
        self.upstreams.sort_unstable_keys();
        self.update_median(now);
    }

    /// Lets the prefill of all engines go on until `now`, and follows the load.
    pub(crate) fn advance(
        &mut self,
        long_waited: Option<Duration>,
        now: Instant,
        rng: &mut StdRng,
    ) {
        for upstream in self.upstreams.values_mut() {
            upstream.ledger.advance(now);
        }
        let since_check = |at| now.saturating_duration_since(at);
        if self
            .stalls_checked_at
            .is_none_or(|at| since_check(at) >= STALL_CHECK)
        {
            self.stalls_checked_at = Some(now);
            self.eject_stalled(now, rng);
        }
        let input = SplitInput {
            upstreams: self.open(now).count(),
            speed: self.median_speed(),
            long_waited,
        };
        self.split.update(&input, &self.tuning, now);
    }

    pub(crate) fn open(&self, now: Instant) -> impl Iterator<Item = &EngineUpstream> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.is_open(now))
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &EngineUpstream> {
        self.upstreams
            .values()
            .filter(|upstream| upstream.is_live())
    }

    /// Enters a grant at each of its engines.
    pub(crate) fn hold(&mut self, grant: &LiveGrant, hold: &Hold, prefill: f64, now: Instant) {
        for id in &grant.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.on_grant(now);
                upstream.ledger.advance(now);
                let read_at = now + upstream.ledger.first_token_time(prefill, hold.rank);
                upstream.prefix.on_grant(&grant.work, read_at);
                upstream.ledger.hold(grant.id, hold.clone(), prefill);
            }
        }
    }

    /// Ends a grant at each of its engines, and learns from it.
    pub(crate) fn finish(
        &mut self,
        grant: &LiveGrant,
        hinted: Tokens,
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
                // Which member failed is not known, and a gang's speed is not that of one engine.
                upstream.on_progress(None, now);
                continue;
            }
            upstream.on_progress(token_gap_seconds(done), now);
            upstream.prefix.on_done(&grant.work, hinted, done);
            if let (Some(hold), Some(first_token)) = (hold, done.first_token) {
                let ahead = upstream.ledger.prefill_ahead_of(&hold);
                let own = prefill_done(&hold, done);
                let speed = &mut upstream.ledger.speed;
                if is_telling(&hold, speed) {
                    speed.observe(own, ahead, first_token);
                } else {
                    speed.observe_lower_bound(own, first_token);
                }
            }
            self.judge(id, done.ended, now, rng);
        }
        self.drop_gone();
    }

    /// The memory of the largest engine that is not leaving.
    pub(crate) fn largest_memory(&self) -> Tokens {
        let memory = self.live().map(|upstream| upstream.info.memory_tokens);
        memory.max().unwrap_or_default()
    }

    /// Medians over the engines that may get work.
    pub(crate) fn median(&self) -> PoolMedian {
        self.median
    }

    /// The median prefill speed, never 0.
    pub(crate) fn median_speed(&self) -> f64 {
        self.median.speed.max(1.0)
    }

    /// Prefill a second over all engines that may get work.
    pub(crate) fn speed(&self, now: Instant) -> f64 {
        self.open(now)
            .map(|upstream| upstream.ledger.speed.get())
            .sum()
    }

    /// Follows what has been seen. Engines of which nothing has been seen are expected to be like
    /// the others, not like their settings.
    fn update_median(&mut self, now: Instant) {
        let is_seen = |upstream: &&EngineUpstream| upstream.ledger.speed.samples() > 0;
        self.median = PoolMedian::of(self.open(now).filter(is_seen));
        if self.median.speed <= 0.0 {
            self.median = PoolMedian::of(self.open(now));
        }
        let like_others = SpeedEstimate::new(TokensPerSecond(self.median.speed.max(1.0)));
        for upstream in self.upstreams.values_mut() {
            if upstream.ledger.speed.samples() == 0 && self.median.speed > 0.0 {
                upstream.ledger.speed = like_others;
            }
            upstream
                .ledger
                .speed
                .limit_to(self.median.speed * FASTER_MAX);
        }
    }

    fn judge(&mut self, id: &UpstreamId, ended: AttemptOutcome, now: Instant, rng: &mut StdRng) {
        self.update_median(now);
        let median = self.median();
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let is_slow = upstream.is_slow(&median, self.tuning.slow_fraction);
        let was_out = upstream.ejection.is_out();
        let step = upstream.ejection.on_end(ended);
        if ended == AttemptOutcome::Completed {
            upstream.warm_up.on_success(now);
        }
        match step {
            EjectionStep::Return if is_slow => upstream.ejection.eject(now, rng),
            EjectionStep::Return => upstream.warm_up = WarmUp::cold(now),
            EjectionStep::Eject => self.eject(id, now, rng),
            EjectionStep::Stay if is_slow && !was_out => self.eject(id, now, rng),
            EjectionStep::Stay => {}
        }
    }

    fn eject(&mut self, id: &UpstreamId, now: Instant, rng: &mut StdRng) {
        let live = self.live().count();
        let out = self
            .live()
            .filter(|u| u.ejection.is_out() && u.info.id != *id)
            .count();
        if (out + 1) as f64 > live as f64 * self.tuning.ejected_fraction_max {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.ejection.eject(now, rng);
        }
    }

    fn eject_stalled(&mut self, now: Instant, rng: &mut StdRng) {
        let is_stalled = |u: &&EngineUpstream| u.is_stalled(now) && !u.ejection.is_out();
        let stalled: Vec<UpstreamId> = self
            .live()
            .filter(is_stalled)
            .map(|u| u.info.id.clone())
            .collect();
        for id in stalled {
            self.eject(&id, now, rng);
        }
    }

    /// What a new engine is expected to do: the same as those that are known.
    fn first_estimate(&self) -> SpeedEstimate {
        let median = PoolMedian::of(self.upstreams.values()).speed;
        let speed = if median > 0.0 {
            TokensPerSecond(median)
        } else {
            self.first_speed
        };
        SpeedEstimate::new(speed)
    }

    fn drop_gone(&mut self) {
        self.upstreams
            .retain(|_, upstream| upstream.is_live() || upstream.running() > 0);
    }
}

/// Whether a first token tells of the engine's speed. Under load it tells of what waits inside the
/// engine as well, and a speed that follows that swings: the engine is left idle, looks fast again,
/// and gets too much. So once it is known a speed is learned only from what did not wait.
fn is_telling(hold: &Hold, speed: &SpeedEstimate) -> bool {
    !hold.has_waited || speed.samples() < SAMPLES_UNDER_LOAD
}

/// The prefill that the engine did for a grant, by its own word where it gave one.
fn prefill_done(hold: &Hold, done: &AttemptSummary) -> Tokens {
    if done.prompt_tokens == Tokens::ZERO {
        hold.prefill_tokens
    } else {
        done.prompt_tokens.saturating_sub(done.cached_tokens)
    }
}

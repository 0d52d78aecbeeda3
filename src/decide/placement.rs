//! Which upstream a request goes to, or whether it had better wait.
//!
//! Load it answers: upstreams of unlike load, speed and cache. The cost compared is the time to the
//! first token: the prefill that the prompt's cached prefix leaves, beside what prefills there.
//! Without it requests are spread by number, and a clause lookup shares an engine with a catalogue.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Access;
use crate::decide::EngineUpstream;
use crate::decide::Lane;
use crate::decide::QueuedRequest;
use crate::decide::Tuning;
use crate::decide::engine_priority;
use crate::decide::is_heavy;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// An attempt that runs makes each step a little longer. It also spreads equals.
const RUNNING_COST: f64 = 0.002;
/// Forecasts of long prefill do not count on less than the rest of this part.
const SHORT_PART_MAX: f64 = 0.5;
/// A probe may cost its caller a retry, so there must be time for many such requests.
const PROBE_TIME_FACTOR: u32 = 10;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// To this upstream.
    Dispatch {
        /// Its index.
        index: usize,
        /// The expected time to the first token.
        first_token: Duration,
        /// The prefill expected there.
        prefill_tokens: f64,
        /// Why, in a few words.
        why: &'static str,
    },
    /// Nowhere yet.
    Wait,
}

/// A pool's upstreams, as placement sees them.
#[derive(Debug)]
pub struct PlacementView<'a> {
    /// The upstreams.
    pub upstreams: &'a IndexMap<UpstreamId, EngineUpstream>,
    /// The thresholds.
    pub tuning: &'a Tuning,
    /// How many of those that may get work are open to long prefill, from the front.
    pub open_to_long: usize,
    /// The median prefill speed of those that may get work.
    pub median_speed: f64,
    /// Now.
    pub now: Instant,
}

/// What one upstream offers a request.
struct Offer {
    index: usize,
    seconds: f64,
    prefill: f64,
    is_cached: bool,
    is_ready: bool,
    /// How long until it is ready.
    ready_seconds: f64,
}

impl PlacementView<'_> {
    /// Whether any upstream may be ready for a request of this lane.
    pub fn has_room(&self, lane: Lane) -> bool {
        self.upstreams
            .values()
            .any(|upstream| match upstream.access(self.now) {
                Access::Closed => false,
                Access::Probe => lane == Lane::Short,
                Access::Open => {
                    upstream.has_slot(self.now) && readiness(upstream, self.tuning, lane, 0.0).0
                }
            })
    }

    /// Where a request of this lane goes.
    pub fn choose(&self, waiting: &QueuedRequest, lane: Lane) -> Placement {
        if let Some(placement) = self.probe(waiting, lane) {
            return placement;
        }
        let avoids = self.can_avoid(waiting);
        let mut best: Option<Offer> = None;
        let mut soonest = f64::INFINITY;
        let mut rank = 0;
        for (index, upstream) in self.upstreams.values().enumerate() {
            if !upstream.is_open(self.now) {
                continue;
            }
            rank += 1;
            if avoids && waiting.work.avoid.contains(&upstream.info.id) {
                continue;
            }
            let is_open_to_long = rank <= self.open_to_long;
            let Some(offer) = self.offer(waiting, lane, index, upstream, is_open_to_long) else {
                continue;
            };
            if !offer.is_ready {
                soonest = soonest.min(offer.ready_seconds + offer.seconds);
            } else if best
                .as_ref()
                .is_none_or(|best| offer.seconds < best.seconds)
            {
                best = Some(offer);
            }
        }
        match best {
            Some(best) if soonest >= best.seconds * self.tuning.wait_ratio_max => best.placement(),
            _ => Placement::Wait,
        }
    }

    /// What an upstream offers; none if it has no room or is not open to such work.
    fn offer(
        &self,
        waiting: &QueuedRequest,
        lane: Lane,
        index: usize,
        upstream: &EngineUpstream,
        is_open_to_long: bool,
    ) -> Option<Offer> {
        let ledger = &upstream.ledger;
        let prompt = waiting.prompt_tokens.as_f64();
        let cached = upstream
            .prefix
            .cached_tokens(&waiting.work, self.now)
            .min(prompt);
        let prefill = prompt - cached;
        let speed = self.speed_of(upstream);
        let lane_here = match lane {
            Lane::Short => Lane::Short,
            Lane::Long => self.tuning.lane(tokens_from_f64(prefill)),
        };
        let fits = ledger.free_tokens(upstream.info.memory_tokens) >= waiting.memory_tokens();
        if !fits || !upstream.has_slot(self.now) || (waiting.is_suspect() && ledger.has_suspect()) {
            return None;
        }
        if lane_here == Lane::Long && !(is_open_to_long && self.takes_long(upstream)) {
            return None;
        }
        if lane_here == Lane::Short && self.is_kept_for_long(upstream) {
            return None;
        }
        let (is_ready, ready_seconds) = readiness(upstream, self.tuning, lane_here, prefill);
        // Until it is ready the upstream works off what it has.
        let beside = if is_ready {
            ledger.work_until(prefill, engine_priority(&waiting.work))
        } else {
            prefill
        };
        // Short work that keeps coming takes its part of the time that a long prefill takes.
        let short_part = match lane_here {
            Lane::Short => 0.0,
            Lane::Long => ledger.short_part(self.now).min(SHORT_PART_MAX),
        };
        Some(Offer {
            index,
            seconds: beside / speed / (1.0 - short_part) + RUNNING_COST * upstream.running() as f64,
            prefill,
            is_cached: cached > 0.0,
            is_ready,
            ready_seconds,
        })
    }

    /// Whether short work has had its part of an upstream on which long prefill goes on. Engines
    /// serve the short first, so without this bound long work would never end under load.
    fn is_kept_for_long(&self, upstream: &EngineUpstream) -> bool {
        let has_long = upstream.ledger.long_prefills().0 > 0;
        has_long
            && upstream.ledger.short_part(self.now) > self.tuning.short_fraction_beside_long_max
    }

    /// Speeds near the median count as equal. Estimates of equal engines differ by chance, and the
    /// one that looks the fastest would draw all the work until it no longer does.
    fn speed_of(&self, upstream: &EngineUpstream) -> f64 {
        let speed = upstream.ledger.speed.get();
        let is_near = (speed / self.median_speed).ln().abs() < self.tuning.equal_speed_ratio.ln();
        if is_near { self.median_speed } else { speed }
    }

    fn takes_long(&self, upstream: &EngineUpstream) -> bool {
        upstream.warm_up.takes_long(self.now) && !upstream.ledger.is_reserved()
    }

    /// An upstream that was taken out and may be tried: it gets a short request that has time.
    fn probe(&self, waiting: &QueuedRequest, lane: Lane) -> Option<Placement> {
        if lane == Lane::Long || waiting.is_suspect() {
            return None;
        }
        let may_probe = |upstream: &EngineUpstream| {
            let memory = upstream.ledger.free_tokens(upstream.info.memory_tokens);
            upstream.access(self.now) == Access::Probe && memory >= waiting.memory_tokens()
        };
        let index = self.upstreams.values().position(may_probe)?;
        let prefill = waiting.prompt_tokens.as_f64();
        let seconds = prefill / self.upstreams[index].ledger.speed.get();
        let first_token = duration_from_secs(seconds);
        let remaining = waiting.work.deadline.saturating_duration_since(self.now);
        let has_time = remaining >= first_token.saturating_mul(PROBE_TIME_FACTOR);
        has_time.then_some(Placement::Dispatch {
            index,
            first_token,
            prefill_tokens: prefill,
            why: "probe",
        })
    }

    /// Whether there is an upstream that has not failed the request.
    fn can_avoid(&self, waiting: &QueuedRequest) -> bool {
        let avoid = &waiting.work.avoid;
        let mut open = self.upstreams.values().filter(|u| u.is_open(self.now));
        !avoid.is_empty() && open.any(|upstream| !avoid.contains(&upstream.info.id))
    }
}

impl Offer {
    fn placement(&self) -> Placement {
        let why = if self.is_cached {
            "cached prefix"
        } else {
            "least prefill work"
        };
        Placement::Dispatch {
            index: self.index,
            first_token: duration_from_secs(self.seconds),
            prefill_tokens: self.prefill,
            why,
        }
    }
}

/// Whether an upstream may get such prefill now, and when else.
fn readiness(upstream: &EngineUpstream, tuning: &Tuning, lane: Lane, prefill: f64) -> (bool, f64) {
    let ledger = &upstream.ledger;
    let speed = ledger.speed.get();
    match lane {
        Lane::Short => {
            let backlog = ledger.lane_backlog(Lane::Short) + ledger.unknown_prefill();
            let over = backlog / speed - tuning.headroom.as_secs_f64();
            (over <= 0.0, over.max(0.0))
        }
        Lane::Long => {
            let (long, heavy) = ledger.long_prefills();
            let is_ready = long < tuning.long_prefills_max
                && !(heavy > 0 && is_heavy(tokens_from_f64(prefill)));
            (is_ready, ledger.backlog() / speed)
        }
    }
}

/// Seconds as a duration.
pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "a float saturates when it becomes a whole number"
)]
#[allow(clippy::cast_sign_loss, reason = "never negative")]
pub(crate) fn tokens_from_f64(tokens: f64) -> Tokens {
    Tokens(tokens.max(0.0) as u64)
}

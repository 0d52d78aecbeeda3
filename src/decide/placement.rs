//! Placement: the upstream that a request is sent to, or the decision to keep it in the queue.
//!
//! Upstreams differ in load, speed and cache. Placement compares the expected time to the first
//! token, which counts the prompt's uncached prefill and the prefill that competes with it. With
//! requests spread by number alone, a short lookup could share an engine with a huge prompt.

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
use crate::units::seconds;

/// The cost of each running attempt, which makes every step a little longer. The cost also spreads
/// requests over otherwise equal upstreams.
const RUNNING_COST_SECONDS: f64 = 0.002;
/// The largest fraction of an upstream's time that forecasts of long prefill assume for short
/// prefill.
const SHORT_FRACTION_MAX: f64 = 0.5;
/// A probe may cost its caller a retry, so the remaining time must be this many times the expected
/// time to the first token.
const PROBE_TIME_FACTOR: u32 = 10;

/// The result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// The request is sent to an upstream.
    Dispatch {
        /// The index of the upstream in the pool.
        index: usize,
        /// The expected time to the first token.
        first_token: Duration,
        /// The expected prefill at the upstream, in tokens.
        prefill_tokens: f64,
        /// The reason in a few words.
        why: &'static str,
    },
    /// The request stays in the queue.
    Wait,
}

/// The state of a pool that placement decides on.
#[derive(Debug)]
pub struct PlacementView<'a> {
    /// The upstreams of the pool.
    pub upstreams: &'a IndexMap<UpstreamId, EngineUpstream>,
    /// The thresholds.
    pub tuning: &'a Tuning,
    /// How many of the upstreams that may get work are open to long prefill, counted from the
    /// first.
    pub open_to_long: usize,
    /// The median prefill speed of the upstreams that may get work, in tokens a second.
    pub median_speed: f64,
    /// The current time.
    pub now: Instant,
}

/// An upstream that a request could be sent to, now or after a wait, with the expected cost.
struct Candidate {
    /// The index of the upstream in the pool.
    index: usize,
    /// The expected time from the dispatch to the first token, and a cost for each running attempt.
    seconds: f64,
    /// The expected prefill in tokens, without what is probably cached.
    prefill: f64,
    /// Whether a part of the prompt is probably in the upstream's cache.
    is_cached: bool,
    /// Whether the request can be sent now. If not, it would have to wait for `ready_seconds`.
    is_ready: bool,
    /// The time until the upstream is ready for the request, in seconds.
    ready_seconds: f64,
}

impl PlacementView<'_> {
    /// Whether any upstream may be ready for a request of `lane`, by its access, its slots and its
    /// prefill. [`PlacementView::choose`] also checks the memory and may still decide to wait.
    pub fn has_room(&self, lane: Lane) -> bool {
        self.upstreams
            .values()
            .any(|upstream| match upstream.access(self.now) {
                Access::Denied => false,
                Access::Probe => lane == Lane::Short,
                Access::Full => {
                    upstream.has_slot(self.now) && readiness(upstream, self.tuning, lane, 0.0).0
                }
            })
    }

    /// Chooses the placement of a request of `lane`: an ejected upstream that is due for a probe,
    /// or else the upstream with the least expected time to the first token. The request waits if
    /// no upstream is ready, or if waiting for another one is expected to be much faster.
    pub fn choose(&self, waiting: &QueuedRequest, lane: Lane) -> Placement {
        if let Some(placement) = self.probe(waiting, lane) {
            return placement;
        }
        let avoids = self.can_avoid(waiting);
        let mut best: Option<Candidate> = None;
        let mut soonest_ready = f64::INFINITY;
        let mut position = 0;
        for (index, upstream) in self.upstreams.values().enumerate() {
            if !upstream.is_open(self.now) {
                continue;
            }
            position += 1;
            if avoids && waiting.work.avoid.contains(&upstream.info.id) {
                continue;
            }
            let is_open_to_long = position <= self.open_to_long;
            let Some(candidate) = self.candidate(waiting, lane, index, upstream, is_open_to_long)
            else {
                continue;
            };
            if !candidate.is_ready {
                soonest_ready = soonest_ready.min(candidate.ready_seconds + candidate.seconds);
            } else if best
                .as_ref()
                .is_none_or(|best| candidate.seconds < best.seconds)
            {
                best = Some(candidate);
            }
        }
        match best {
            Some(best) if soonest_ready >= best.seconds * self.tuning.wait_ratio_max => {
                best.placement()
            }
            _ => Placement::Wait,
        }
    }

    /// The upstream as a candidate for the request, which may not be ready yet. `None` if the
    /// upstream lacks memory or a slot, is not open to prefill of this length, or if both the
    /// request and one that the upstream runs have failed elsewhere.
    fn candidate(
        &self,
        waiting: &QueuedRequest,
        lane: Lane,
        index: usize,
        upstream: &EngineUpstream,
        is_open_to_long: bool,
    ) -> Option<Candidate> {
        let ledger = &upstream.ledger;
        let prompt = waiting.prompt_tokens.as_f64();
        let cached = upstream
            .prefix
            .cached_tokens(&waiting.work, self.now)
            .min(prompt);
        let prefill = prompt - cached;
        let speed = self.comparable_speed(upstream);
        let prefill_lane = match lane {
            Lane::Short => Lane::Short,
            Lane::Long => self.tuning.lane(tokens_from_f64(prefill)),
        };
        let fits = ledger.free_tokens(upstream.info.memory_tokens) >= waiting.memory_tokens();
        if !fits || !upstream.has_slot(self.now) || (waiting.is_suspect() && ledger.has_suspect()) {
            return None;
        }
        if prefill_lane == Lane::Long && !(is_open_to_long && self.takes_long(upstream)) {
            return None;
        }
        if prefill_lane == Lane::Short && self.has_used_short_fraction(upstream) {
            return None;
        }
        let (is_ready, ready_seconds) = readiness(upstream, self.tuning, prefill_lane, prefill);
        // An upstream that is not ready finishes its current work before the request starts.
        let work = if is_ready {
            ledger.work_until_done(prefill, engine_priority(&waiting.work))
        } else {
            prefill
        };
        // Short work that keeps arriving takes its fraction of the time during a long prefill.
        let short_fraction = match prefill_lane {
            Lane::Short => 0.0,
            Lane::Long => ledger
                .short_prefill_fraction(self.now)
                .min(SHORT_FRACTION_MAX),
        };
        Some(Candidate {
            index,
            seconds: work / speed / (1.0 - short_fraction)
                + RUNNING_COST_SECONDS * upstream.running() as f64,
            prefill,
            is_cached: cached > 0.0,
            is_ready,
            ready_seconds,
        })
    }

    /// Whether short work has used up its fraction of an upstream that runs a long prefill. Engines
    /// serve short prefill first, so without this bound long work would never end under load.
    fn has_used_short_fraction(&self, upstream: &EngineUpstream) -> bool {
        let has_long = upstream.ledger.long_prefills().0 > 0;
        has_long
            && upstream.ledger.short_prefill_fraction(self.now)
                > self.tuning.short_fraction_beside_long_max
    }

    /// The upstream's speed for comparisons. Speeds near the median count as equal, because
    /// estimates of equal engines differ by chance and the engine that looks fastest would get all
    /// the work.
    fn comparable_speed(&self, upstream: &EngineUpstream) -> f64 {
        let speed = upstream.ledger.speed.get();
        let is_equal = (speed / self.median_speed).ln().abs() < self.tuning.equal_speed_ratio.ln();
        if is_equal { self.median_speed } else { speed }
    }

    /// Whether the upstream is warm enough for long prefill and not reserved for a gang.
    fn takes_long(&self, upstream: &EngineUpstream) -> bool {
        upstream.warm_up.accepts_long_prefill(self.now) && !upstream.ledger.is_reserved()
    }

    /// The placement of the request as a probe of an ejected upstream. `None` if no upstream with
    /// enough memory is due for a probe, or if the request is long, has failed before, or has too
    /// little time left for a retry.
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
        let first_token = seconds(prefill / self.upstreams[index].ledger.speed.get());
        let remaining = waiting.work.deadline.saturating_duration_since(self.now);
        let has_time = remaining >= first_token.saturating_mul(PROBE_TIME_FACTOR);
        has_time.then_some(Placement::Dispatch {
            index,
            first_token,
            prefill_tokens: prefill,
            why: "probe",
        })
    }

    /// Whether the request has failed before and there is an upstream that has not failed it.
    fn can_avoid(&self, waiting: &QueuedRequest) -> bool {
        let avoid = &waiting.work.avoid;
        let mut open = self.upstreams.values().filter(|u| u.is_open(self.now));
        !avoid.is_empty() && open.any(|upstream| !avoid.contains(&upstream.info.id))
    }
}

impl Candidate {
    /// The dispatch to this candidate, with its index, the forecast time to the first token, the
    /// prefill in tokens, and the reason as text.
    fn placement(&self) -> Placement {
        let why = if self.is_cached {
            "cached prefix"
        } else {
            "least prefill work"
        };
        Placement::Dispatch {
            index: self.index,
            first_token: seconds(self.seconds),
            prefill_tokens: self.prefill,
            why,
        }
    }
}

/// Whether an upstream may get a prefill of this lane now, and otherwise in how many seconds.
fn readiness(upstream: &EngineUpstream, tuning: &Tuning, lane: Lane, prefill: f64) -> (bool, f64) {
    let ledger = &upstream.ledger;
    let speed = ledger.speed.get();
    match lane {
        Lane::Short => {
            let backlog = ledger.lane_backlog(Lane::Short) + ledger.unexplained_prefill();
            let excess = backlog / speed - tuning.headroom.as_secs_f64();
            (excess <= 0.0, excess.max(0.0))
        }
        Lane::Long => {
            let (long, heavy) = ledger.long_prefills();
            let is_ready = long < tuning.long_prefills_max
                && !(heavy > 0 && is_heavy(tokens_from_f64(prefill)));
            (is_ready, ledger.backlog() / speed)
        }
    }
}

/// Converts a fractional number of tokens to whole tokens, rounded down. A negative one becomes 0.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the cast from a float saturates"
)]
#[allow(clippy::cast_sign_loss, reason = "never negative")]
pub(crate) fn tokens_from_f64(tokens: f64) -> Tokens {
    Tokens(tokens.max(0.0) as u64)
}

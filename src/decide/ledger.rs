//! The ledger of one upstream: granted memory and prefill that is not done yet.
//!
//! Load reports lag, so decisions based on them alone would all pick the upstream that was idle a
//! second ago and would send prompts to engines without memory for them. The home adds up what it
//! has granted itself, which is known before any report shows it. Reports only correct the ledger.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::GrantHold;
use crate::decide::Lane;
use crate::decide::Prefill;
use crate::decide::RecentPeak;
use crate::decide::SpeedEstimate;
use crate::decide::WorkRate;
use crate::decide::is_heavy;
use crate::units::BoundedTime;
use crate::units::GrantId;
use crate::units::Priority;
use crate::units::Tokens;
use crate::units::seconds;
use crate::upstream::LoadReport;

/// The assumed age of a load report.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Load that a report shows beyond the ledger counts up to this much prefill and this fraction of
/// the memory, so that a wrong report cannot exclude an upstream.
const UNEXPLAINED_PREFILL_MAX: Duration = Duration::from_secs(3);
const UNEXPLAINED_MEMORY_FRACTION_MAX: f64 = 0.5;

/// The time constant of the rate of short prefill, which covers some dozens of short prompts.
const SHORT_RATE_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// A long prefill may take longer than estimated by this fraction. Short prompts count the prefill
/// as still running for that time, because meeting it costs them more than avoiding an idle engine.
const TAIL_FRACTION: f64 = 0.1;
/// The longest estimate of a time to the first token. A longer time counts as never.
const FIRST_TOKEN_TIME_MAX: Duration = Duration::from_secs(86_400);

/// The grants of one upstream that have not ended, with their memory and prefill.
#[derive(Debug)]
pub struct UpstreamLedger {
    /// The estimate of the upstream's prefill speed.
    pub speed: SpeedEstimate,
    holds: IndexMap<GrantId, GrantHold>,
    /// The prefills that are not done, in the order in which engines process them: by priority,
    /// then by arrival.
    prefills: Vec<Prefill>,
    short_rate: WorkRate,
    /// The time until which a long prefill that should have ended may still be running.
    tail_until: Option<Instant>,
    held_tokens: Tokens,
    /// Memory that is reserved for a waiting gang.
    reserved_tokens: Tokens,
    /// Memory that reports show and no grant explains.
    unexplained_tokens: Tokens,
    /// Prefill in tokens that reports show and no grant explains.
    unexplained_prefill: f64,
    /// The prefill and the memory by which the last plausible report exceeded the ledger.
    previous_excess: Option<(f64, Tokens)>,
    peak: RecentPeak,
    /// The running total of granted prefill in tokens, by priority.
    granted_prefill: IndexMap<Priority, f64>,
    /// The number of grants whose request failed on another upstream before.
    suspects: usize,
    /// The time up to which the progress of prefill has been estimated.
    advanced_to: Instant,
}

impl UpstreamLedger {
    /// Creates an empty ledger.
    pub fn new(speed: SpeedEstimate, now: Instant) -> Self {
        Self {
            speed,
            holds: IndexMap::new(),
            prefills: Vec::new(),
            short_rate: WorkRate::new(SHORT_RATE_TIME_CONSTANT),
            tail_until: None,
            held_tokens: Tokens::ZERO,
            reserved_tokens: Tokens::ZERO,
            unexplained_tokens: Tokens::ZERO,
            unexplained_prefill: 0.0,
            previous_excess: None,
            peak: RecentPeak::new(now),
            granted_prefill: IndexMap::new(),
            suspects: 0,
            advanced_to: now,
        }
    }

    /// Advances the estimated progress of prefill to `now`: unexplained prefill first, then the
    /// prefills in their order. Prefills that are done by then are removed.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_to);
        if elapsed.is_zero() {
            return;
        }
        self.advanced_to = self.advanced_to.max(now);
        let mut budget = elapsed.as_secs_f64() * self.speed.get();
        let unexplained = self.unexplained_prefill.min(budget);
        self.unexplained_prefill -= unexplained;
        budget -= unexplained;
        let mut done = 0;
        for prefill in &mut self.prefills {
            let step = prefill.tokens_left.min(budget);
            prefill.tokens_left -= step;
            budget -= step;
            if prefill.tokens_left > 0.0 {
                break;
            }
            done += 1;
        }
        let ended = self.prefills.drain(..done);
        for long in ended.filter(|prefill| prefill.lane == Lane::Long) {
            let since = self.holds.get(&long.grant).map_or(now, |hold| hold.since);
            let duration = now.saturating_duration_since(since);
            self.tail_until = Some(now + duration.scaled(TAIL_FRACTION));
        }
    }

    /// Adds a grant with its `prefill` tokens, and replaces a grant that has the same id. Sets the
    /// fields of `hold` that tell what prefill is ahead of it.
    pub fn hold(&mut self, grant: GrantId, mut hold: GrantHold, prefill: f64) {
        self.release(&grant);
        let ahead = |p: &&Prefill| p.priority <= hold.priority;
        let prefill_ahead: f64 = self
            .prefills
            .iter()
            .filter(ahead)
            .map(|p| p.tokens_left)
            .sum();
        hold.prefill_ahead = prefill_ahead + self.unexplained_prefill;
        hold.higher_prefill_mark = self.granted_with_higher_priority(hold.priority);
        *self.granted_prefill.entry(hold.priority).or_default() += prefill;
        if prefill > 0.0 {
            let position = self
                .prefills
                .partition_point(|p| p.priority <= hold.priority);
            let prefill = Prefill {
                grant,
                priority: hold.priority,
                lane: hold.lane,
                is_heavy: is_heavy(hold.prefill_tokens),
                tokens_left: prefill + self.start_overhead_tokens(),
            };
            self.prefills.insert(position, prefill);
        }
        if hold.lane == Lane::Short {
            self.short_rate.add(prefill, hold.since);
        }
        self.held_tokens += hold.memory_tokens;
        self.suspects += usize::from(hold.is_suspect);
        let now = hold.since;
        self.holds.insert(grant, hold);
        self.record_peak(now);
    }

    /// The overhead of starting prefill on an engine that does none, in tokens of prefill work.
    fn start_overhead_tokens(&self) -> f64 {
        if self.prefills.is_empty() {
            self.speed.overhead().as_secs_f64() * self.speed.get()
        } else {
            0.0
        }
    }

    /// Removes a grant together with the rest of its prefill; `None` if the grant is unknown.
    pub fn release(&mut self, grant: &GrantId) -> Option<GrantHold> {
        let hold = self.holds.swap_remove(grant)?;
        self.prefills.retain(|prefill| prefill.grant != *grant);
        self.held_tokens = self.held_tokens.saturating_sub(hold.memory_tokens);
        self.suspects -= usize::from(hold.is_suspect);
        Some(hold)
    }

    /// The prefill of other grants, in tokens, that the engine does before the prefill of `hold` is
    /// done: what was there before it and what came later with a higher priority.
    pub fn prefill_ahead_of(&self, hold: &GrantHold) -> f64 {
        let higher = self.granted_with_higher_priority(hold.priority) - hold.higher_prefill_mark;
        hold.prefill_ahead + higher.max(0.0)
    }

    /// The memory of an engine with this `capacity` that is neither held by a grant, nor reserved,
    /// nor taken by the unexplained use that reports show.
    pub fn free_tokens(&self, capacity: Tokens) -> Tokens {
        let limit = capacity.as_f64() * UNEXPLAINED_MEMORY_FRACTION_MAX;
        let unexplained = self.unexplained_tokens.as_f64().min(limit);
        let taken = self.held_tokens + self.reserved_tokens + tokens_from_f64(unexplained);
        capacity.saturating_sub(taken)
    }

    /// The memory that grants hold now, without the memory that is reserved for a gang.
    pub fn held_tokens(&self) -> Tokens {
        self.held_tokens
    }

    /// Reserves memory for a waiting gang, in place of an earlier reservation. Zero releases it.
    pub fn reserve(&mut self, tokens: Tokens) {
        self.reserved_tokens = tokens;
    }

    /// Whether memory is reserved for a waiting gang.
    pub fn is_reserved(&self) -> bool {
        self.reserved_tokens > Tokens::ZERO
    }

    /// Whether the upstream runs a request that failed on another upstream before.
    pub fn has_suspect(&self) -> bool {
        self.suspects > 0
    }

    /// The prefill that is not done yet, in tokens, with the unexplained prefill that reports show.
    pub fn backlog(&self) -> f64 {
        self.known_backlog() + self.unexplained_prefill
    }

    /// The fraction of the upstream's time that short prefill has recently taken, from 0 to 1.
    pub fn short_prefill_fraction(&self, now: Instant) -> f64 {
        (self.short_rate.get(now) / self.speed.get()).min(1.0)
    }

    /// Prefill in tokens that reports show and no grant explains.
    pub fn unexplained_prefill(&self) -> f64 {
        self.unexplained_prefill
    }

    /// The granted prefill of one lane that is not done yet, in tokens.
    pub fn lane_backlog(&self, lane: Lane) -> f64 {
        let of_lane = self.prefills.iter().filter(|prefill| prefill.lane == lane);
        of_lane.map(|prefill| prefill.tokens_left).sum()
    }

    /// The number of long prefills that are not done, and how many of them are heavy.
    pub fn long_prefills(&self) -> (usize, usize) {
        let long = self
            .prefills
            .iter()
            .filter(|prefill| prefill.lane == Lane::Long);
        (
            long.clone().count(),
            long.filter(|prefill| prefill.is_heavy).count(),
        )
    }

    /// The prefill tokens that the engine processes until a new prefill is done, its own included:
    /// all prefill of the same or a higher priority, and of each prefill of a lower priority at
    /// most as much as the new one has, because engines finish a chunk that they have begun. A long
    /// prefill that may take longer than estimated counts like one of a lower priority.
    pub fn work_until_done(&self, prefill: f64, priority: Priority) -> f64 {
        let competing = |other: &Prefill| {
            if other.priority <= priority {
                other.tokens_left
            } else {
                other.tokens_left.min(prefill)
            }
        };
        let others: f64 = self.prefills.iter().map(competing).sum();
        let has_tail = self
            .tail_until
            .is_some_and(|until| self.advanced_to < until);
        let tail = if has_tail { prefill } else { 0.0 };
        prefill + others + tail + self.unexplained_prefill.min(prefill)
    }

    /// The time from now to the first token of a new prefill on this upstream.
    pub fn first_token_time(&self, prefill: f64, priority: Priority) -> Duration {
        seconds(self.work_until_done(prefill, priority) / self.speed.get())
            .saturating_add(self.speed.overhead())
            .min(FIRST_TOKEN_TIME_MAX)
    }

    /// The grants that have not ended, with what each holds.
    pub fn holds(&self) -> &IndexMap<GrantId, GrantHold> {
        &self.holds
    }

    /// Corrects the ledger by a lagging report.
    ///
    /// The report is compared with the recent peak of the ledger, because it may describe any
    /// moment in that time. Load beyond the peak counts only if two consecutive reports show it.
    /// Load that is missing from the report reduces only grants older than the lag, which the
    /// report must include.
    pub fn apply_report(&mut self, report: &LoadReport, capacity: Tokens, now: Instant) {
        self.advance(now);
        self.record_peak(now);
        if !self.is_plausible(report, capacity, now) {
            self.previous_excess = None;
            return;
        }
        let reported = report.prefill_backlog_tokens.as_f64();
        let (prefill_peak, memory_peak) = self.peak.get();
        let excess = (reported - prefill_peak).max(0.0);
        let memory_excess = report.used_tokens.saturating_sub(memory_peak);
        let before = self.previous_excess.replace((excess, memory_excess));
        let (previous_excess, previous_memory_excess) = before.unwrap_or_default();
        let limit = UNEXPLAINED_PREFILL_MAX.as_secs_f64() * self.speed.get();
        self.unexplained_prefill = excess.min(previous_excess).min(limit);
        self.unexplained_tokens = memory_excess.min(previous_memory_excess);
        self.scale_down(reported, now);
    }

    /// Whether a report can be right. A report of more memory than the engine has, or of too few of
    /// the attempts that have been running for long, is wrong and not only late.
    fn is_plausible(&self, report: &LoadReport, capacity: Tokens, now: Instant) -> bool {
        let is_old = |hold: &&GrantHold| now.saturating_duration_since(hold.since) > REPORT_LAG * 2;
        let old = self.holds.values().filter(is_old).count() as u64;
        let shows_old = (report.running + report.waiting) * 2 >= old;
        report.used_tokens <= capacity && shows_old
    }

    /// Records the granted prefill and memory for comparison with later reports.
    fn record_peak(&mut self, now: Instant) {
        let backlog = self.known_backlog();
        self.peak.record(backlog, self.held_tokens, now);
    }

    /// Scales the prefill of old grants down to the reported prefill.
    fn scale_down(&mut self, reported: f64, now: Instant) {
        let holds = &self.holds;
        let is_old = |prefill: &Prefill| {
            let since = holds.get(&prefill.grant).map(|hold| hold.since);
            since.is_some_and(|since| now.saturating_duration_since(since) > REPORT_LAG * 2)
        };
        let old: f64 = self
            .prefills
            .iter()
            .filter(|p| is_old(p))
            .map(|p| p.tokens_left)
            .sum();
        if old <= reported {
            return;
        }
        for prefill in self.prefills.iter_mut().filter(|prefill| is_old(prefill)) {
            prefill.tokens_left *= reported / old;
        }
    }

    /// The granted prefill that is not done yet, in tokens.
    fn known_backlog(&self) -> f64 {
        self.prefills
            .iter()
            .map(|prefill| prefill.tokens_left)
            .sum()
    }

    /// The running total of granted prefill of priorities higher than this one, in tokens.
    fn granted_with_higher_priority(&self, priority: Priority) -> f64 {
        let above = self
            .granted_prefill
            .iter()
            .filter(|(other, _)| **other < priority);
        above.map(|(_, granted)| granted).sum()
    }
}

/// Converts a fractional number of tokens to whole tokens, rounded down. Negative numbers and NaN
/// give 0.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the cast from a float saturates"
)]
#[allow(clippy::cast_sign_loss, reason = "never negative")]
fn tokens_from_f64(tokens: f64) -> Tokens {
    Tokens(tokens as u64)
}

//! The ledger of one upstream: memory that is promised, and prefill that is not done yet.
//!
//! Load it answers: hosts that pick at the same moment, and reports that lag. The home adds up what
//! it granted itself, so it knows before any report does; reports only correct it. Without it, all
//! pick the upstream that was idle a second ago, and a prompt is sent where its memory is not.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::Hold;
use crate::decide::Lane;
use crate::decide::Peak;
use crate::decide::Prefill;
use crate::decide::SpeedEstimate;
use crate::decide::WorkRate;
use crate::decide::is_heavy;
use crate::decide::placement::duration_from_secs;
use crate::units::GrantId;
use crate::units::Priority;
use crate::units::Tokens;
use crate::upstream::LoadReport;

/// Reports are taken to be this old.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// What a report shows beyond the ledger is believed up to this much prefill, and for half of the
/// memory, so that a wrong report cannot shut an upstream out.
const UNKNOWN_PREFILL_MAX: Duration = Duration::from_secs(3);
const UNKNOWN_MEMORY_PART: f64 = 0.5;

/// The memory of how much short prefill an engine gets: some dozens of short prompts.
const SHORT_MEMORY: Duration = Duration::from_secs(5);
/// A long prefill may take this part longer than reckoned. Until then short prompts count it as still
/// going on: to meet it costs them more than to avoid an idle engine.
const TAIL_PART: f64 = 0.1;
/// Longer is as good as never.
const TIME_MAX: Duration = Duration::from_secs(86_400);

/// What one upstream has been given and has not ended.
#[derive(Debug)]
pub struct UpstreamLedger {
    /// How fast it reads prompts.
    pub speed: SpeedEstimate,
    holds: IndexMap<GrantId, Hold>,
    /// In the order in which engines work: by rank, then by arrival.
    prefills: Vec<Prefill>,
    short_rate: WorkRate,
    /// Until when a long prefill that should have ended may still go on.
    tail_until: Option<Instant>,
    held_tokens: Tokens,
    /// Memory kept for a gang that waits.
    reserved_tokens: Tokens,
    unknown_tokens: Tokens,
    unknown_prefill: f64,
    excess_before: Option<(f64, Tokens)>,
    peak: Peak,
    /// All prefill ever granted here, by rank.
    granted_prefill: IndexMap<Priority, f64>,
    suspects: usize,
    advanced_at: Instant,
}

impl UpstreamLedger {
    /// A ledger without entries.
    pub fn new(speed: SpeedEstimate, now: Instant) -> Self {
        Self {
            speed,
            holds: IndexMap::new(),
            prefills: Vec::new(),
            short_rate: WorkRate::new(SHORT_MEMORY),
            tail_until: None,
            held_tokens: Tokens::ZERO,
            reserved_tokens: Tokens::ZERO,
            unknown_tokens: Tokens::ZERO,
            unknown_prefill: 0.0,
            excess_before: None,
            peak: Peak::new(now),
            granted_prefill: IndexMap::new(),
            suspects: 0,
            advanced_at: now,
        }
    }

    /// Lets prefill go on until `now`.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_at);
        if elapsed.is_zero() {
            return;
        }
        self.advanced_at = self.advanced_at.max(now);
        let mut budget = elapsed.as_secs_f64() * self.speed.get();
        let unknown = self.unknown_prefill.min(budget);
        self.unknown_prefill -= unknown;
        budget -= unknown;
        let mut done = 0;
        for prefill in &mut self.prefills {
            let step = prefill.left.min(budget);
            prefill.left -= step;
            budget -= step;
            if prefill.left > 0.0 {
                break;
            }
            done += 1;
        }
        let ended = self.prefills.drain(..done);
        for long in ended.filter(|prefill| prefill.lane == Lane::Long) {
            let since = self.holds.get(&long.grant).map_or(now, |hold| hold.since);
            let took = now.saturating_duration_since(since);
            self.tail_until = Some(now + took.mul_f64(TAIL_PART));
        }
    }

    /// Enters a grant with its prefill.
    pub fn hold(&mut self, grant: GrantId, mut hold: Hold, prefill: f64) {
        self.release(&grant);
        let ahead = |p: &&Prefill| p.rank <= hold.rank;
        let ahead_before: f64 = self.prefills.iter().filter(ahead).map(|p| p.left).sum();
        hold.ahead_before = ahead_before + self.unknown_prefill;
        hold.higher_mark = self.granted_above(hold.rank);
        *self.granted_prefill.entry(hold.rank).or_default() += prefill;
        if prefill > 0.0 {
            let place = self.prefills.partition_point(|p| p.rank <= hold.rank);
            let prefill = Prefill {
                grant,
                rank: hold.rank,
                lane: hold.lane,
                is_heavy: is_heavy(hold.prefill_tokens),
                left: prefill + self.start_tokens(),
            };
            self.prefills.insert(place, prefill);
        }
        if hold.lane == Lane::Short {
            self.short_rate.add(prefill, hold.since);
        }
        self.held_tokens += hold.memory_tokens;
        self.suspects += usize::from(hold.is_suspect);
        let now = hold.since;
        self.holds.insert(grant, hold);
        self.note_peak(now);
    }

    /// What beginning costs an engine that does no prefill, in tokens that it could have read.
    fn start_tokens(&self) -> f64 {
        if self.prefills.is_empty() {
            self.speed.overhead().as_secs_f64() * self.speed.get()
        } else {
            0.0
        }
    }

    /// Ends a grant. Its prefill, if any was left, is over.
    pub fn release(&mut self, grant: &GrantId) -> Option<Hold> {
        let hold = self.holds.swap_remove(grant)?;
        self.prefills.retain(|prefill| prefill.grant != *grant);
        self.held_tokens = self.held_tokens.saturating_sub(hold.memory_tokens);
        self.suspects -= usize::from(hold.is_suspect);
        Some(hold)
    }

    /// The prefill of others that engines do before this hold's is done: what they had, and what
    /// came later with a higher rank.
    pub fn prefill_ahead_of(&self, hold: &Hold) -> f64 {
        let higher = self.granted_above(hold.rank) - hold.higher_mark;
        hold.ahead_before + higher.max(0.0)
    }

    /// Memory that is promised to nobody.
    pub fn free_tokens(&self, capacity: Tokens) -> Tokens {
        let cap = capacity.as_f64() * UNKNOWN_MEMORY_PART;
        let unknown = self.unknown_tokens.as_f64().min(cap);
        let taken = self.held_tokens + self.reserved_tokens + tokens_from_f64(unknown);
        capacity.saturating_sub(taken)
    }

    /// Memory that is held now, without what is kept for a gang.
    pub fn held_tokens(&self) -> Tokens {
        self.held_tokens
    }

    /// Keeps memory for a gang that waits; zero gives it back.
    pub fn reserve(&mut self, tokens: Tokens) {
        self.reserved_tokens = tokens;
    }

    /// Whether memory is kept for a gang that waits.
    pub fn is_reserved(&self) -> bool {
        self.reserved_tokens > Tokens::ZERO
    }

    /// Whether it runs a request that another upstream failed before.
    pub fn has_suspect(&self) -> bool {
        self.suspects > 0
    }

    /// Prefill that is not done yet, in tokens.
    pub fn backlog(&self) -> f64 {
        self.known_backlog() + self.unknown_prefill
    }

    /// The part of its time that short prefill has taken lately.
    pub fn short_part(&self, now: Instant) -> f64 {
        (self.short_rate.get(now) / self.speed.get()).min(1.0)
    }

    /// Prefill that reports show and no grant explains.
    pub fn unknown_prefill(&self) -> f64 {
        self.unknown_prefill
    }

    /// Prefill of one lane that is not done yet, in tokens.
    pub fn lane_backlog(&self, lane: Lane) -> f64 {
        let of_lane = self.prefills.iter().filter(|prefill| prefill.lane == lane);
        of_lane.map(|prefill| prefill.left).sum()
    }

    /// How many long prefills go on, and how many of them are heavy.
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

    /// The work done here until a new prefill ends, its own included: all that goes before it, and
    /// of what goes after it as much again, since engines finish a chunk that they have begun.
    pub fn work_until(&self, prefill: f64, rank: Priority) -> f64 {
        let beside = |other: &Prefill| {
            if other.rank <= rank {
                other.left
            } else {
                other.left.min(prefill)
            }
        };
        let others: f64 = self.prefills.iter().map(beside).sum();
        let is_tail = self
            .tail_until
            .is_some_and(|until| self.advanced_at < until);
        let tail = if is_tail { prefill } else { 0.0 };
        prefill + others + tail + self.unknown_prefill.min(prefill)
    }

    /// How long a new prefill takes here, from now to the first token.
    pub fn first_token_time(&self, prefill: f64, rank: Priority) -> Duration {
        let seconds = self.work_until(prefill, rank) / self.speed.get();
        duration_from_secs(seconds)
            .saturating_add(self.speed.overhead())
            .min(TIME_MAX)
    }

    /// The holds.
    pub fn holds(&self) -> &IndexMap<GrantId, Hold> {
        &self.holds
    }

    /// Corrects the ledger by a lagging report.
    ///
    /// The report is compared with the most that the ledger showed lately, since it may be of any
    /// moment in that time. What it shows beyond that counts only when two in a row show it. What it
    /// lacks counts only against grants older than the lag, which it must have seen.
    pub fn apply_report(&mut self, report: &LoadReport, capacity: Tokens, now: Instant) {
        self.advance(now);
        self.note_peak(now);
        if !self.is_plausible(report, capacity, now) {
            self.excess_before = None;
            return;
        }
        let reported = report.prefill_backlog_tokens.as_f64();
        let (prefill_peak, memory_peak) = self.peak.most();
        let excess = (reported - prefill_peak).max(0.0);
        let memory_excess = report.used_tokens.saturating_sub(memory_peak);
        let before = self.excess_before.replace((excess, memory_excess));
        let (excess_before, memory_before) = before.unwrap_or_default();
        let cap = UNKNOWN_PREFILL_MAX.as_secs_f64() * self.speed.get();
        self.unknown_prefill = excess.min(excess_before).min(cap);
        self.unknown_tokens = memory_excess.min(memory_before);
        self.scale_down(reported, now);
    }

    /// A report that holds more than the engine has, or shows nothing of attempts that run for long,
    /// is wrong and not only late.
    fn is_plausible(&self, report: &LoadReport, capacity: Tokens, now: Instant) -> bool {
        let is_old = |hold: &&Hold| now.saturating_duration_since(hold.since) > REPORT_LAG * 2;
        let old = self.holds.values().filter(is_old).count() as u64;
        let shows_old = (report.running + report.waiting) * 2 >= old;
        report.used_tokens <= capacity && shows_old
    }

    fn note_peak(&mut self, now: Instant) {
        let backlog = self.known_backlog();
        self.peak.note(backlog, self.held_tokens, now);
    }

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
            .map(|p| p.left)
            .sum();
        if old <= reported {
            return;
        }
        for prefill in self.prefills.iter_mut().filter(|prefill| is_old(prefill)) {
            prefill.left *= reported / old;
        }
    }

    fn known_backlog(&self) -> f64 {
        self.prefills.iter().map(|prefill| prefill.left).sum()
    }

    fn granted_above(&self, rank: Priority) -> f64 {
        let above = self
            .granted_prefill
            .iter()
            .filter(|(other, _)| **other < rank);
        above.map(|(_, granted)| granted).sum()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "a float saturates when it becomes a whole number"
)]
#[allow(clippy::cast_sign_loss, reason = "never negative")]
fn tokens_from_f64(tokens: f64) -> Tokens {
    Tokens(tokens as u64)
}

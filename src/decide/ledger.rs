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
use crate::decide::SpeedEstimate;
use crate::decide::is_heavy;
use crate::units::GrantId;
use crate::units::Priority;
use crate::units::Tokens;
use crate::upstream::LoadReport;

/// Reports are taken to be this old.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// What a report shows beyond the ledger is believed up to this much prefill, and for half of the
/// memory, so that a wrong report cannot shut an upstream out.
const UNKNOWN_PREFILL_MAX: Duration = Duration::from_secs(10);
const UNKNOWN_MEMORY_PART: f64 = 0.5;

/// What one upstream has been given and has not ended.
#[derive(Debug)]
pub struct UpstreamLedger {
    /// How fast it reads prompts.
    pub speed: SpeedEstimate,
    holds: IndexMap<GrantId, Hold>,
    held_tokens: Tokens,
    /// Memory kept for a gang that waits.
    reserved_tokens: Tokens,
    unknown_tokens: Tokens,
    unknown_prefill: f64,
    excess_before: Option<(f64, Tokens)>,
    /// All prefill ever granted here.
    granted_prefill: f64,
    advanced_at: Instant,
}

impl UpstreamLedger {
    /// A ledger without entries.
    pub fn new(speed: SpeedEstimate, now: Instant) -> Self {
        Self {
            speed,
            holds: IndexMap::new(),
            held_tokens: Tokens::ZERO,
            reserved_tokens: Tokens::ZERO,
            unknown_tokens: Tokens::ZERO,
            unknown_prefill: 0.0,
            excess_before: None,
            granted_prefill: 0.0,
            advanced_at: now,
        }
    }

    /// Lets prefill go on until `now`, in the order in which engines work: by rank, then by arrival.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_at);
        self.advanced_at = self.advanced_at.max(now);
        let mut budget = elapsed.as_secs_f64() * self.speed.get();
        let unknown = self.unknown_prefill.min(budget);
        self.unknown_prefill -= unknown;
        budget -= unknown;
        while budget > 0.0 {
            let prefilling = self.holds.values_mut().filter(|hold| hold.is_prefilling());
            let Some(first) = prefilling.min_by_key(|hold| (hold.rank, hold.since)) else {
                break;
            };
            let step = first.prefill_left.min(budget);
            first.prefill_left -= step;
            budget -= step;
        }
    }

    /// Enters a grant.
    pub fn hold(&mut self, grant: GrantId, mut hold: Hold) {
        hold.backlog_before = self.backlog();
        self.granted_prefill += hold.prefill_left;
        hold.granted_mark = self.granted_prefill;
        self.held_tokens += hold.memory_tokens;
        if let Some(old) = self.holds.insert(grant, hold) {
            self.held_tokens = self.held_tokens.saturating_sub(old.memory_tokens);
        }
    }

    /// Ends a grant. Its prefill, if any was left, is over.
    pub fn release(&mut self, grant: &GrantId) -> Option<Hold> {
        let hold = self.holds.swap_remove(grant)?;
        self.held_tokens = self.held_tokens.saturating_sub(hold.memory_tokens);
        Some(hold)
    }

    /// The prefill of others that the upstream may have done while this hold's went on.
    pub fn others_prefill(&self, hold: &Hold) -> f64 {
        hold.backlog_before + (self.granted_prefill - hold.granted_mark).max(0.0)
    }

    /// Memory that is promised to nobody.
    pub fn free_tokens(&self, capacity: Tokens) -> Tokens {
        let cap = capacity.as_f64() * UNKNOWN_MEMORY_PART;
        let unknown = self.unknown_tokens.as_f64().min(cap);
        let taken = self.held_tokens + self.reserved_tokens + whole(unknown);
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

    /// Prefill that is not done yet, in tokens.
    pub fn backlog(&self) -> f64 {
        let known: f64 = self.holds.values().map(|hold| hold.prefill_left).sum();
        known + self.unknown_prefill
    }

    /// Prefill of one lane that is not done yet, in tokens.
    pub fn lane_backlog(&self, lane: Lane) -> f64 {
        let of_lane = self.holds.values().filter(|hold| hold.lane == lane);
        of_lane.map(|hold| hold.prefill_left).sum()
    }

    /// How many long prefills go on, and how many of them are heavy.
    pub fn long_prefills(&self) -> (usize, usize) {
        let long = self
            .holds
            .values()
            .filter(|hold| hold.lane == Lane::Long && hold.is_prefilling());
        let heavy = long.clone().filter(|hold| is_heavy(hold.prefill_tokens));
        (long.count(), heavy.count())
    }

    /// The work done here until a new prefill ends, its own included: all that goes before it, and
    /// of what goes after it as much again, since engines finish a chunk that they have begun.
    pub fn work_until(&self, prefill: f64, rank: Priority) -> f64 {
        let beside = |hold: &Hold| {
            if hold.rank <= rank {
                hold.prefill_left
            } else {
                hold.prefill_left.min(prefill)
            }
        };
        let others: f64 = self.holds.values().map(beside).sum();
        prefill + others + self.unknown_prefill.min(prefill)
    }

    /// The holds.
    pub fn holds(&self) -> &IndexMap<GrantId, Hold> {
        &self.holds
    }

    /// Corrects the ledger by a lagging report.
    ///
    /// What a report shows in excess counts only when two in a row show it, since one may have been
    /// made before the ledger's latest releases. What it lacks counts only against grants older than
    /// the lag, since it may have been made before the others.
    pub fn correct(&mut self, report: &LoadReport, now: Instant) {
        self.advance(now);
        let lag_work = REPORT_LAG.as_secs_f64() * self.speed.get();
        let reported = report.prefill_backlog_tokens.as_f64();
        let known: f64 = self.holds.values().map(|hold| hold.prefill_left).sum();
        let excess = (reported - known - lag_work).max(0.0);
        let memory_excess = report.used_tokens.saturating_sub(self.held_tokens);
        let (excess_before, memory_before) = self
            .excess_before
            .replace((excess, memory_excess))
            .unwrap_or_default();
        let cap = UNKNOWN_PREFILL_MAX.as_secs_f64() * self.speed.get();
        self.unknown_prefill = excess.min(excess_before).min(cap);
        self.unknown_tokens = memory_excess.min(memory_before);
        self.scale_down(reported, now);
    }

    fn scale_down(&mut self, reported: f64, now: Instant) {
        let is_old = |hold: &Hold| now.saturating_duration_since(hold.since) > REPORT_LAG * 2;
        let old: f64 = self
            .holds
            .values()
            .filter(|hold| is_old(hold))
            .map(|hold| hold.prefill_left)
            .sum();
        if old <= reported {
            return;
        }
        let ratio = reported / old;
        for hold in self.holds.values_mut().filter(|hold| is_old(hold)) {
            hold.prefill_left *= ratio;
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "a float saturates when it becomes a whole number"
)]
#[allow(clippy::cast_sign_loss, reason = "never negative")]
fn whole(tokens: f64) -> Tokens {
    Tokens(tokens as u64)
}

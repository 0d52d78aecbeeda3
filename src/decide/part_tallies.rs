//! How often tries with a part of a prompt end their upstreams, and how often not.
//!
//! That a request with a part was answered shows that this try was harmless, not that the part is: of
//! a part that crashes upstreams, some tries may be served. What tells it from parts that only ran
//! beside crashes is that more upstreams end under it than the losses of other calls explain.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::CallCounts;
use crate::decide::PartTries;
use crate::decide::RequestPart;
use crate::decide::part_losses::PartLosses;
use crate::units::CrashId;
use crate::units::TellerId;

/// The number of crashes from which on requests with a part may reach few upstreams. With fewer, a
/// part is refused only if no request with it was served.
pub(crate) const COUNTED_CRASHES_MIN: usize = 5;
/// The number of different requests that must have been lost with the part. The repeats of one request
/// are counted for the request as a whole.
const REQUESTS_MIN: usize = 3;
/// The largest number of tries for each crash under a part that crashes upstreams.
const TRIES_PER_CRASH_MAX: usize = 8;
/// The number of other calls for each try. What many calls have in common is not told from the others by
/// the few that lack it, and its refusal would be an outage.
const OTHERS_PER_TRY_MIN: usize = 4;
/// The negative logarithm of the probability up to which so many crashes count as chance.
const SURPRISE_MIN: f64 = 8.0;
/// The same where crashes after the ends of calls count as well: many calls have ended at an upstream
/// shortly before it does.
const SURPRISE_MIN_AFTER_END: f64 = 10.0;
/// Other calls that are presumed beside those that are known, and the losses among them: few calls say
/// little of the share that is lost.
const PRESUMED_CALLS: f64 = 10.0;
const PRESUMED_LOSSES: f64 = 2.0;
/// The number of crashes from which on hosts tell each other how many tries with a part were served.
const TOLD_CRASHES_MIN: usize = 2;
/// The number of crashes that are kept for one part.
const CRASHES_MAX: usize = 64;
/// The number of parts that are counted. Those that were lost longest ago are forgotten.
const PARTS_MAX: usize = 1_024;
/// The number of hosts whose counts are kept for one part.
const TELLERS_MAX: usize = 1_024;

/// The tries with one part since the first loss with it was known.
#[derive(Clone, Debug, Default)]
struct PartTally {
    /// All calls of this host by then.
    calls_before: CallCounts,
    /// The calls of this host without the part whose upstreams have ended since, soon after the calls.
    others_lost_after_end: u32,
    /// The calls of this host with the part.
    own: CallCounts,
    /// The calls of this host with the part that were served, and those of them whose upstreams ended
    /// soon afterwards.
    served: u32,
    served_and_lost: u32,
    /// What other hosts have seen.
    told: IndexMap<TellerId, PartTries>,
    /// The crashes in which calls with the part were lost, at any host.
    crashes: IndexSet<CrashId>,
    /// The number of crashes for which the counts were last logged.
    logged_crashes: usize,
}

impl PartTally {
    /// The tries that were served, and those of them whose upstreams ended soon afterwards, at all hosts.
    fn served(&self) -> (usize, usize) {
        let told = self.told.values();
        let told = told.map(|told| (told.served, told.lost_after_end));
        let own = (self.served, self.served_and_lost);
        let (served, lost) = told.fold(own, |sum, told| {
            (sum.0.saturating_add(told.0), sum.1.saturating_add(told.1))
        });
        let count = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
        (count(served), count(lost))
    }

    /// Of all calls of this host, those without the part since its first loss.
    fn own_others(&self, calls: CallCounts) -> CallCounts {
        CallCounts {
            lost_after_end: self.others_lost_after_end,
            ..calls.since(self.calls_before).since(self.own)
        }
    }

    /// The largest number of tries that others are told of: more than show that the part is harmless.
    fn served_told_max(&self) -> u32 {
        let tries = self.crashes.len().saturating_mul(2 * TRIES_PER_CRASH_MAX);
        u32::try_from(tries).unwrap_or(u32::MAX)
    }
}

/// What the counts of the tries with a part say of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartCount {
    /// The part.
    pub part: RequestPart,
    /// The crashes in which calls with it were lost.
    pub crashes: usize,
    /// The tries with it that were served.
    pub survivals: usize,
    /// The crashes that would have lost calls with it by chance, if it caused none.
    pub expected: f64,
    /// Whether the part is taken for what crashes the upstreams.
    pub is_cause: bool,
}

/// The counts of the parts with which calls were lost.
#[derive(Debug, Default)]
pub(crate) struct PartTallies {
    calls: CallCounts,
    tallies: IndexMap<RequestPart, PartTally>,
}

impl PartTallies {
    /// Records that a call with these parts was lost in a crash, at any host. From then on the tries with
    /// them are counted.
    pub(crate) fn on_crash(&mut self, parts: &[RequestPart], crash: CrashId) {
        for part in parts.iter().filter(|part| !part.is_whole()) {
            let mut tally = self
                .tallies
                .shift_remove(part)
                .unwrap_or_else(|| PartTally {
                    calls_before: self.calls,
                    ..PartTally::default()
                });
            if tally.crashes.len() < CRASHES_MAX {
                tally.crashes.insert(crash);
            }
            if self.tallies.len() >= PARTS_MAX {
                self.tallies.shift_remove_index(0);
            }
            self.tallies.insert(*part, tally);
        }
    }

    /// Records that a call of this host with these parts has ended. `is_served` says whether it shows that
    /// the try was harmless, unless the upstream ends soon.
    pub(crate) fn on_ended(&mut self, parts: &[RequestPart], is_served: bool) {
        // Calls without a prompt run on other upstreams.
        if parts.is_empty() {
            return;
        }
        self.calls.ended = self.calls.ended.saturating_add(1);
        for part in parts {
            if let Some(tally) = self.tallies.get_mut(part) {
                tally.own.ended = tally.own.ended.saturating_add(1);
                tally.served = tally.served.saturating_add(u32::from(is_served));
            }
        }
    }

    /// Records that a call of this host with these parts was lost while it was open.
    pub(crate) fn on_lost_open(&mut self, parts: &[RequestPart]) {
        if !parts.iter().any(|part| !part.is_whole()) {
            return;
        }
        count_lost(&mut self.calls);
        for part in parts {
            if let Some(tally) = self.tallies.get_mut(part) {
                count_lost(&mut tally.own);
            }
        }
    }

    /// Records that a call of this host with these parts had ended when its upstream did. `was_served` says
    /// whether it was recorded as served.
    pub(crate) fn on_lost_after_end(&mut self, parts: &[RequestPart], was_served: bool) {
        if parts.is_empty() {
            return;
        }
        for (part, tally) in &mut self.tallies {
            if parts.contains(part) {
                let lost = tally.served_and_lost.saturating_add(u32::from(was_served));
                tally.served_and_lost = lost.min(tally.served);
            } else {
                let lost = &mut tally.others_lost_after_end;
                *lost = lost.saturating_add(1);
            }
        }
    }

    /// Records what another host has seen of the tries with a part.
    pub(crate) fn on_told(&mut self, told: PartTries) {
        if let Some(tally) = self.tallies.get_mut(&told.part)
            && (tally.told.len() < TELLERS_MAX || tally.told.contains_key(&told.teller))
        {
            tally.told.insert(told.teller, told);
        }
    }

    /// What this host has seen of the tries with each part under which several upstreams have ended.
    pub(crate) fn tries(&self, teller: TellerId) -> impl Iterator<Item = PartTries> {
        let suspected = self.tallies.iter();
        let suspected = suspected.filter(|(_, tally)| tally.crashes.len() >= TOLD_CRASHES_MIN);
        suspected.map(move |(part, tally)| PartTries {
            part: *part,
            teller,
            served: tally.served.min(tally.served_told_max()),
            lost_after_end: tally.served_and_lost.min(tally.served_told_max()),
            others: tally.own_others(self.calls),
        })
    }

    /// Whether the counts of a part are to be logged, which they are each time the crashes have doubled.
    pub(crate) fn take_logged(&mut self, count: &PartCount) -> bool {
        let tally = self.tallies.get_mut(&count.part);
        tally.is_some_and(|tally| {
            let is_due = count.is_cause || count.crashes >= 2 * tally.logged_crashes;
            if is_due {
                tally.logged_crashes = count.crashes;
            }
            is_due
        })
    }

    /// Forgets what is counted of a part, until the next crash under it.
    pub(crate) fn forget(&mut self, part: RequestPart) {
        self.tallies.shift_remove(&part);
    }

    /// What the tries with a part say of it; none if too few upstreams have ended under it.
    pub(crate) fn count(&self, part: RequestPart, losses: &PartLosses) -> Option<PartCount> {
        let tally = self.tallies.get(&part)?;
        let crashes = losses.crashes.len();
        if crashes < COUNTED_CRASHES_MIN || losses.requests < REQUESTS_MIN {
            return None;
        }
        let told = tally.told.values().map(|told| told.others);
        let others = told.fold(tally.own_others(self.calls), CallCounts::plus);
        let lost = others.lost_open.saturating_add(others.lost_after_end);
        let (served, served_and_lost) = tally.served();
        let others_ended = usize::try_from(others.ended).unwrap_or(usize::MAX);
        let is_seldom = others_ended >= (crashes + served) * OTHERS_PER_TRY_MIN;
        let survivals = served.saturating_sub(served_and_lost);
        let share = |lost: u32| {
            let calls = f64::from(others.ended) + PRESUMED_CALLS;
            ((f64::from(lost) + PRESUMED_LOSSES) / calls).min(1.0)
        };
        let open = Outcomes {
            crashes: losses.open_crashes,
            survivals: served,
            all_crashes: losses.all_open_crashes,
            lost_share: share(others.lost_open),
        };
        let all = Outcomes {
            crashes,
            survivals,
            all_crashes: losses.all_crashes,
            lost_share: share(lost),
        };
        Some(PartCount {
            part,
            crashes,
            survivals,
            expected: all.expected(),
            is_cause: is_seldom
                && (open.show_a_cause(SURPRISE_MIN) || all.show_a_cause(SURPRISE_MIN_AFTER_END)),
        })
    }
}

/// How the tries with a part have ended, compared with other calls.
#[derive(Clone, Copy, Debug)]
struct Outcomes {
    /// The crashes in which calls with the part were lost.
    crashes: usize,
    /// The tries with it that were served.
    survivals: usize,
    /// All crashes of this time.
    all_crashes: usize,
    /// The share of the other calls that was lost.
    lost_share: f64,
}

impl Outcomes {
    /// The probability that a crash which the part does not cause loses a call with it.
    fn chance(self) -> f64 {
        let losses = (self.crashes + self.survivals) as f64 * self.lost_share;
        1.0 - (-losses / self.all_crashes.max(1) as f64).exp()
    }

    /// The number of crashes that would have lost calls with the part if it caused none.
    fn expected(self) -> f64 {
        self.all_crashes as f64 * self.chance()
    }

    /// The negative logarithm of a bound on the probability that chance explains as many crashes: the
    /// Chernoff bound of the binomial distribution.
    fn surprise(self) -> f64 {
        let all = self.all_crashes.max(self.crashes).max(1) as f64;
        let share = self.crashes as f64 / all;
        let chance = self.chance();
        if share <= chance {
            return 0.0;
        }
        let of_crashes = share * (share / chance).ln();
        let of_others = if share < 1.0 {
            (1.0 - share) * ((1.0 - share) / (1.0 - chance)).ln()
        } else {
            0.0
        };
        all * (of_crashes + of_others)
    }

    /// Whether the crashes are more than chance explains.
    fn show_a_cause(self, surprise_min: f64) -> bool {
        let is_rarely_lost = self.survivals > self.crashes * (TRIES_PER_CRASH_MAX - 1);
        self.crashes >= COUNTED_CRASHES_MIN && self.surprise() >= surprise_min && !is_rarely_lost
    }
}

fn count_lost(calls: &mut CallCounts) {
    calls.ended = calls.ended.saturating_add(1);
    calls.lost_open = calls.lost_open.saturating_add(1);
}

//! Parts that crash upstreams as the counts of the tries with them show, although some are served.
//!
//! What was found so is not withdrawn when other parts or requests explain the same crashes, or when
//! tries that were on their way are served: only a try that is served after the refusal ends it.

use std::cmp::Reverse;
use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::EndedCall;
use crate::decide::LostCall;
use crate::decide::PartCount;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::RequestPart;
use crate::decide::crash_attribution::Explanation;
use crate::decide::known_crash::KnownCrash;
use crate::decide::part_quarantine::DatedCrash;
use crate::decide::part_quarantine::PART_QUARANTINE_TIMES;
use crate::decide::part_quarantine::is_older_than;
use crate::decide::part_tallies::COUNTED_CRASHES_MIN;
use crate::units::CrashId;

/// The number of counts that are kept until they are taken.
const PART_COUNTS_MAX: usize = 64;

impl PartQuarantine {
    /// Takes what the counts of parts have said since the last time.
    pub fn take_part_counts(&mut self) -> Vec<PartCount> {
        std::mem::take(&mut self.part_counts)
    }

    /// Counts a call of this host that was lost while it was open.
    pub(super) fn count_lost_open(&mut self, parts: &[RequestPart], crash: CrashId) {
        self.tallies.on_crash(parts, crash);
        self.tallies.on_lost_open(parts);
    }

    /// Counts a call of this host that had ended when its upstream did. `was_served` says whether it was
    /// counted as served.
    pub(super) fn count_lost_after_end(&mut self, call: &EndedCall, was_served: bool) {
        self.tallies.on_crash(&call.parts, call.crash);
        self.tallies.on_lost_after_end(&call.parts, was_served);
    }

    /// Adds a lost call, and finds the part of its prompt that crashes upstreams by the counts, if there is
    /// one. Returns what has changed.
    pub(super) fn record_and_count(
        &mut self,
        call: &LostCall,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        self.tallies.on_crash(&call.parts, call.crash);
        let is_new = self.lost_calls.record(call.clone(), crash, &self.served);
        let is_explained = call
            .parts
            .iter()
            .any(|part| self.counted.contains_key(part));
        if !is_new || is_explained {
            return Vec::new();
        }
        let explained = self.counted.values().flatten();
        let explained: IndexSet<CrashId> = explained.map(|(crash, _)| *crash).collect();
        let counted = call.parts.iter().filter_map(|part| {
            let losses = self.lost_calls.losses_with(*part, &explained, now);
            Some((self.tallies.count(*part, &losses)?, losses.crashes))
        });
        let counted: Vec<(PartCount, Vec<DatedCrash>)> = counted.collect();
        let tallies = &mut self.tallies;
        let logged = counted.iter().map(|(count, _)| *count);
        let logged = logged.filter(|count| tallies.take_logged(count));
        self.part_counts.extend(logged);
        self.part_counts.truncate(PART_COUNTS_MAX);
        let causes = counted.into_iter().filter(|(count, _)| count.is_cause);
        let cause = causes.max_by_key(|(count, _)| (count.crashes, Reverse(count.survivals)));
        let Some((count, crashes)) = cause else {
            return Vec::new();
        };
        self.suspect_counted(count.part, crashes, now)
    }

    /// Records the crashes of a part that crashes upstreams although some tries with it are served. Returns
    /// what has changed.
    fn suspect_counted(
        &mut self,
        part: RequestPart,
        crashes: Vec<DatedCrash>,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        for (crash, at) in &crashes {
            let suspect = CrashSuspect {
                crash: *crash,
                parts: vec![part],
            };
            let known = KnownCrash {
                at: *at,
                ..KnownCrash::own(now)
            };
            self.suspects.entry(suspect).or_insert(known);
        }
        self.counted.insert(part, crashes);
        self.evaluate(now)
    }

    /// Applies what another host has told, or what was saved, of a crash under a part that crashes
    /// upstreams although some tries with it are served. Returns what has changed.
    pub(super) fn record_counted(
        &mut self,
        suspect: CrashSuspect,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let [part] = suspect.parts[..] else {
            return self.record_crash(suspect, crash, now);
        };
        let mut changes = self.record_crash(suspect, crash, now);
        if self.counted.contains_key(&part) {
            return changes;
        }
        let suspects = self.suspects.iter();
        let with_part = suspects.filter(|(suspect, _)| suspect.parts == [part]);
        let crashes: Vec<DatedCrash> = with_part
            .map(|(suspect, known)| (suspect.crash, known.at))
            .collect();
        if crashes.len() >= COUNTED_CRASHES_MIN {
            changes.extend(self.suspect_counted(part, crashes, now));
        }
        changes
    }

    /// The explanations of the crashes under the parts that were found by counts.
    pub(super) fn counted_explanations(&self) -> Vec<Explanation> {
        let counted = self.counted.keys();
        let explanations = counted.map(|part| {
            let suspects = self.suspects.iter();
            let with_part = suspects.filter(|(suspect, _)| suspect.parts == [*part]);
            let mut suspects: Vec<(CrashSuspect, Instant)> = with_part
                .map(|(suspect, known)| (suspect.clone(), known.at))
                .collect();
            suspects.sort_by_key(|(_, at)| Reverse(*at));
            Explanation {
                parts: vec![*part],
                suspects,
                crashes_min: COUNTED_CRASHES_MIN,
            }
        });
        explanations
            .filter(|found| !found.suspects.is_empty())
            .collect()
    }

    /// Records that a try with a part was served at this time. It ends what the counts have found if the
    /// try came after the refusal.
    pub(super) fn release_counted(&mut self, part: RequestPart, served_at: Instant) {
        let Some(crashes) = self.counted.get(&part) else {
            return;
        };
        let last = crashes.iter().map(|(_, at)| *at).max();
        if last.is_some_and(|at| is_older_than(at, PART_QUARANTINE_TIMES[0], served_at)) {
            self.counted.shift_remove(&part);
            self.tallies.forget(part);
        }
    }
}

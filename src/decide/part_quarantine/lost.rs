//! Calls that were lost at any point of their answers, and what they tell of the parts of their prompts.

use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::LostCall;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::RequestPart;
use crate::decide::known_crash::KnownCrash;
use crate::units::CrashId;

impl PartQuarantine {
    /// Records a call of this host that was lost with an upstream.
    /// Returns what has changed.
    pub fn on_lost(&mut self, call: &LostCall, now: Instant) -> Vec<QuarantineChange> {
        self.count_lost_open(&call.parts, call.crash);
        let mut changes = self.record_lost(call, KnownCrash::own(now), now);
        changes.extend(self.suspect_ended_calls(call.crash, now));
        changes
    }

    /// Records a suspect, which was lost like any other call, too.
    pub(super) fn record_suspect(
        &mut self,
        suspect: CrashSuspect,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let lost = suspect.lost_call();
        let mut changes = self.record_crash(suspect, crash, now);
        if let Some(call) = lost {
            changes.extend(self.search_causes(&call, crash, now));
        }
        changes
    }

    /// Records a lost call, which is suspected as a whole unless it is a weak suspect.
    pub(super) fn record_lost(
        &mut self,
        call: &LostCall,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if call.is_weak() {
            return self.search_causes(call, crash, now);
        }
        let whole = CrashSuspect::of_request(call.crash, call.request);
        let mut changes = self.record_crash(whole, crash, now);
        changes.extend(self.search_causes(call, crash, now));
        changes
    }

    /// Adds a lost call, and finds those of its parts that crash upstreams. Returns what has changed.
    fn search_causes(
        &mut self,
        call: &LostCall,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if self.alive.contains_key(&call.crash) {
            return Vec::new();
        }
        let mut changes = self.record_and_count(call, crash, now);
        changes.extend(self.suspect_causes(call, call.all_parts(), crash, now));
        changes
    }

    /// Finds those of these parts of a lost call that crash upstreams. From then on they are suspected
    /// like those of calls whose answers had begun. Returns what has changed.
    pub(super) fn suspect_causes(
        &mut self,
        call: &LostCall,
        parts: Vec<RequestPart>,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for suspect in self.known_causes(&parts, call.crash, now) {
            changes.extend(self.record_crash(suspect, crash, now));
        }
        for (suspect, at) in self.likely_causes(call, parts, now) {
            let crash = KnownCrash {
                at,
                ..KnownCrash::own(now)
            };
            self.note_found_after_call(&suspect.parts);
            changes.extend(self.record_crash(suspect, crash, now));
        }
        changes
    }

    /// What of these parts of a lost call has crashed upstreams before, and is refused no longer.
    fn known_causes(
        &self,
        parts: &[RequestPart],
        crash: CrashId,
        now: Instant,
    ) -> Vec<CrashSuspect> {
        let expired = self.quarantined.iter().filter(|known| now >= known.until);
        let of_call = expired.filter(|known| known.parts.iter().all(|part| parts.contains(part)));
        let suspects = of_call.map(|known| CrashSuspect {
            crash,
            parts: known.parts.clone(),
        });
        suspects.collect()
    }

    /// The crashes that some of these parts of a lost call explain, with the parts. Empty if calls with
    /// all of them are refused already.
    fn likely_causes(
        &self,
        call: &LostCall,
        parts: Vec<RequestPart>,
        now: Instant,
    ) -> Vec<(CrashSuspect, Instant)> {
        if self.find(&call.all_parts(), now).is_some() {
            return Vec::new();
        }
        let explained: IndexSet<CrashId> = self.explained.iter().map(|s| s.crash).collect();
        let is_explained = |call: &LostCall| {
            explained.contains(&call.crash) || self.find(&call.parts, now).is_some()
        };
        self.lost_calls
            .find_causes(parts, &self.served, is_explained, now)
    }
}

//! Calls that were lost at any point of their answers, and what they tell of the parts of their prompts.

use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::LostCall;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::known_crash::KnownCrash;
use crate::units::CrashId;

impl PartQuarantine {
    /// Records a call of this host that was lost before the head of its answer or after an event.
    /// Returns what has changed.
    pub fn on_lost(&mut self, call: &LostCall, now: Instant) -> Vec<QuarantineChange> {
        self.record_lost(call, KnownCrash::own(now), now)
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

    /// Records a lost call, which is suspected as a whole unless events of its answer were received.
    pub(super) fn record_lost(
        &mut self,
        call: &LostCall,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if call.is_mid_stream {
            return self.search_causes(call, crash, now);
        }
        let whole = CrashSuspect::of_request(call.crash, call.request);
        let mut changes = self.record_crash(whole, crash, now);
        changes.extend(self.search_causes(call, crash, now));
        changes
    }

    /// Adds a lost call, and finds those of its parts that crash upstreams. From then on they are
    /// suspected like those of calls whose answers had begun. Returns what has changed.
    fn search_causes(
        &mut self,
        call: &LostCall,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if self.alive.contains_key(&call.crash) {
            return Vec::new();
        }
        self.lost_calls.record(call.clone(), crash, &self.served);
        let mut changes = Vec::new();
        for suspect in self.known_causes(call, now) {
            changes.extend(self.record_crash(suspect, crash, now));
        }
        for (suspect, at) in self.likely_causes(call, now) {
            let crash = KnownCrash {
                at,
                ..KnownCrash::own(now)
            };
            changes.extend(self.record_crash(suspect, crash, now));
        }
        changes
    }

    /// What of a lost call has crashed upstreams before, and is refused no longer.
    fn known_causes(&self, call: &LostCall, now: Instant) -> Vec<CrashSuspect> {
        let parts = call.all_parts();
        let expired = self.quarantined.iter().filter(|known| now >= known.until);
        let of_call = expired.filter(|known| known.parts.iter().all(|part| parts.contains(part)));
        let suspects = of_call.map(|known| CrashSuspect {
            crash: call.crash,
            parts: known.parts.clone(),
        });
        suspects.collect()
    }

    /// The crashes that some parts of this lost call explain, with these parts. Empty if calls with them
    /// are refused already.
    fn likely_causes(&self, call: &LostCall, now: Instant) -> Vec<(CrashSuspect, Instant)> {
        if self.find(&call.all_parts(), now).is_some() {
            return Vec::new();
        }
        let explained: IndexSet<CrashId> = self.explained.iter().map(|s| s.crash).collect();
        let is_explained = |call: &LostCall| {
            explained.contains(&call.crash) || self.find(&call.parts, now).is_some()
        };
        self.lost_calls
            .find_causes(call, &self.served, is_explained, now)
    }
}

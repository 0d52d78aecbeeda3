//! Calls that have ended at upstreams which end soon afterwards.
//!
//! A call counts as harmless only once its upstream has lived on for some time after it. Until then it
//! is a suspect of the end of that upstream, however the call itself has ended.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::CallEnd;
use crate::decide::EndedCall;
use crate::decide::LostCall;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::RequestPart;
use crate::decide::ended_calls::KeptCall;
use crate::decide::known_crash::KnownCrash;
use crate::units::CrashId;
use crate::units::RequestHash;

/// How long after the end of an upstream the calls that had ended there are judged.
const JUDGED_AFTER: Duration = Duration::from_secs(1);

/// Calls that had ended at an upstream when it did.
#[derive(Debug)]
pub(super) struct UnjudgedCalls {
    lost: Vec<LostCall>,
    /// How long the upstream lived on after the last call with each part.
    lived_after: IndexMap<RequestPart, Duration>,
    crash: KnownCrash,
    due_at: Instant,
}

impl PartQuarantine {
    /// Records that a call of this host has ended at an upstream. Returns what has changed.
    pub fn on_call_ended(&mut self, call: EndedCall, now: Instant) -> Vec<QuarantineChange> {
        let expired = self.ended_calls.take_expired(now);
        let mut changes = self.clear_calls(expired, now);
        changes.extend(self.record_answer(&call, now));
        let has_ended = self.ended.contains_key(&call.crash);
        let is_served = call.end == CallEnd::Succeeded && !has_ended;
        self.tallies.on_ended(&call.parts, is_served);
        if has_ended {
            self.count_lost_after_end(&call, false);
            let lost = vec![(call.into_lost(), now)];
            changes.extend(self.suspect_after_end(lost, KnownCrash::own(now), now));
        } else {
            self.ended_calls.push(call, now);
        }
        changes.extend(self.judge_due(now));
        changes
    }

    /// Records that this host has found an upstream to have ended, whose crash has this id. Returns what
    /// has changed.
    pub fn on_upstream_ended(&mut self, crash: CrashId, now: Instant) -> Vec<QuarantineChange> {
        self.record_end(crash, KnownCrash::own(now), now)
    }

    /// Records the end of an upstream, and suspects the calls of this host that have ended there. Returns
    /// what has changed.
    pub(super) fn record_end(
        &mut self,
        crash: CrashId,
        end: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        self.expire(now);
        if self.alive.contains_key(&crash) {
            return Vec::new();
        }
        self.ended.entry(crash).or_insert(end);
        self.suspect_ended_calls(crash, now)
    }

    /// Suspects the calls of this host that have ended at an upstream which has crashed. Returns what has
    /// changed.
    pub(super) fn suspect_ended_calls(
        &mut self,
        crash: CrashId,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let calls = self.ended_calls.take_of(crash);
        for KeptCall { call, .. } in &calls {
            let was_served = call.end == CallEnd::Succeeded;
            self.count_lost_after_end(call, was_served);
        }
        let calls = calls.into_iter();
        let calls = calls.map(|kept| (kept.call.into_lost(), kept.ended_at));
        let mut changes = self.suspect_after_end(calls.collect(), KnownCrash::own(now), now);
        changes.extend(self.judge_due(now));
        changes
    }

    /// Suspects calls that had ended, at these times and in their order, when their upstream did. Returns
    /// what has changed.
    pub(super) fn suspect_after_end(
        &mut self,
        calls: Vec<(LostCall, Instant)>,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        let lived = |ended_at: Instant| crash.at.saturating_duration_since(ended_at);
        let mut lived_after: IndexMap<RequestPart, Duration> = IndexMap::new();
        let mut lost = Vec::new();
        for (call, ended_at) in calls {
            if self.alive.contains_key(&call.crash) {
                continue;
            }
            let parts = call.all_parts().into_iter();
            lived_after.extend(parts.map(|part| (part, lived(ended_at))));
            changes.extend(self.record_and_count(&call, crash, now));
            lost.push(call);
        }
        if !lost.is_empty() {
            self.unjudged.push_back(UnjudgedCalls {
                lost,
                lived_after,
                crash,
                due_at: now + JUDGED_AFTER,
            });
        }
        changes
    }

    /// Finds causes among the calls that had ended before their upstreams, once calls that were lost with
    /// these have shown what they do. Returns what has changed.
    pub(super) fn judge_due(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        while let Some(due) = self.unjudged.pop_front_if(|calls| calls.due_at <= now) {
            for call in &due.lost {
                let mut parts = call.all_parts();
                parts.retain(|part| {
                    let lived = due.lived_after.get(part).copied().unwrap_or_default();
                    !self.ended_calls.has_survived(*part, lived)
                });
                changes.extend(self.suspect_causes(call, parts, due.crash, now));
            }
        }
        changes
    }

    /// The requests that may have crashed an upstream after their calls had ended.
    pub fn suspected_in(&self, crash: CrashId) -> impl Iterator<Item = RequestHash> {
        self.lost_calls.weak_requests_in(crash)
    }

    /// Records that an upstream has answered a call that was sent at `sent_at`: calls that had ended there
    /// long before have not crashed it. Returns what has changed.
    pub(super) fn on_life_sign(
        &mut self,
        crash: CrashId,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let is_outdated = |end: &KnownCrash| end.at < sent_at;
        if self.ended.get(&crash).is_some_and(is_outdated) {
            self.ended.swap_remove(&crash);
        }
        let survived = self.ended_calls.take_survived(crash, sent_at);
        self.clear_calls(survived, now)
    }
}

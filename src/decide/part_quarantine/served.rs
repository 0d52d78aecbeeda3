//! What clears requests and their parts: answers, and upstreams that have lived on after them.

use std::time::Instant;

use crate::decide::CallEnd;
use crate::decide::EndedCall;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::RequestPart;
use crate::decide::ended_calls::KeptCall;
use crate::decide::part_quarantine::Release;
use crate::units::RequestHash;

impl PartQuarantine {
    /// Records that a request of this host with these parts was served to its end, by an upstream that
    /// has lived on. Returns what has changed.
    pub fn on_served(&mut self, parts: &[RequestPart], now: Instant) -> Vec<QuarantineChange> {
        self.lost_calls.on_served(now);
        self.tallies.on_ended(parts, true);
        self.record_survived(parts, now, now)
    }

    /// Records that a request with these parts was served at `served_at` by an upstream that has lived on.
    fn record_survived(
        &mut self,
        parts: &[RequestPart],
        served_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        for part in parts {
            self.served.on_survived(*part, served_at);
            self.release_counted(*part, served_at);
        }
        if parts.is_empty() {
            return Vec::new();
        }
        let changes = self.evaluate_if_suspected(parts, now);
        for change in &changes {
            if let QuarantineChange::Ended(ended) = change {
                let released = ended.parts.iter().filter(|part| parts.contains(part));
                let release = Release {
                    served_at,
                    known_at: now,
                };
                self.released.extend(released.map(|part| (*part, release)));
            }
        }
        changes
    }

    /// Records that an upstream has answered this request of this host to its end, and has lived on.
    /// Unlike parts of a prompt, the request as a whole is cleared by a failure too. Returns what has
    /// changed.
    pub fn on_answered(&mut self, request: RequestHash, now: Instant) -> Vec<QuarantineChange> {
        self.record_survived_request(request, now, now)
    }

    /// The same for an answer at `answered_at`.
    fn record_survived_request(
        &mut self,
        request: RequestHash,
        answered_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let part = RequestPart::Whole(request);
        if !self.is_suspected(&[part]) && !self.lost_calls.has_weak_of(request) {
            return Vec::new();
        }
        if self.has_crashed_since(part, answered_at) {
            return Vec::new();
        }
        self.served.on_survived(part, answered_at);
        // Other hosts may have lost the request as often.
        let release = Release {
            served_at: answered_at,
            known_at: now,
        };
        self.released.insert(part, release);
        self.evaluate(now)
    }

    /// Whether a request as a whole is quarantined because of a crash after this time. What was answered
    /// before does not count against that, however late it is known.
    pub(super) fn has_crashed_since(&self, part: RequestPart, served_at: Instant) -> bool {
        let mut causes = self.causes.iter();
        part.is_whole()
            && causes.any(|(parts, crashes)| {
                let last = crashes.first();
                parts.contains(&part) && last.is_some_and(|(_, at)| *at >= served_at)
            })
    }

    /// Records the answer to a call, which clears the call of crashes that happen while upstreams run it.
    /// Returns what has changed.
    pub(super) fn record_answer(
        &mut self,
        call: &EndedCall,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if call.end == CallEnd::Succeeded {
            self.lost_calls.on_served(now);
        }
        let parts = call.answered_parts();
        for part in &parts {
            self.served.on_answered(*part, now);
        }
        self.evaluate_if_suspected(&parts, now)
    }

    /// Clears calls of which the upstreams have lived on, by the times at which they ended. Returns what
    /// has changed.
    pub(super) fn clear_calls(
        &mut self,
        calls: Vec<KeptCall>,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for KeptCall { call, ended_at, .. } in calls {
            if call.end == CallEnd::Succeeded {
                changes.extend(self.record_survived(&call.parts, ended_at, now));
            }
            if call.end != CallEnd::Unanswered {
                let request = call.request;
                changes.extend(self.record_survived_request(request, ended_at, now));
            }
        }
        changes
    }
}

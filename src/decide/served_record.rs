//! When requests were served, as far as this clears them of crashes.

use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::RequestPart;
use crate::decide::served_parts::ServedParts;

/// When requests with each part were last answered, and when by an upstream that has lived on.
///
/// An answer shows that a request does not crash upstreams while they run it. Only an upstream that
/// lives on shows that the request does not crash them afterwards.
#[derive(Debug, Default)]
pub(crate) struct ServedRecord {
    answered: ServedParts,
    survived: ServedParts,
    /// The parts that were found to crash upstreams after calls with them have ended.
    after_call: IndexSet<RequestPart>,
}

impl ServedRecord {
    /// Records that a request with the part was answered.
    pub(crate) fn on_answered(&mut self, part: RequestPart, at: Instant) {
        self.answered.record(part, at);
    }

    /// Records that a request with the part was answered at this time, and the upstream has lived on.
    pub(crate) fn on_survived(&mut self, part: RequestPart, at: Instant) {
        self.answered.record(part, at);
        self.survived.record(part, at);
    }

    /// Records that a part crashes upstreams after calls with it have ended: from now on only upstreams
    /// that live on clear it.
    pub(crate) fn on_found_after_call(&mut self, part: RequestPart) {
        self.after_call.insert(part);
    }

    /// Forgets which parts were found so, apart from those that are quarantined.
    pub(crate) fn retain(&mut self, is_quarantined: impl Fn(RequestPart) -> bool) {
        self.after_call.retain(|part| is_quarantined(*part));
    }

    /// When a request with the part was last answered.
    pub(crate) fn answered_at(&self, part: RequestPart, now: Instant) -> Option<Instant> {
        self.answered.served_at(part, now)
    }

    /// When a request with the part was last answered by an upstream that has lived on.
    pub(crate) fn survived_at(&self, part: RequestPart, now: Instant) -> Option<Instant> {
        self.survived.served_at(part, now)
    }

    /// When the part was last cleared.
    pub(crate) fn cleared_at(&self, part: RequestPart, now: Instant) -> Option<Instant> {
        if self.after_call.contains(&part) {
            self.survived_at(part, now)
        } else {
            self.answered_at(part, now)
        }
    }
}

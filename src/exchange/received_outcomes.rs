//! The outcomes of calls that a collector has received from one source: a host or another
//! collector.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::UpstreamOutcomeEntry;

/// Time after which a received outcome is ignored: its source repeats it four times as often while
/// it holds.
const RETENTION: Duration = Duration::from_secs(1);

/// What identifies an entry: the hash, and whether it is that of a service.
pub(crate) type OutcomeKey = (u64, bool);

/// An outcome, when it was received, and whether it has been forwarded.
#[derive(Clone, Copy, Debug)]
struct ReceivedOutcome {
    entry: UpstreamOutcomeEntry,
    received_at: Instant,
    is_forwarded: bool,
}

/// The outcomes received from one source, by upstream or service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedOutcomes {
    by_key: IndexMap<OutcomeKey, ReceivedOutcome>,
}

impl ReceivedOutcomes {
    /// Records the outcomes of a message, which replace those of the same upstreams. Outcomes of
    /// upstreams that are not included stay until they expire.
    pub(crate) fn record(&mut self, outcomes: Vec<UpstreamOutcomeEntry>, now: Instant) {
        self.expire(now);
        for entry in outcomes {
            let received = ReceivedOutcome {
                entry,
                received_at: now,
                is_forwarded: false,
            };
            self.by_key.insert(entry.key(), received);
        }
    }

    /// The outcomes that have not expired.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = &UpstreamOutcomeEntry> {
        let is_kept = move |received: &&ReceivedOutcome| {
            now.saturating_duration_since(received.received_at) < RETENTION
        };
        let kept = self.by_key.values().filter(is_kept);
        kept.map(|received| &received.entry)
    }

    /// Returns the outcomes that have not been forwarded yet, and records them as forwarded.
    pub(crate) fn take_pending(&mut self, now: Instant) -> Vec<UpstreamOutcomeEntry> {
        self.expire(now);
        let pending = self.by_key.values_mut().filter(|o| !o.is_forwarded);
        let pending = pending.map(|received| {
            received.is_forwarded = true;
            received.entry
        });
        pending.collect()
    }

    fn expire(&mut self, now: Instant) {
        self.by_key
            .retain(|_, o| now.saturating_duration_since(o.received_at) < RETENTION);
    }
}

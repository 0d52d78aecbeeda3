//! The outcomes of calls that a collector has received from one source: a host or another
//! collector.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::UpstreamOutcomeEntry;
use crate::exchange::received_entries::ReceivedEntries;

/// Time after which a received outcome is ignored: its source repeats it four times as often while
/// it holds.
const RETENTION: Duration = Duration::from_secs(1);

/// What identifies an entry: the hash, and whether it is that of a service.
pub(crate) type OutcomeKey = (u64, bool);

/// The outcomes received from one source, by upstream or service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedOutcomes(ReceivedEntries<OutcomeKey, UpstreamOutcomeEntry>);

impl ReceivedOutcomes {
    /// Records the outcomes of a message, which replace those of the same upstreams. Outcomes of
    /// upstreams that are not included stay until they expire.
    pub(crate) fn record(&mut self, outcomes: Vec<UpstreamOutcomeEntry>, now: Instant) {
        self.0.expire(RETENTION, now);
        for entry in outcomes {
            self.0.record(entry.key(), entry, now);
        }
    }

    /// The outcomes that have not expired.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = &UpstreamOutcomeEntry> {
        self.0.within(RETENTION, now).map(|(entry, _)| entry)
    }

    /// Returns the outcomes that have not been forwarded yet, and records them as forwarded.
    pub(crate) fn take_pending(&mut self, now: Instant) -> Vec<UpstreamOutcomeEntry> {
        self.0.expire(RETENTION, now);
        self.0.take_pending().map(|(entry, _)| entry).collect()
    }
}

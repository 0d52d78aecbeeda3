//! What a collector has received from one source, a host or another collector, about parts of
//! prompts.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::PartEvidenceEntry;
use crate::exchange::part_evidence_entry::PartEvidenceKey;
use crate::exchange::received_entries::ReceivedEntries;

/// Time after which an entry is no longer forwarded: its source repeats it twice as often.
const RETENTION: Duration = Duration::from_secs(4);

/// What one source has reported about parts of prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedPartEvidence(ReceivedEntries<PartEvidenceKey, PartEvidenceEntry>);

impl ReceivedPartEvidence {
    /// Records the entries of a message.
    pub(crate) fn record(&mut self, entries: Vec<PartEvidenceEntry>, now: Instant) {
        self.0.expire(RETENTION, now);
        for entry in entries {
            self.0.record(entry.key(), entry, now);
        }
    }

    /// The entries that have not expired, with their age at `now`.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = PartEvidenceEntry> {
        let kept = self.0.within(RETENTION, now);
        kept.map(move |(entry, received_at)| aged(entry.clone(), received_at, now))
    }

    /// Returns the entries that have not been forwarded yet, with their age at `now`, and records
    /// them as forwarded.
    pub(crate) fn take_pending(&mut self, now: Instant) -> Vec<PartEvidenceEntry> {
        let pending = self.0.take_pending();
        pending
            .map(|(entry, received_at)| aged(entry, received_at, now))
            .collect()
    }

    /// Marks all entries to be forwarded again, for recipients that have received nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        self.0.mark_all_pending();
    }
}

/// An entry with its age at `now`.
fn aged(entry: PartEvidenceEntry, received_at: Instant, now: Instant) -> PartEvidenceEntry {
    entry.aged_by(now.saturating_duration_since(received_at))
}

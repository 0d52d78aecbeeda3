//! What a collector has received from one source, a host or another collector, about parts of
//! prompts.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::PartEvidenceEntry;
use crate::exchange::part_evidence_entry::PartEvidenceKey;
use crate::exchange::received_entries::ReceivedEntries;

/// Time after which an entry is forgotten. Sources repeat entries at longer intervals than new ones,
/// and only in time for hosts that hear them directly.
const RETENTION: Duration = Duration::from_secs(60);
/// How often an entry is forwarded, so that some messages may be lost. Hosts repeat to their
/// neighbours what they have learned, so that later repetitions need not be forwarded.
const FORWARDS_MAX: u32 = 4;

/// What one source has reported about parts of prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedPartEvidence(ReceivedEntries<PartEvidenceKey, PartEvidenceEntry>);

impl ReceivedPartEvidence {
    /// Records the entries of a message.
    pub(crate) fn record(&mut self, entries: Vec<PartEvidenceEntry>, now: Instant) {
        self.0.expire(RETENTION, now);
        for entry in entries {
            self.0
                .record_to_forward(entry.key(), entry, FORWARDS_MAX, now);
        }
    }

    /// The entries that have not expired, with their age at `now`.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = PartEvidenceEntry> {
        let kept = self.0.within(RETENTION, now);
        kept.map(move |(entry, received_at)| aged(entry.clone(), received_at, now))
    }

    /// Returns the entries that are to be forwarded now, with their age at `now`, and records them
    /// as forwarded.
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

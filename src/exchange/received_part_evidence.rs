//! What a collector has received from one source, a host or another collector, about parts of
//! prompts.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::PartEvidenceEntry;
use crate::exchange::part_evidence_entry::PartEvidenceKey;

/// Time after which an entry is forgotten. Sources repeat entries at longer intervals than new ones,
/// and only in time for hosts that hear them directly.
const RETENTION: Duration = Duration::from_secs(60);
/// How often an entry is forwarded, so that some messages may be lost. Hosts repeat to their
/// neighbours what they have learned, so that later repetitions need not be forwarded.
const FORWARDS_MAX: u32 = 4;

/// What one source has reported about parts of prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedPartEvidence {
    by_key: IndexMap<PartEvidenceKey, Received>,
}

#[derive(Clone, Debug)]
struct Received {
    entry: PartEvidenceEntry,
    received_at: Instant,
    is_pending: bool,
    forwards: u32,
}

impl Received {
    /// The entry with its age at `now`.
    fn aged(&self, now: Instant) -> PartEvidenceEntry {
        let age = now.saturating_duration_since(self.received_at);
        self.entry.clone().aged_by(age)
    }
}

impl ReceivedPartEvidence {
    /// Records the entries of a message.
    pub(crate) fn record(&mut self, entries: Vec<PartEvidenceEntry>, now: Instant) {
        self.by_key
            .retain(|_, known| now.saturating_duration_since(known.received_at) < RETENTION);
        for entry in entries {
            let key = entry.key();
            let forwards = self.by_key.get(&key).map_or(0, |known| known.forwards);
            let received = Received {
                entry,
                received_at: now,
                is_pending: forwards < FORWARDS_MAX,
                forwards,
            };
            self.by_key.insert(key, received);
        }
    }

    /// The entries that have not expired, with their age at `now`.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = PartEvidenceEntry> {
        let received = self.by_key.values();
        let kept = received
            .filter(move |known| now.saturating_duration_since(known.received_at) < RETENTION);
        kept.map(move |known| known.aged(now))
    }

    /// Returns the entries that are to be forwarded now, with their age at `now`, and records them
    /// as forwarded.
    pub(crate) fn take_pending(&mut self, now: Instant) -> Vec<PartEvidenceEntry> {
        let received = self.by_key.values_mut();
        let pending = received.filter(|known| known.is_pending);
        let forwarded = pending.map(|known| {
            known.is_pending = false;
            known.forwards += 1;
            known.aged(now)
        });
        forwarded.collect()
    }

    /// Marks all entries to be forwarded again, for recipients that have received nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        for received in self.by_key.values_mut() {
            received.is_pending = true;
            received.forwards = 0;
        }
    }
}

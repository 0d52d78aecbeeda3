//! What was last sent about parts of prompts. New entries are sent in several messages, of which some
//! may be lost, and later at intervals, for hosts that have started since.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::PartEvidenceEntry;
use crate::exchange::part_evidence_entry::PartEvidenceKey;

/// The number of messages in which a new entry is sent.
const FIRST_SENDS: u32 = 4;
/// The interval between the first messages with an entry.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between the later messages with an entry.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The largest number of entries in one message; the first are sent. 64 entries take 3 KB.
const ENTRIES_MAX: usize = 64;

/// When each entry was last sent, and how often.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentPartEvidence {
    sent: IndexMap<PartEvidenceKey, SentEntry>,
}

#[derive(Clone, Copy, Debug)]
struct SentEntry {
    last_at: Instant,
    sends: u32,
}

impl SentEntry {
    fn is_due(self, now: Instant) -> bool {
        let interval = if self.sends < FIRST_SENDS {
            FIRST_INTERVAL
        } else {
            REPEAT_INTERVAL
        };
        now.saturating_duration_since(self.last_at) >= interval
    }
}

impl SentPartEvidence {
    /// Returns the entries to send now, of all that are current, and records them as sent.
    pub(crate) fn take_due(
        &mut self,
        current: Vec<PartEvidenceEntry>,
        now: Instant,
    ) -> Vec<PartEvidenceEntry> {
        if current.is_empty() {
            self.sent.clear();
            return current;
        }
        let keys: Vec<PartEvidenceKey> = current.iter().map(PartEvidenceEntry::key).collect();
        self.sent.retain(|key, _| keys.contains(key));
        let mut due = Vec::new();
        for (entry, key) in current.into_iter().zip(keys) {
            let known = self.sent.get(&key).copied();
            if due.len() >= ENTRIES_MAX || known.is_some_and(|known| !known.is_due(now)) {
                continue;
            }
            let sends = known.map_or(1, |known| known.sends.saturating_add(1));
            let last_at = now;
            self.sent.insert(key, SentEntry { last_at, sends });
            due.push(entry);
        }
        due
    }
}

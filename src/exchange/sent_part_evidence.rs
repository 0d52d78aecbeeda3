//! What was last sent about parts of prompts. New entries are sent in several messages, of which some
//! may be lost, and later at intervals, for hosts that have started since.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::PartEvidenceEntry;
use crate::exchange::part_evidence_entry::PartEvidenceKey;
use crate::units::HostId;

/// The number of messages in which a new entry is sent.
const FIRST_SENDS: u32 = 4;
/// The interval between the first messages with an entry.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest interval between the later messages with an entry.
const REPEAT_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// The part of that interval for each recipient. All recipients repeat what they know, so that a host
/// that starts hears of it within about this time.
const REPEAT_INTERVAL_PER_HOST: Duration = Duration::from_millis(500);
/// The number of steps by which hosts that repeat the same entries are spread over an interval.
const STAGGER_STEPS: u32 = 64;
/// The largest number of entries in one message; the first are sent. 64 entries take 3 KB.
const ENTRIES_MAX: usize = 64;

/// When each entry is to be sent next, and how often it was.
#[derive(Clone, Debug)]
pub(crate) struct SentPartEvidence {
    sent: IndexMap<PartEvidenceKey, SentEntry>,
    /// The part of an interval, in [`STAGGER_STEPS`], after which this host begins to repeat.
    stagger: u32,
}

#[derive(Clone, Copy, Debug)]
struct SentEntry {
    due_at: Instant,
    sends: u32,
}

impl SentPartEvidence {
    /// The state of a host that has sent nothing.
    pub(crate) fn new(host: &HostId) -> Self {
        let hash = xxh3_64(host.as_str().as_bytes()) % u64::from(STAGGER_STEPS);
        Self {
            sent: IndexMap::new(),
            stagger: u32::try_from(hash).unwrap_or(0),
        }
    }

    /// Returns the entries to send now to this number of recipients, of all that are current, and
    /// records them as sent.
    pub(crate) fn take_due(
        &mut self,
        current: Vec<PartEvidenceEntry>,
        recipients: usize,
        now: Instant,
    ) -> Vec<PartEvidenceEntry> {
        let keyed = current.into_iter().map(|entry| (entry.key(), entry));
        let current: IndexMap<PartEvidenceKey, PartEvidenceEntry> = keyed.collect();
        self.sent.retain(|key, _| current.contains_key(key));
        let interval = repeat_interval(recipients);
        let mut due = Vec::new();
        for (key, entry) in current {
            let known = self.sent.get(&key).copied();
            if due.len() >= ENTRIES_MAX || known.is_some_and(|known| now < known.due_at) {
                continue;
            }
            let sends = known.map_or(1, |known| known.sends.saturating_add(1));
            let wait = match sends {
                ..FIRST_SENDS => FIRST_INTERVAL,
                FIRST_SENDS => interval * self.stagger / STAGGER_STEPS,
                _ => interval,
            };
            let due_at = now + wait;
            self.sent.insert(key, SentEntry { due_at, sends });
            due.push(entry);
        }
        due
    }

    /// Forgets what was sent, for recipients that have received nothing.
    pub(crate) fn clear(&mut self) {
        self.sent.clear();
    }
}

fn repeat_interval(recipients: usize) -> Duration {
    let recipients = u32::try_from(recipients).unwrap_or(u32::MAX);
    REPEAT_INTERVAL_PER_HOST
        .saturating_mul(recipients)
        .max(REPEAT_INTERVAL_MIN)
}

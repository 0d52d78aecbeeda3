//! The outcomes of calls that were last sent, which are sent again only in intervals: they change
//! with every call.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::UpstreamOutcomeEntry;
use crate::exchange::received_outcomes::OutcomeKey;

/// The interval at which the outcomes of an upstream are sent. Several fit into the time after which
/// recipients ignore them, so some messages may be lost.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// The largest number of entries in one message; the first are sent. 64 entries take 2 KB.
const ENTRIES_MAX: usize = 64;

/// When the outcomes of each upstream and service were last sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentOutcomes {
    sent_at: IndexMap<OutcomeKey, Instant>,
}

impl SentOutcomes {
    /// Returns the outcomes to send now, and records them as sent.
    pub(crate) fn take_due(
        &mut self,
        outcomes: Vec<UpstreamOutcomeEntry>,
        now: Instant,
    ) -> Vec<UpstreamOutcomeEntry> {
        self.sent_at
            .retain(|_, at| now.saturating_duration_since(*at) < SEND_INTERVAL);
        let mut due = outcomes;
        due.retain(|entry| !self.sent_at.contains_key(&entry.key()));
        due.truncate(ENTRIES_MAX);
        self.sent_at
            .extend(due.iter().map(|entry| (entry.key(), now)));
        due
    }
}

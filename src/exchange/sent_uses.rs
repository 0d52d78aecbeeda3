//! What a host has recently sent about the customers of services.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::CustomerUseEntry;
use crate::exchange::customer_use_sum::CustomerUseSum;

/// The interval at which an entry that has hardly changed is sent again. Recipients forget an entry
/// after four intervals.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum interval between two entries of the same customer. Rates are those of the last second,
/// so they change little within this time.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Rates that differ by less than one part in this number count as equal.
const CHANGE_DIVISOR: u64 = 10;

/// The entries that were sent recently, with the time of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentUses {
    by_key: IndexMap<(u64, u64), (CustomerUseEntry, Instant)>,
}

impl SentUses {
    /// Returns the entries to send now and records them as sent: those that were last sent longer
    /// than [`REPEAT_INTERVAL`] ago, or [`CHANGE_INTERVAL`] if they have changed since, and those of customers that have just stopped
    /// or are combined with others from now on.
    pub(crate) fn take_due(&mut self, uses: CustomerUseSum, now: Instant) -> Vec<CustomerUseEntry> {
        let current = uses.into_bounded_entries();
        let is_current = |sent: &CustomerUseEntry| current.iter().any(|e| e.key() == sent.key());
        let mut due = Vec::new();
        self.by_key.retain(|_, (sent, _)| {
            let is_kept = is_current(sent);
            if !is_kept {
                due.push(sent.ended());
            }
            is_kept
        });
        for entry in current {
            if !self.is_recently_sent(&entry, now) {
                self.by_key.insert(entry.key(), (entry, now));
                due.push(entry);
            }
        }
        due
    }

    fn is_recently_sent(&self, entry: &CustomerUseEntry, now: Instant) -> bool {
        let sent = self.by_key.get(&entry.key());
        sent.is_some_and(|(sent, at)| {
            let since = now.saturating_duration_since(*at);
            since < CHANGE_INTERVAL || (since < REPEAT_INTERVAL && is_similar(entry, sent))
        })
    }
}

/// Whether the rates of two entries differ by less than a tenth.
fn is_similar(a: &CustomerUseEntry, b: &CustomerUseEntry) -> bool {
    is_close(a.wanted_us_per_s, b.wanted_us_per_s) && is_close(a.used_us_per_s, b.used_us_per_s)
}

fn is_close(a: u64, b: u64) -> bool {
    a == b || a.abs_diff(b) < a.max(b) / CHANGE_DIVISOR
}

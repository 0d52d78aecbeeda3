//! What a collector has received from one source about the customers of services.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::CustomerUseEntry;
use crate::exchange::received_entries::ReceivedEntries;

/// Time after which an entry that was not repeated is forgotten.
const RETENTION: Duration = Duration::from_secs(1);

/// The entries received from one source, by service and customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedUses(ReceivedEntries<(u64, u64), CustomerUseEntry>);

impl ReceivedUses {
    /// Records the entries of a message. Customers that are not included stay unchanged.
    pub(crate) fn record(&mut self, entries: Vec<CustomerUseEntry>, now: Instant) {
        self.0.expire(RETENTION, now);
        for entry in entries {
            self.0.record(entry.key(), entry, now);
        }
    }

    /// The entries of customers that want or use something.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = CustomerUseEntry> {
        let entries = self.0.within(RETENTION, now);
        entries
            .map(|(entry, _)| *entry)
            .filter(CustomerUseEntry::is_active)
    }

    /// Returns the entries that have not been forwarded yet and records them as forwarded.
    pub(crate) fn take_pending(&mut self) -> Vec<CustomerUseEntry> {
        self.0.take_pending().map(|(entry, _)| entry).collect()
    }

    /// Forgets all entries.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Marks all entries to be forwarded again, for recipients that have received nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        self.0.mark_all_pending();
    }
}

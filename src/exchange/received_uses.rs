//! What a collector has received from one source about the customers of services.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::CustomerUseEntry;

/// Time after which an entry that was not repeated is forgotten.
const RETENTION: Duration = Duration::from_secs(1);

/// An entry, when it was received, and whether it has been forwarded.
#[derive(Clone, Copy, Debug)]
struct ReceivedUse {
    entry: CustomerUseEntry,
    received_at: Instant,
    is_forwarded: bool,
}

/// The entries received from one source, by service and customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedUses {
    by_key: IndexMap<(u64, u64), ReceivedUse>,
}

impl ReceivedUses {
    /// Records the entries of a message. Customers that are not included stay unchanged.
    pub(crate) fn record(&mut self, entries: Vec<CustomerUseEntry>, now: Instant) {
        let is_retained = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.by_key
            .retain(|_, received| is_retained(received.received_at));
        for entry in entries {
            let received = ReceivedUse {
                entry,
                received_at: now,
                is_forwarded: false,
            };
            self.by_key.insert(entry.key(), received);
        }
    }

    /// The entries of customers that want or use something.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = CustomerUseEntry> {
        let is_retained = move |received: &&ReceivedUse| {
            now.saturating_duration_since(received.received_at) < RETENTION
        };
        let entries = self.by_key.values().filter(is_retained);
        entries
            .map(|received| received.entry)
            .filter(CustomerUseEntry::is_active)
    }

    /// Returns the entries that have not been forwarded yet and records them as forwarded.
    pub(crate) fn take_pending(&mut self) -> Vec<CustomerUseEntry> {
        let pending = self
            .by_key
            .values_mut()
            .filter(|received| !received.is_forwarded);
        let entries = pending.map(|received| {
            received.is_forwarded = true;
            received.entry
        });
        entries.collect()
    }

    /// Forgets all entries.
    pub(crate) fn clear(&mut self) {
        self.by_key.clear();
    }

    /// Marks all entries to be forwarded again, for recipients that have received nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        for received in self.by_key.values_mut() {
            received.is_forwarded = false;
        }
    }
}

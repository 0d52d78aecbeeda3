//! The entries that a collector has received from one source, and which of them it has forwarded.

use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// An entry, when it was received, whether it has been forwarded, and how often.
#[derive(Clone, Copy, Debug)]
struct ReceivedEntry<E> {
    entry: E,
    received_at: Instant,
    is_forwarded: bool,
    forwards: u32,
}

impl<E> ReceivedEntry<E> {
    fn is_within(&self, retention: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < retention
    }
}

/// The entries received from one source, the latest of each key.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedEntries<K, E> {
    by_key: IndexMap<K, ReceivedEntry<E>>,
}

impl<K, E> Default for ReceivedEntries<K, E> {
    fn default() -> Self {
        Self {
            by_key: IndexMap::new(),
        }
    }
}

impl<K: Eq + Hash, E: Clone> ReceivedEntries<K, E> {
    /// Records an entry. It counts as not yet forwarded, even if an equal one was forwarded before.
    pub(crate) fn record(&mut self, key: K, entry: E, now: Instant) {
        self.record_to_forward(key, entry, u32::MAX, now);
    }

    /// Records an entry. It counts as not yet forwarded unless those of its key were forwarded
    /// `forwards_max` times.
    pub(crate) fn record_to_forward(&mut self, key: K, entry: E, forwards_max: u32, now: Instant) {
        let forwards = self.by_key.get(&key).map_or(0, |known| known.forwards);
        let received = ReceivedEntry {
            entry,
            received_at: now,
            is_forwarded: forwards >= forwards_max,
            forwards,
        };
        self.by_key.insert(key, received);
    }

    /// Forgets the entries that were received `retention` ago or earlier.
    pub(crate) fn expire(&mut self, retention: Duration, now: Instant) {
        self.by_key
            .retain(|_, received| received.is_within(retention, now));
    }

    /// The entries that were received less than `retention` ago, each with the time of its receipt.
    pub(crate) fn within(
        &self,
        retention: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&E, Instant)> {
        let received = self.by_key.values();
        received
            .filter(move |received| received.is_within(retention, now))
            .map(|received| (&received.entry, received.received_at))
    }

    /// Returns the entries that have not been forwarded yet, each with the time of its receipt, and
    /// records them as forwarded.
    pub(crate) fn take_pending(&mut self) -> impl Iterator<Item = (E, Instant)> {
        let received = self.by_key.values_mut();
        received
            .filter(|received| !received.is_forwarded)
            .map(|received| {
                received.is_forwarded = true;
                received.forwards = received.forwards.saturating_add(1);
                (received.entry.clone(), received.received_at)
            })
    }

    /// Marks all entries to be forwarded again, for recipients that have received nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        for received in self.by_key.values_mut() {
            received.is_forwarded = false;
            received.forwards = 0;
        }
    }

    /// Forgets all entries.
    pub(crate) fn clear(&mut self) {
        self.by_key.clear();
    }
}

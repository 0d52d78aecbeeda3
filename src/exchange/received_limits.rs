//! What a collector has heard of upstreams' limits from one host, or from one other collector.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::LimitEntry;
use crate::exchange::UpstreamHash;

/// What was heard this long ago counts no more: the requests that it speaks of are over.
const RETENTION: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct ReceivedLimit {
    entry: LimitEntry,
    received_at: Instant,
    is_forwarded: bool,
}

impl ReceivedLimit {
    fn aged(&self, now: Instant) -> LimitEntry {
        let since = now.saturating_duration_since(self.received_at);
        self.entry.aged_by(since)
    }
}

/// The limits that one speaker has told of, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedLimits {
    by_upstream: IndexMap<UpstreamHash, ReceivedLimit>,
}

impl ReceivedLimits {
    /// Takes in what a message says; upstreams that it doesn't name are as before.
    pub(crate) fn record(&mut self, limits: Vec<LimitEntry>, now: Instant) {
        for entry in limits {
            let received = ReceivedLimit {
                entry,
                received_at: now,
                is_forwarded: false,
            };
            self.by_upstream.insert(entry.upstream(), received);
        }
    }

    /// What is known now.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = LimitEntry> {
        let is_kept = move |received: &&ReceivedLimit| {
            now.saturating_duration_since(received.received_at) < RETENTION
        };
        let kept = self.by_upstream.values().filter(is_kept);
        kept.map(move |received| received.aged(now))
    }

    /// What has not been passed on yet.
    pub(crate) fn take_pending(&mut self, now: Instant) -> Vec<LimitEntry> {
        let new = self
            .by_upstream
            .values_mut()
            .filter(|limit| !limit.is_forwarded);
        let pending = new.map(|received| {
            received.is_forwarded = true;
            received.aged(now)
        });
        pending.collect()
    }

    /// Passes all on once more, for hosts that have heard nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        for received in self.by_upstream.values_mut() {
            received.is_forwarded = false;
        }
    }
}

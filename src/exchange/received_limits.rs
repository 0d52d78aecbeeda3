//! The rate limits that a collector has received from one source: a host or another collector.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::RateLimitEntry;
use crate::exchange::UpstreamHash;

/// Time after which a received limit is ignored, because the requests that it counts have left the
/// limit window.
const RETENTION: Duration = Duration::from_secs(4);

/// A rate limit, when it was received, and whether it has been forwarded.
#[derive(Clone, Copy, Debug)]
struct ReceivedLimit {
    entry: RateLimitEntry,
    received_at: Instant,
    is_forwarded: bool,
}

impl ReceivedLimit {
    fn aged(&self, now: Instant) -> RateLimitEntry {
        let since = now.saturating_duration_since(self.received_at);
        self.entry.aged_by(since)
    }
}

/// The rate limits received from one source, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedLimits {
    by_upstream: IndexMap<UpstreamHash, ReceivedLimit>,
}

impl ReceivedLimits {
    /// Records the limits of a message. The recorded limits count as not yet forwarded, even if
    /// equal ones were forwarded before. Limits of upstreams that are not included stay unchanged.
    pub(crate) fn record(&mut self, limits: Vec<RateLimitEntry>, now: Instant) {
        for entry in limits {
            let received = ReceivedLimit {
                entry,
                received_at: now,
                is_forwarded: false,
            };
            self.by_upstream.insert(entry.upstream(), received);
        }
    }

    /// The limits that have not expired, with their age at `now`.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = RateLimitEntry> {
        let is_kept = move |received: &&ReceivedLimit| {
            now.saturating_duration_since(received.received_at) < RETENTION
        };
        let kept = self.by_upstream.values().filter(is_kept);
        kept.map(move |received| received.aged(now))
    }

    /// Returns the limits that have not been forwarded yet, with their age at `now`, and records
    /// them as forwarded.
    pub(crate) fn take_pending(&mut self, now: Instant) -> Vec<RateLimitEntry> {
        let unsent = self
            .by_upstream
            .values_mut()
            .filter(|limit| !limit.is_forwarded);
        let pending = unsent.map(|received| {
            received.is_forwarded = true;
            received.aged(now)
        });
        pending.collect()
    }

    /// Marks all limits to be forwarded again, for recipients that have received nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        for received in self.by_upstream.values_mut() {
            received.is_forwarded = false;
        }
    }
}

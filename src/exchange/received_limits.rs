//! The rate limits that a collector has received from one source: a host or another collector.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::RateLimitEntry;
use crate::exchange::UpstreamHash;
use crate::exchange::received_entries::ReceivedEntries;

/// Time after which a received limit is ignored, because the requests that it counts have left the
/// limit window.
const RETENTION: Duration = Duration::from_secs(4);

/// The rate limits received from one source, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedLimits(ReceivedEntries<UpstreamHash, RateLimitEntry>);

impl ReceivedLimits {
    /// Records the limits of a message. Limits of upstreams that are not included stay unchanged.
    pub(crate) fn record(&mut self, limits: Vec<RateLimitEntry>, now: Instant) {
        for entry in limits {
            self.0.record(entry.upstream(), entry, now);
        }
    }

    /// The limits that have not expired, with their age at `now`.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = RateLimitEntry> {
        let kept = self.0.within(RETENTION, now);
        kept.map(move |(entry, received_at)| aged(*entry, received_at, now))
    }

    /// Returns the limits that have not been forwarded yet, with their age at `now`, and records
    /// them as forwarded.
    pub(crate) fn take_pending(&mut self, now: Instant) -> Vec<RateLimitEntry> {
        let pending = self.0.take_pending();
        pending
            .map(|(entry, received_at)| aged(entry, received_at, now))
            .collect()
    }

    /// Marks all limits to be forwarded again, for recipients that have received nothing yet.
    pub(crate) fn mark_all_pending(&mut self) {
        self.0.mark_all_pending();
    }
}

/// A limit with its age at `now`.
fn aged(entry: RateLimitEntry, received_at: Instant, now: Instant) -> RateLimitEntry {
    entry.aged_by(now.saturating_duration_since(received_at))
}

//! A count of recent events over a sliding window.

use std::time::Duration;
use std::time::Instant;

/// The length of one bucket, which is the error of a count at the far end of its window.
const BUCKET_LENGTH: Duration = Duration::from_millis(250);
/// The number of buckets: those of the longest window and the one that is being filled.
const BUCKET_COUNT: usize = 21;

/// The number of events in each of the last buckets of time.
#[derive(Clone, Copy, Debug)]
pub struct RecentCount {
    started_at: Instant,
    buckets: [u32; BUCKET_COUNT],
    /// The number of the bucket that was filled last, counted from the start.
    last_bucket: u64,
}

impl RecentCount {
    /// Creates a counter without events.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            buckets: [0; BUCKET_COUNT],
            last_bucket: 0,
        }
    }

    /// Counts one event.
    pub fn add(&mut self, now: Instant) {
        let bucket = self.bucket_at(now).max(self.last_bucket);
        let outdated = (self.last_bucket + 1..=bucket).take(BUCKET_COUNT);
        for bucket in outdated {
            self.buckets[slot(bucket)] = 0;
        }
        self.last_bucket = bucket;
        let count = &mut self.buckets[slot(bucket)];
        *count = count.saturating_add(1);
    }

    /// The number of events in the `window` up to now, which cannot exceed the time that the
    /// buckets cover.
    pub fn within(&self, window: Duration, now: Instant) -> u32 {
        let current = self.bucket_at(now);
        let buckets = u64::try_from(window.as_millis().div_ceil(BUCKET_LENGTH.as_millis()));
        let first = current.saturating_sub(buckets.unwrap_or(u64::MAX));
        let oldest = self.last_bucket.saturating_sub(BUCKET_COUNT as u64 - 1);
        let counted = first.max(oldest)..=current.min(self.last_bucket);
        let counts = counted.map(|bucket| self.buckets[slot(bucket)]);
        counts.fold(0, u32::saturating_add)
    }

    fn bucket_at(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started_at);
        u64::try_from(elapsed.as_millis() / BUCKET_LENGTH.as_millis()).unwrap_or(u64::MAX)
    }
}

fn slot(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKET_COUNT as u64).unwrap_or(0)
}

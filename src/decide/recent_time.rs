//! A sum of times over a sliding window of one second.

use std::time::Duration;
use std::time::Instant;

/// The length of one bucket, which is the error of the sum at the far end of the window.
const BUCKET_LENGTH: Duration = Duration::from_millis(100);
/// The number of buckets: those of one second and the one that is being filled.
const BUCKET_COUNT: usize = 11;

/// The sum of the times that were added within the last second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentTime {
    started_at: Instant,
    buckets_us: [u64; BUCKET_COUNT],
    /// The number of the bucket that was filled last, counted from the start.
    last_bucket: u64,
}

impl RecentTime {
    /// Creates an empty sum.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            buckets_us: [0; BUCKET_COUNT],
            last_bucket: 0,
        }
    }

    /// Adds a time.
    pub(crate) fn add(&mut self, time: Duration, now: Instant) {
        let bucket = self.bucket_at(now).max(self.last_bucket);
        let outdated = (self.last_bucket + 1..=bucket).take(BUCKET_COUNT);
        for bucket in outdated {
            self.buckets_us[slot(bucket)] = 0;
        }
        self.last_bucket = bucket;
        let sum = &mut self.buckets_us[slot(bucket)];
        *sum = sum.saturating_add(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    /// The sum of the last second, in microseconds per second.
    pub(crate) fn us_per_s(&self, now: Instant) -> u64 {
        let current = self.bucket_at(now);
        let first = current.saturating_sub(BUCKET_COUNT as u64 - 1);
        let counted = first..=current.min(self.last_bucket);
        let sums = counted.map(|bucket| self.buckets_us[slot(bucket)]);
        sums.fold(0, u64::saturating_add)
    }

    fn bucket_at(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started_at);
        u64::try_from(elapsed.as_millis() / BUCKET_LENGTH.as_millis()).unwrap_or(u64::MAX)
    }
}

fn slot(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKET_COUNT as u64).unwrap_or(0)
}

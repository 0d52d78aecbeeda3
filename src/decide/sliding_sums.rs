//! Sums over a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Sums of a window that moves with time, in buckets of equal length. The last bucket is dropped as
/// a whole, so the window is up to one bucket shorter than stated.
#[derive(Clone, Debug)]
pub(crate) struct SlidingSums<T> {
    bucket_length: Duration,
    window: Duration,
    /// The start of each bucket with its sums, the oldest first.
    buckets: VecDeque<(Instant, T)>,
}

impl<T: Clone + Default> SlidingSums<T> {
    /// Creates empty sums over a window in `buckets` parts.
    pub(crate) fn new(window: Duration, buckets: u32) -> Self {
        Self {
            bucket_length: window / buckets.max(1),
            window,
            buckets: VecDeque::new(),
        }
    }

    /// The sums that are being filled at `now`.
    pub(crate) fn current(&mut self, now: Instant) -> &mut T {
        self.buckets
            .retain(|(start, _)| now.saturating_duration_since(*start) < self.window);
        let is_open =
            |(start, _): &(Instant, T)| now.saturating_duration_since(*start) < self.bucket_length;
        if !self.buckets.back().is_some_and(is_open) {
            self.buckets.push_back((now, T::default()));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    /// The sums of each bucket of the window that ends at `now`.
    pub(crate) fn within_window(&self, now: Instant) -> impl Iterator<Item = &T> {
        let is_recent = move |start: &Instant| now.saturating_duration_since(*start) < self.window;
        let recent = self
            .buckets
            .iter()
            .filter(move |(start, _)| is_recent(start));
        recent.map(|(_, sums)| sums)
    }
}

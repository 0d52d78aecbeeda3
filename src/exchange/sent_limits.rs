//! The rate limits that a host has sent recently.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::RateLimitEntry;
use crate::exchange::UpstreamHash;

/// The interval at which an unchanged limit is sent again, because a message may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The rate limits that were sent recently, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentLimits {
    by_upstream: IndexMap<UpstreamHash, (RateLimitEntry, Instant)>,
}

impl SentLimits {
    /// Returns the limits to send now and records them as sent: those that have changed, and those
    /// that were last sent longer than [`REPEAT_INTERVAL`] ago.
    pub(crate) fn take_due(
        &mut self,
        limits: Vec<RateLimitEntry>,
        now: Instant,
    ) -> Vec<RateLimitEntry> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPEAT_INTERVAL;
        self.by_upstream.retain(|_, (_, at)| is_recent(*at));
        let is_recently_sent = |entry: &RateLimitEntry| {
            let sent = self.by_upstream.get(&entry.upstream());
            sent.is_some_and(|(sent, _)| entry.is_equal_ignoring_age(sent))
        };
        let due: Vec<RateLimitEntry> = limits
            .into_iter()
            .filter(|entry| !is_recently_sent(entry))
            .collect();
        let sent = due.iter().map(|entry| (entry.upstream(), (*entry, now)));
        self.by_upstream.extend(sent);
        due
    }
}

//! What has been told of upstreams' limits a moment ago.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::LimitEntry;
use crate::exchange::UpstreamHash;

/// What has not changed is told again after this time, for a message may be lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// What has been told of limits, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentLimits {
    by_upstream: IndexMap<UpstreamHash, (LimitEntry, Instant)>,
}

impl SentLimits {
    /// What of `limits` is to be told now: what has changed, and what was told long ago.
    pub(crate) fn take_due(&mut self, limits: Vec<LimitEntry>, now: Instant) -> Vec<LimitEntry> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPEAT_INTERVAL;
        self.by_upstream.retain(|_, (_, at)| is_recent(*at));
        let is_recently_sent = |entry: &LimitEntry| {
            let sent = self.by_upstream.get(&entry.upstream());
            sent.is_some_and(|(sent, _)| entry.is_equal_ignoring_age(sent))
        };
        let due: Vec<LimitEntry> = limits
            .into_iter()
            .filter(|entry| !is_recently_sent(entry))
            .collect();
        let sent = due.iter().map(|entry| (entry.upstream(), (*entry, now)));
        self.by_upstream.extend(sent);
        due
    }
}

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
pub(crate) struct LimitsTold {
    by_upstream: IndexMap<UpstreamHash, (LimitEntry, Instant)>,
}

impl LimitsTold {
    /// What of `limits` is to be told now: what has changed, and what was told long ago.
    pub(crate) fn part(&mut self, limits: Vec<LimitEntry>, now: Instant) -> Vec<LimitEntry> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPEAT_INTERVAL;
        self.by_upstream.retain(|_, (_, at)| is_recent(*at));
        let is_known = |news: &LimitEntry| {
            let told = self.by_upstream.get(&news.upstream());
            told.is_some_and(|(told, _)| news.says_the_same_as(told))
        };
        let part: Vec<LimitEntry> = limits.into_iter().filter(|n| !is_known(n)).collect();
        let told = part.iter().map(|news| (news.upstream(), (*news, now)));
        self.by_upstream.extend(told);
        part
    }
}

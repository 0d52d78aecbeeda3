//! What a collector has heard of upstreams' limits from one host, or from one other collector.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::exchange::LimitEntry;
use crate::exchange::UpstreamHash;

/// What was heard this long ago counts no more: the requests that it speaks of are over.
const KEPT_FOR: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Heard {
    news: LimitEntry,
    at: Instant,
    is_passed_on: bool,
}

impl Heard {
    fn aged(&self, now: Instant) -> LimitEntry {
        let since = now.saturating_duration_since(self.at);
        self.news.older_by(since)
    }
}

/// The limits that one speaker has told of, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitsHeard {
    by_upstream: IndexMap<UpstreamHash, Heard>,
}

impl LimitsHeard {
    /// Takes in what a message says; upstreams that it doesn't name are as before.
    pub(crate) fn hear(&mut self, limits: Vec<LimitEntry>, now: Instant) {
        for news in limits {
            let heard = Heard {
                news,
                at: now,
                is_passed_on: false,
            };
            self.by_upstream.insert(news.upstream(), heard);
        }
    }

    /// What is known now.
    pub(crate) fn current(&self, now: Instant) -> impl Iterator<Item = LimitEntry> {
        let is_kept = move |heard: &&Heard| now.saturating_duration_since(heard.at) < KEPT_FOR;
        let kept = self.by_upstream.values().filter(is_kept);
        kept.map(move |heard| heard.aged(now))
    }

    /// What has not been passed on yet.
    pub(crate) fn pending(&mut self, now: Instant) -> Vec<LimitEntry> {
        let new = self.by_upstream.values_mut().filter(|h| !h.is_passed_on);
        let pending = new.map(|heard| {
            heard.is_passed_on = true;
            heard.aged(now)
        });
        pending.collect()
    }

    /// Passes all on once more, for hosts that have heard nothing yet.
    pub(crate) fn pass_on_again(&mut self) {
        for heard in self.by_upstream.values_mut() {
            heard.is_passed_on = false;
        }
    }
}

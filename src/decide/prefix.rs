//! Hints about the prompt prefixes in each upstream's cache.
//!
//! Many prompts share a prefix, and processing the prefix again costs as much as the rest of the
//! prompt. Cache events are late and have gaps, so they give hints only: a hint lowers the cost
//! that placement compares, weighted by how often the upstream's recent hints were right. A prefix
//! that half of all calls share does not overload one upstream, because the load there raises the
//! cost until processing the prefix once on another upstream is cheaper. From then on both have it
//! in their caches.

use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::AttemptSummary;
use crate::decide::Work;
use crate::units::ContentHash;
use crate::units::Tokens;
use crate::upstream::CacheEvent;
use crate::upstream::CacheEventKind;

/// The most prefixes recorded for one upstream: more long prefixes than an engine's memory holds.
const HINTS_MAX: usize = 2_048;
/// The weight of one answer in the moving average of the trust in an upstream's hints.
const TRUST_SAMPLE_WEIGHT: f64 = 0.1;

/// The hints about one upstream's cache.
#[derive(Debug)]
pub struct PrefixHints {
    /// The time from which each prefix is expected to be in the cache.
    prefixes: IndexMap<ContentHash, Instant>,
    /// The mean fraction of hinted tokens that the engine found in its cache, from 0 to 1.
    trust: f64,
}

impl PrefixHints {
    /// Creates an empty set of hints that is fully trusted.
    pub fn new() -> Self {
        Self {
            prefixes: IndexMap::new(),
            trust: 1.0,
        }
    }

    /// The expected number of cached prompt tokens: the hinted tokens, scaled by the trust.
    pub fn cached_tokens(&self, work: &Work, now: Instant) -> f64 {
        self.hinted_tokens(work, now).as_f64() * self.trust
    }

    /// Records that a prompt is sent to the upstream. Its prefixes will be in the cache at
    /// `cached_at`, when its prefill is done. A second prompt before then processes them again.
    /// Prefixes that are already hinted keep their time.
    pub fn on_grant(&mut self, work: &Work, cached_at: Instant) {
        for (prefix, _) in &work.prefixes {
            if !self.prefixes.contains_key(prefix) {
                self.insert_hint(*prefix, cached_at);
            }
        }
    }

    /// Compares the `hinted` tokens of an ended attempt with what the engine found in its cache. A
    /// wrong hint lowers the trust in the others, and is removed if less than half of the hinted
    /// tokens were found. Attempts without a hint or without a first token are ignored.
    pub fn on_done(&mut self, work: &Work, hinted: Tokens, done: &AttemptSummary) {
        if hinted == Tokens::ZERO || done.first_token.is_none() {
            return;
        }
        let hit_ratio = (done.cached_tokens.as_f64() / hinted.as_f64()).min(1.0);
        self.trust += TRUST_SAMPLE_WEIGHT * (hit_ratio - self.trust);
        let is_wrong = |tokens: Tokens| tokens > done.cached_tokens;
        for (prefix, tokens) in &work.prefixes {
            if is_wrong(*tokens) && *tokens <= hinted && hit_ratio < 0.5 {
                self.prefixes.swap_remove(prefix);
            }
        }
    }

    /// Applies cache events of the upstream.
    pub fn on_events(&mut self, events: &[CacheEvent], now: Instant) {
        for event in events {
            match event.kind {
                CacheEventKind::Stored => self.insert_hint(event.prefix, now),
                CacheEventKind::Evicted => {
                    self.prefixes.swap_remove(&event.prefix);
                }
            }
        }
    }

    /// The length of the longest prefix of this prompt that is expected to be in the cache.
    pub fn hinted_tokens(&self, work: &Work, now: Instant) -> Tokens {
        let known = |(prefix, _): &&(ContentHash, Tokens)| {
            self.prefixes
                .get(prefix)
                .is_some_and(|cached_at| *cached_at <= now)
        };
        let longest = work.prefixes.iter().rev().find(known);
        longest.map_or(Tokens::ZERO, |(_, tokens)| *tokens)
    }

    fn insert_hint(&mut self, prefix: ContentHash, cached_at: Instant) {
        if self.prefixes.len() >= HINTS_MAX && !self.prefixes.contains_key(&prefix) {
            // The first entry is among the oldest. Exact order is not worth its cost for hints.
            self.prefixes.swap_remove_index(0);
        }
        self.prefixes.insert(prefix, cached_at);
    }
}

impl Default for PrefixHints {
    fn default() -> Self {
        Self::new()
    }
}

//! Hints on which upstream has which prompt prefix in its cache.
//!
//! Load it answers: prompts that begin alike. Reading a prefix again costs as much as the rest of
//! the prompt. Cache events are late and have gaps, so a hint is never more than that: it lowers the
//! cost that placement compares, in the measure in which the upstream's hints came true lately.
//! One prefix with half of all calls does not melt its upstream, because the load there raises the
//! cost until reading the prefix once more elsewhere is cheaper; from then on both have it.

use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::AttemptSummary;
use crate::decide::Work;
use crate::units::ContentHash;
use crate::units::Tokens;
use crate::upstream::CacheEvent;
use crate::upstream::CacheEventKind;

/// Prefixes remembered for one upstream: more than an engine's memory holds of the longer ones.
const PREFIXES_MAX: usize = 2_048;
/// The weight of one answer in the trust in an upstream's hints.
const TRUST_GAIN: f64 = 0.1;

/// What is known of one upstream's cache.
#[derive(Debug)]
pub struct PrefixHints {
    /// When each is in the cache, if all goes as expected.
    prefixes: IndexMap<ContentHash, Instant>,
    trust: f64,
}

impl PrefixHints {
    /// Nothing known, and full trust in what will be.
    pub fn new() -> Self {
        Self {
            prefixes: IndexMap::new(),
            trust: 1.0,
        }
    }

    /// The tokens of this prompt that are probably cached.
    pub fn cached_tokens(&self, work: &Work, now: Instant) -> f64 {
        self.hinted_tokens(work, now).as_f64() * self.trust
    }

    /// Takes in that a prompt goes there, which leaves its prefixes in the cache when it has been
    /// read. A second prompt that comes before then reads them again.
    pub fn on_grant(&mut self, work: &Work, read_at: Instant) {
        for (prefix, _) in &work.prefixes {
            if !self.prefixes.contains_key(prefix) {
                self.remember(*prefix, read_at);
            }
        }
    }

    /// Takes in what the engine found. A hint that did not come true is forgotten, and trust in the
    /// others goes down.
    pub fn on_done(&mut self, work: &Work, hinted: Tokens, done: &AttemptSummary) {
        if hinted == Tokens::ZERO || done.first_token.is_none() {
            return;
        }
        let came_true = (done.cached_tokens.as_f64() / hinted.as_f64()).min(1.0);
        self.trust += TRUST_GAIN * (came_true - self.trust);
        let is_wrong = |tokens: Tokens| tokens > done.cached_tokens;
        for (prefix, tokens) in &work.prefixes {
            if is_wrong(*tokens) && *tokens <= hinted && came_true < 0.5 {
                self.prefixes.swap_remove(prefix);
            }
        }
    }

    /// Takes in cache events.
    pub fn on_events(&mut self, events: &[CacheEvent], now: Instant) {
        for event in events {
            match event.kind {
                CacheEventKind::Stored => self.remember(event.prefix, now),
                CacheEventKind::Evicted => {
                    self.prefixes.swap_remove(&event.prefix);
                }
            }
        }
    }

    /// The longest prefix of this prompt that is thought to be cached.
    pub fn hinted_tokens(&self, work: &Work, now: Instant) -> Tokens {
        let known = |(prefix, _): &&(ContentHash, Tokens)| {
            self.prefixes
                .get(prefix)
                .is_some_and(|read_at| *read_at <= now)
        };
        let longest = work.prefixes.iter().rev().find(known);
        longest.map_or(Tokens::ZERO, |(_, tokens)| *tokens)
    }

    fn remember(&mut self, prefix: ContentHash, read_at: Instant) {
        if self.prefixes.len() >= PREFIXES_MAX && !self.prefixes.contains_key(&prefix) {
            // The first one is among the oldest; exact order is not worth its cost for hints.
            self.prefixes.swap_remove_index(0);
        }
        self.prefixes.insert(prefix, read_at);
    }
}

impl Default for PrefixHints {
    fn default() -> Self {
        Self::new()
    }
}

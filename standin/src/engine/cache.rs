//! Prefix cache: segments of prompts, kept in memory that no attempt uses.

use banyanarch::units::ContentHash;
use banyanarch::units::Tokens;
use banyanarch::upstream::CacheEvent;
use banyanarch::upstream::CacheEventKind;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// A segment: the tokens between the end of the parent prefix and the end of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct Segment {
    pub(crate) prefix: ContentHash,
    /// The prefix that the segment follows; `None` for the first segment.
    pub(crate) parent: Option<ContentHash>,
    /// The length of the segment in tokens.
    pub(crate) tokens: u64,
    /// The length in tokens of the prefix that the segment completes.
    pub(crate) end_tokens: u64,
}

/// Cached segments in order of use, the least recently used first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    segments: IndexMap<ContentHash, Segment>,
    cached_tokens: u64,
    seq: u64,
    /// Events that have not been collected yet.
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Returns how many tokens of a prompt are cached, and marks their segments as used.
    pub(crate) fn touch_cached(&mut self, prefixes: &[Segment]) -> u64 {
        let chain = prefixes
            .iter()
            .take_while(|segment| self.segments.contains_key(&segment.prefix));
        let found: Vec<Segment> = chain.cloned().collect();
        self.mark_used(&found);
        found.last().map_or(0, |segment| segment.end_tokens)
    }

    /// Stores the segments of a prompt as far as `capacity_tokens` allows.
    pub(crate) fn store(&mut self, prefixes: &[Segment], capacity_tokens: u64) {
        for segment in prefixes {
            if self.segments.contains_key(&segment.prefix) {
                continue;
            }
            if segment.end_tokens > capacity_tokens {
                break;
            }
            self.cached_tokens += segment.tokens;
            self.segments.insert(segment.prefix, segment.clone());
            self.record_event(CacheEventKind::Stored, segment);
        }
        self.mark_used(prefixes);
        self.shrink_to(capacity_tokens);
    }

    /// Evicts segments until at most `capacity_tokens` are cached.
    pub(crate) fn shrink_to(&mut self, capacity_tokens: u64) {
        while self.cached_tokens > capacity_tokens {
            let Some((_, segment)) = self.segments.shift_remove_index(0) else {
                return;
            };
            self.cached_tokens -= segment.tokens;
            self.record_event(CacheEventKind::Evicted, &segment);
        }
    }

    /// Returns the segments that make up a prefix, the first one first; `None` when one is missing.
    pub(crate) fn export(&self, prefix: ContentHash) -> Option<Vec<Segment>> {
        let mut chain = vec![self.segments.get(&prefix)?.clone()];
        while let Some(parent) = chain.last().and_then(|segment| segment.parent) {
            chain.push(self.segments.get(&parent)?.clone());
        }
        chain.reverse();
        Some(chain)
    }

    /// Removes and returns the events recorded since the last call.
    pub(crate) fn drain_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    /// Marks a chain as most recently used. Its last segment is the first to be evicted, so that
    /// what remains of a chain is still a prefix.
    fn mark_used(&mut self, chain: &[Segment]) {
        for segment in chain.iter().rev() {
            if let Some((prefix, segment)) = self.segments.shift_remove_entry(&segment.prefix) {
                self.segments.insert(prefix, segment);
            }
        }
    }

    fn record_event(&mut self, kind: CacheEventKind, segment: &Segment) {
        self.seq += 1;
        self.events.push(CacheEvent {
            seq: self.seq,
            kind,
            prefix: segment.prefix,
            tokens: Tokens(segment.end_tokens),
        });
    }
}

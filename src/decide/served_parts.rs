//! When parts of prompts were last served.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::RequestPart;

/// The number of parts after which a generation is full. Two generations take half a megabyte.
const GENERATION_MAX: usize = 8_192;
/// How long it counts that a part was served.
const RETENTION: Duration = Duration::from_secs(600);

/// When requests with each part were last served to their end. Of more than [`GENERATION_MAX`]
/// parts, those that were served longest ago are forgotten.
#[derive(Debug, Default)]
pub(crate) struct ServedParts {
    recent: IndexMap<RequestPart, Instant>,
    former: IndexMap<RequestPart, Instant>,
}

impl ServedParts {
    /// Records that a request with the part was served.
    pub(crate) fn record(&mut self, part: RequestPart, at: Instant) {
        let at = self.last_at(part).map_or(at, |known| known.max(at));
        if self.recent.len() >= GENERATION_MAX && !self.recent.contains_key(&part) {
            self.former = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, at);
    }

    /// When the part was last served; none if it was not within the retention, or is forgotten.
    pub(crate) fn served_at(&self, part: RequestPart, now: Instant) -> Option<Instant> {
        let is_kept = |at: &Instant| now.saturating_duration_since(*at) < RETENTION;
        self.last_at(part).filter(is_kept)
    }

    fn last_at(&self, part: RequestPart) -> Option<Instant> {
        let known = self.recent.get(&part).or_else(|| self.former.get(&part));
        known.copied()
    }
}

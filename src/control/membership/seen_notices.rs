//! Duplicate detection for notices of leaving upstreams and poison requests.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::peer::message::LeavingUpstream;
use crate::peer::message::PoisonNotice;

/// Maximum number of remembered notices of each kind. Those whose subject was first seen longest
/// ago are forgotten first. A forgotten notice that arrives again only causes its action to be
/// repeated.
const NOTICES_MAX: usize = 1_024;

/// The notices received so far, so that each is handled and broadcast once.
#[derive(Debug, Default)]
pub(crate) struct SeenNotices {
    leaving: IndexMap<String, u64>,
    poison: IndexMap<Vec<u8>, IndexSet<Vec<u8>>>,
}

impl SeenNotices {
    /// Records a notice of a leaving upstream if it is newer than the known ones of that upstream;
    /// returns whether it is.
    pub(crate) fn record_leaving(&mut self, leaving: &LeavingUpstream) -> bool {
        let is_old = self
            .leaving
            .get(&leaving.upstream)
            .is_some_and(|version| *version >= leaving.version);
        if !is_old {
            self.leaving
                .insert(leaving.upstream.clone(), leaving.version);
            if self.leaving.len() > NOTICES_MAX {
                self.leaving.shift_remove_index(0);
            }
        }
        !is_old
    }

    /// Merges a notice with earlier ones of the same content. Returns the merged notice if it
    /// contains a new attempt.
    pub(crate) fn merge_poison(&mut self, notice: PoisonNotice) -> Option<PoisonNotice> {
        let attempts = self.poison.entry(notice.content.clone()).or_default();
        let known = attempts.len();
        attempts.extend(notice.attempts);
        if attempts.len() == known {
            return None;
        }
        let merged = PoisonNotice {
            content: notice.content,
            attempts: attempts.iter().cloned().collect(),
        };
        if self.poison.len() > NOTICES_MAX {
            self.poison.shift_remove_index(0);
        }
        Some(merged)
    }
}

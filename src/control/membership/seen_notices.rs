//! What was already heard of leaving upstreams and poison requests.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::peer::message::LeavingUpstream;
use crate::peer::message::PoisonNotice;

/// More is forgotten, the oldest first; hearing it again only repeats an action.
const NOTICES_MAX: usize = 1_024;

/// What was already heard, so that each word is acted on and passed on once.
#[derive(Debug, Default)]
pub(crate) struct SeenNotices {
    leaving: IndexMap<String, u64>,
    poison: IndexMap<Vec<u8>, IndexSet<Vec<u8>>>,
}

impl SeenNotices {
    /// Whether this word of a leaving upstream is new.
    pub(crate) fn is_new_leaving(&mut self, leaving: &LeavingUpstream) -> bool {
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

    /// Adds a notice to what is known of its content; all of that if there was something new.
    pub(crate) fn merge(&mut self, notice: PoisonNotice) -> Option<PoisonNotice> {
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

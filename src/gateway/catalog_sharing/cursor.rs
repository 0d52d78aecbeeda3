//! Where a host's own reads of one list of the platform go on.

use std::time::Duration;

use crate::gateway::Watch;
use crate::units::ObjectVersion;

/// How long the platform waits for a change before it answers. As long as the interval of reads without
/// waiting, so it costs no more calls and what is known grows no older; a change is known at once.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(600);

/// Where a host's own reads of one list go on; nowhere before the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cursor {
    as_of: Option<ObjectVersion>,
    is_hurried: bool,
    /// What the last answer took beyond the time for which it waited.
    delay: Duration,
}

impl Cursor {
    /// What the next read waits for; none if it is to read all.
    ///
    /// Load it answers: a platform that takes a third of a second for an answer. With its whole wait on top
    /// what a host tells the others is too old for them, and all of them ask the platform as well.
    pub(crate) fn watch(&self) -> Option<Watch> {
        let wait = if self.is_hurried {
            Duration::ZERO
        } else {
            WATCH_WAIT.saturating_sub(self.delay)
        };
        let since = self.as_of?;
        Some(Watch { since, wait })
    }

    /// Takes in how long an answer took that was to wait for `wait`.
    pub(crate) fn on_answered(&mut self, wait: Duration, took: Duration) {
        self.delay = took.saturating_sub(wait);
    }

    /// Takes in an answer that goes up to this change.
    pub(crate) fn go_on(&mut self, as_of: Option<ObjectVersion>) {
        self.as_of = as_of;
        self.is_hurried = false;
    }

    /// Whether the next answer is to come at once: after a change, since more may have changed, and after a
    /// failure, since a call that waits takes as long to fail.
    pub(crate) fn set_hurried(&mut self, is_hurried: bool) {
        self.is_hurried = is_hurried;
    }
}

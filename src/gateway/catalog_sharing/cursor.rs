//! Resumption of a host's own reads of one list of the platform.

use std::time::Duration;

use crate::gateway::Watch;
use crate::units::ObjectVersion;

/// How long the platform waits for a change before it answers. It equals the interval of reads that
/// do not wait, so watches cost no more calls and confirm the lists as often, but report a change
/// at once.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(600);

/// Where a host's own reads of one list resume, and how long the platform is to wait for a change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cursor {
    /// The last change that was read; none if the next read is to return the full list.
    as_of: Option<ObjectVersion>,
    /// Whether the platform is to respond to the next read without waiting.
    is_immediate: bool,
    /// Duration of the last call beyond the time for which the platform was to wait.
    delay: Duration,
}

impl Cursor {
    /// The watch of the next read; none if the next read is to return the full list.
    ///
    /// The wait is shortened by the delay of the last call. If a platform that needs a third of a
    /// second for a response also waited for the full time, the lists would be too old for the
    /// peers of this host, and all of them would read the platform as well.
    pub(crate) fn watch(&self) -> Option<Watch> {
        let wait = if self.is_immediate {
            Duration::ZERO
        } else {
            WATCH_WAIT.saturating_sub(self.delay)
        };
        let since = self.as_of?;
        Some(Watch { since, wait })
    }

    /// Records the duration of a call for which the platform was to wait for `wait`.
    pub(crate) fn record_duration(&mut self, wait: Duration, took: Duration) {
        self.delay = took.saturating_sub(wait);
    }

    /// Sets the change after which the next read resumes; none if it is to return the full list.
    pub(crate) fn resume_after(&mut self, as_of: Option<ObjectVersion>) {
        self.as_of = as_of;
        self.is_immediate = false;
    }

    /// Sets whether the platform is to respond to the next call without waiting. This is the case
    /// after a change, since more may have changed, and after a failure, since a call that waits
    /// takes that much longer to fail.
    pub(crate) fn set_immediate(&mut self, is_immediate: bool) {
        self.is_immediate = is_immediate;
    }
}

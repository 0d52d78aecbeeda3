//! An attempt whose upstream is silent, beside the one that is to replace it.

use crate::decide::AttemptOutcome;
use crate::entry::Attempt;
use crate::entry::driver::Driver;
use crate::entry::response_source::ResponseSource;

/// An attempt that goes on if the one that is to replace it is not accepted.
pub(super) struct SilentAttempt {
    attempt: Attempt,
    source: Option<ResponseSource>,
    /// The text of a reply that is not streamed.
    buffered_text: String,
}

impl Driver<'_> {
    /// Puts the silent attempt aside, if there is one, to make room for its replacement.
    pub(super) fn keep_silent_attempt(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.kept = Some(SilentAttempt {
            attempt,
            source: self.source.take(),
            buffered_text: self.reply.take_buffered_text(),
        });
    }

    /// Goes back to the silent attempt, if there is one, and ends its replacement.
    pub(super) fn restore_kept(&mut self) {
        let Some(kept) = self.kept.take() else {
            return;
        };
        self.end_attempt(AttemptOutcome::Failed);
        self.attempt = Some(kept.attempt);
        self.source = kept.source;
        self.reply.set_buffered_text(kept.buffered_text);
    }

    /// Ends the silent attempt, if there is one.
    pub(super) fn give_up_kept(&mut self) {
        let Some(kept) = self.kept.take() else {
            return;
        };
        drop(kept.source);
        self.release(&kept.attempt, AttemptOutcome::Failed);
    }
}

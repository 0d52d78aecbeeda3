//! An engine as a host sees it.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::LimitState;
use crate::decide::UpstreamLoad;
use crate::units::Slowdown;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// The part of an engine's memory that is given away: estimates of answers are off.
const MEMORY_PART: f64 = 0.97;
/// The part of an accepted pause that is planned with; the rest is for what other hosts send in the
/// same moment.
pub(super) const PAUSE_PART: f64 = 0.9;
/// Prompts that an engine could still help when hosts take it for full: as many as other hosts may send there in the
/// same moment, and half of its slots at most.
const HELPING_KEPT_FREE: u32 = 5;
/// Passes from a request's arrival to its first event, beside its own reading: half of the pass that
/// is under way, the one that it is read in, and the one that writes the tokens of the event.
const PASSES_TO_FIRST_EVENT: f64 = 2.5;

/// An engine as this host sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Its id.
    pub id: UpstreamId,
    /// The work of all hosts there.
    pub load: UpstreamLoad,
    /// Whether it is in the failure domain of the host that chooses.
    pub is_near: bool,
    /// How much slower than its model it works.
    pub slowdown: Slowdown,
    /// Whether its own limit allows one more request.
    pub limit: LimitState,
}

impl EngineView {
    /// Whether it has a free place for one more answer.
    pub fn has_place(&self, model: &EngineModel) -> bool {
        self.limit != LimitState::Exhausted && self.load.in_flight < model.slots
    }

    /// Whether it may be named as a helper of one more prompt: an engine helps as many others as it has slots
    /// and turns the next prompt away. One that has named a limit is short of capacity and gets no part that others
    /// can read.
    pub fn can_help(&self, model: &EngineModel) -> bool {
        let kept_free = HELPING_KEPT_FREE.min(model.slots / 2);
        self.limit == LimitState::Unlimited && self.load.helping + kept_free < model.slots
    }

    /// Memory that nothing has been promised, and less than the engine has refused a moment ago: what dead hosts
    /// had set aside there is on nobody's books.
    pub fn free_tokens(&self, model: &EngineModel) -> Tokens {
        let usable = model.memory_tokens.as_f64() * MEMORY_PART;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let usable = Tokens(usable as u64);
        let free = usable.saturating_sub(self.load.held_tokens);
        let refused = self.load.refused_tokens;
        refused.map_or(free, |refused| free.min(refused.saturating_sub(Tokens(1))))
    }

    /// How long a pass takes when nothing is read in.
    pub fn pass_time(&self, model: &EngineModel) -> Duration {
        let pass_time = model.pass_time(self.load.in_flight + 1, self.load.held_tokens);
        self.slowdown.stretch(pass_time)
    }

    /// Time until it has read in what waits there.
    pub fn backlog(&self) -> Duration {
        self.slowdown.stretch(self.load.prefill_backlog)
    }

    /// Whether a part fits beside the answers that are being written there.
    pub fn has_room(&self, model: &EngineModel, part_time: Duration) -> bool {
        self.slowdown.stretch(part_time) <= self.room(model)
    }

    /// How much can be read in beside what waits without stretching the pauses of the answers that
    /// are being written there too far; unbounded where none is.
    ///
    /// Failure it guards against: an archive is read among clauses, and every caller there sees its
    /// answer stand still. It holds because a pause is one pass, and a pass is its steps and all
    /// that is read in meanwhile.
    pub fn room(&self, model: &EngineModel) -> Duration {
        let Some(pause) = self.load.strictest_pause else {
            return Duration::MAX;
        };
        pause
            .mul_f64(PAUSE_PART)
            .saturating_sub(self.pass_time(model))
            .saturating_sub(self.backlog())
    }

    /// When a part is read that comes now and that this engine helps with: engines read such parts ahead
    /// of all that waits there.
    pub fn helped(&self, model: &EngineModel, part_time: Duration) -> Duration {
        let read_time = self.slowdown.stretch(part_time);
        read_time + self.pass_time(model).mul_f64(PASSES_TO_FIRST_EVENT)
    }

    /// Whether a prompt that is being read here would come late by a part that is read before it.
    pub fn makes_late(&self, model: &EngineModel, part_time: Duration) -> bool {
        let ready = self.backlog() + self.slowdown.stretch(part_time) + self.pass_time(model);
        self.load.prefill_due.is_some_and(|due| ready > due)
    }

    /// When the first event of a request is expected that comes now and is read in `part_time`.
    pub fn first_event(&self, model: &EngineModel, part_time: Duration) -> Duration {
        self.backlog() + self.helped(model, part_time)
    }
}

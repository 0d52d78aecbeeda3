//! The state of one engine as known to the host that chooses engines.

use std::time::Duration;

use crate::decide::EngineModel;
use crate::decide::LimitState;
use crate::decide::UpstreamLoad;
use crate::units::BoundedTime;
use crate::units::Slowdown;
use crate::units::Tokens;
use crate::units::UpstreamId;

/// Fraction of an engine's memory that is handed out. The rest covers errors in estimated answer
/// lengths.
const USABLE_MEMORY_FRACTION: f64 = 0.97;
/// Fraction of an accepted pause that a host plans with. The rest is for prompts that other hosts
/// send at the same moment.
pub(super) const PLANNED_PAUSE_FRACTION: f64 = 0.9;
/// Number of helper slots that a host leaves free for prompts that other hosts may send to an
/// engine at the same moment. Engines with few slots keep only half of them free.
const HELPER_SLOTS_KEPT_FREE: u32 = 5;
/// Passes from a request's arrival to its first event, not counting the time to read the prompt:
/// half of the current pass, the pass that reads the prompt, and the pass that writes the event's
/// tokens.
const PASSES_TO_FIRST_EVENT: f64 = 2.5;

/// The state of an engine as this host knows it now.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The id of the engine.
    pub id: UpstreamId,
    /// The load of all hosts on the engine.
    pub load: UpstreamLoad,
    /// Whether the engine is in the failure domain of the host that chooses.
    pub is_near: bool,
    /// How much slower than its model the engine works.
    pub slowdown: Slowdown,
    /// Whether the engine's own rate limit allows one more request.
    pub limit: LimitState,
}

impl EngineView {
    /// Whether the engine has a free slot for one more answer.
    pub fn has_free_slot(&self, model: &EngineModel) -> bool {
        self.limit != LimitState::Exhausted && self.load.in_flight < model.slots
    }

    /// Whether the engine may be named as a helper of one more prompt.
    ///
    /// An engine helps with as many prompts as it has slots and rejects the next one. An engine
    /// that has set a rate limit is short of capacity and gets no parts, since others can read
    /// them.
    pub fn can_help(&self, model: &EngineModel) -> bool {
        let kept_free = HELPER_SLOTS_KEPT_FREE.min(model.slots / 2);
        self.limit == LimitState::Unlimited && self.load.helping + kept_free < model.slots
    }

    /// The memory that no request holds, in tokens.
    ///
    /// The result is below any amount that the engine has recently refused to reserve, because the
    /// engine may hold reservations of dead hosts, which no live host reports.
    pub fn free_tokens(&self, model: &EngineModel) -> Tokens {
        let usable = model.memory_tokens.as_f64() * USABLE_MEMORY_FRACTION;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let usable = Tokens(usable as u64);
        let free = usable.saturating_sub(self.load.held_tokens);
        let refused = self.load.refused_tokens;
        refused.map_or(free, |refused| free.min(refused.saturating_sub(Tokens(1))))
    }

    /// Time of a pass that writes the present answers and one more, and reads no prompt.
    pub fn pass_time(&self, model: &EngineModel) -> Duration {
        let pass_time = model.pass_time(self.load.in_flight + 1, self.load.held_tokens);
        self.slowdown.scale(pass_time)
    }

    /// Time until the engine has read all prompts and parts that were sent there.
    pub fn backlog(&self) -> Duration {
        self.slowdown.scale(self.load.prefill_backlog)
    }

    /// Whether the engine can read a part without lengthening the pauses of its answers too far.
    pub fn fits_part(&self, model: &EngineModel, part_time: Duration) -> bool {
        self.slowdown.scale(part_time) <= self.prefill_headroom(model)
    }

    /// Prefill time that can be added to the backlog before the pauses of the engine's answers
    /// become too long; unbounded if the engine writes no answers.
    ///
    /// Without this limit, a long prompt read among short ones would stall every answer on the
    /// engine. A pause lasts one pass, and a pass lasts as long as its steps and everything that is
    /// read in it.
    pub fn prefill_headroom(&self, model: &EngineModel) -> Duration {
        let Some(pause) = self.load.strictest_pause else {
            return Duration::MAX;
        };
        pause
            .scaled(PLANNED_PAUSE_FRACTION)
            .saturating_sub(self.pass_time(model))
            .saturating_sub(self.backlog())
    }

    /// Time until this engine, as a helper, has read a part that is sent now. Engines read the
    /// parts that they help with ahead of everything that waits.
    pub fn time_to_read_as_helper(&self, model: &EngineModel, part_time: Duration) -> Duration {
        let prefill_time = self.slowdown.scale(part_time);
        prefill_time + self.pass_time(model).scaled(PASSES_TO_FIRST_EVENT)
    }

    /// Whether a part that this engine reads ahead of its backlog would make a prompt late that the
    /// engine is already reading.
    pub fn makes_late(&self, model: &EngineModel, part_time: Duration) -> bool {
        let ready = self.backlog() + self.slowdown.scale(part_time) + self.pass_time(model);
        self.load.prefill_due.is_some_and(|due| ready > due)
    }

    /// Expected time until the first event of a request that is sent now and read in `part_time`.
    pub fn time_to_first_event(&self, model: &EngineModel, part_time: Duration) -> Duration {
        self.backlog() + self.time_to_read_as_helper(model, part_time)
    }
}

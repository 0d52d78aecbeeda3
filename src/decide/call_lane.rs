//! Lanes of waiting calls.

use crate::decide::EngineModel;
use crate::decide::engines::EngineRequest;
use crate::decide::engines::PromptClass;

/// Number of calls of a lane with unlike needs that may be tried at a time, in their order. A
/// prompt of half a million tokens waits for as many engines as a few shorter ones together, which
/// should not wait for it while engines are idle.
const TRIED_OF_UNLIKE_CALLS: usize = 4;

/// A class of calls that wait for the same kind of place at a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallLane {
    /// Short prompts, which wait for a slot of an engine.
    Short,
    /// Medium prompts, which several engines read.
    Medium,
    /// Long prompts, which several engines read and hold.
    Long,
    /// Calls to plain services, which wait for a slot of an instance.
    Plain,
}

impl CallLane {
    /// The lane of a prompt.
    pub fn of_prompt(model: &EngineModel, request: &EngineRequest) -> Self {
        match request.class(model) {
            PromptClass::Short => Self::Short,
            PromptClass::Medium => Self::Medium,
            PromptClass::Long => Self::Long,
        }
    }

    /// Whether a place that suits one call of the lane suits all. If so, no call may overtake
    /// another one that comes first.
    pub fn has_equal_needs(self) -> bool {
        matches!(self, Self::Short | Self::Plain)
    }

    /// The number of calls, from the first, that may be tried at a time.
    pub fn tried_at_a_time(self) -> usize {
        if self.has_equal_needs() {
            1
        } else {
            TRIED_OF_UNLIKE_CALLS
        }
    }
}

//! Lanes of waiting calls.

use crate::decide::engines::PromptClass;

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
    /// Whether a place that suits one call of the lane suits all. If so, no call may overtake
    /// another one that comes first.
    pub fn has_equal_needs(self) -> bool {
        matches!(self, Self::Short | Self::Plain)
    }
}

impl From<PromptClass> for CallLane {
    fn from(class: PromptClass) -> Self {
        match class {
            PromptClass::Short => Self::Short,
            PromptClass::Medium => Self::Medium,
            PromptClass::Long => Self::Long,
        }
    }
}

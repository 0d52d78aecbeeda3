//! How far the answer of an upstream to a call has come.

/// How far the answer of an upstream to a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// Nothing was received.
    Unanswered,
    /// The head of the response was received: the call has begun to run.
    Begun,
    /// One complete event of a stream was received.
    FirstEvent,
    /// Several complete events of a stream were received.
    Events,
}

impl AnswerProgress {
    /// The name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::Begun => "begun",
            Self::FirstEvent => "first_event",
            Self::Events => "events",
        }
    }

    /// How far the answer has come after this number of complete events.
    pub(crate) fn after_events(events: usize) -> Self {
        match events {
            0 => Self::Begun,
            1 => Self::FirstEvent,
            2.. => Self::Events,
        }
    }

    /// Whether an event was received.
    pub(crate) fn has_event(self) -> bool {
        matches!(self, Self::FirstEvent | Self::Events)
    }
}

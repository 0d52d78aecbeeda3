//! How far the answer of an upstream to a call has come.

/// How far the answer of an upstream to a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// Nothing was received.
    Unanswered,
    /// The head of the response was received: the call has begun to run.
    Begun,
    /// At least one complete event of a stream was received.
    Events,
}

impl AnswerProgress {
    /// The name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::Begun => "begun",
            Self::Events => "events",
        }
    }
}

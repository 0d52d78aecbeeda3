//! The kinds of calls by whether they may be repeated.

/// Whether a call may be sent to a second upstream although the first one may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run once. A second send requires proof that the first one did not run.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another upstream can resume the stream after a given event.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a call may be sent again after a send whose outcome is unknown.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// The name of the kind in logs and metrics: `idempotent`, `at_most_once`, `resumable_stream`
    /// or `stream`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at_most_once",
            Self::Stream { is_resumable: true } => "resumable_stream",
            Self::Stream {
                is_resumable: false,
            } => "stream",
        }
    }
}

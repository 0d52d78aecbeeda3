//! What may be repeated.

/// Whether a call may reach a second upstream after a first one may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once. A second send needs proof that the first did not run.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another upstream can go on after a given event.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a send whose outcome is unknown may be followed by another one.
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

    /// The kind as one word for logs and metrics.
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

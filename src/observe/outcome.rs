//! The three outcomes of a request.

use std::fmt;

/// What became of a request, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The caller got the whole answer.
    Completed,
    /// It failed, and no upstream ran it.
    NotRun,
    /// It failed, and an upstream may have run it.
    MayHaveRun,
}

impl Outcome {
    /// The name in headers, bodies, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

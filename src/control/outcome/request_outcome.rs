//! The outcome of a request, as reported to its caller.

use std::fmt;
use std::str::FromStr;

use crate::units::ParseUnitError;

/// The outcome of a request: the value of the header `Banyanarch-Outcome`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller has received the whole answer.
    Completed,
    /// The request certainly did not run; sending it again is safe.
    NotRun,
    /// The request failed and may have run.
    MayHaveRun,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Self; 3] = [Self::Completed, Self::NotRun, Self::MayHaveRun];

    /// The value of the header.
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

impl FromStr for Outcome {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::ALL.into_iter().find(|outcome| outcome.name() == text);
        named.ok_or_else(|| ParseUnitError {
            expected: "completed, not-run or may-have-run",
            text: text.to_owned(),
        })
    }
}

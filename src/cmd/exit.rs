//! How the tool ends.

/// The tool's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done: the file is good, the manifest was accepted, there is no difference.
    Done,
    /// The answer is no: refused, different, not found.
    Refused,
    /// The command line or a file is wrong.
    BadInput,
    /// The platform or host was not reached; nothing was changed.
    Unreachable,
    /// It can't be told whether the manifest was accepted.
    Unknown,
}

impl Exit {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::BadInput => 2,
            Self::Unreachable => 3,
            Self::Unknown => 4,
        }
    }
}

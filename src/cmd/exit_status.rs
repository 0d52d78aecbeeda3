//! The exit status of the tool.

/// The exit status of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded: the files are valid, the manifest was accepted, or there is no
    /// difference.
    Success,
    /// The command ran with a negative result: refused, different, not found, an invalid response,
    /// or an error of standard input or output or of the async runtime.
    Negative,
    /// The command line or a file is invalid.
    BadInput,
    /// The platform or host was not reached; nothing was changed.
    Unreachable,
    /// Whether the manifest was accepted is unknown.
    Unknown,
}

impl ExitStatus {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Negative => 1,
            Self::BadInput => 2,
            Self::Unreachable => 3,
            Self::Unknown => 4,
        }
    }
}

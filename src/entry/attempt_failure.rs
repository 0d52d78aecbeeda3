//! How an attempt failed.

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The attempt certainly did not run.
    DidNotRun,
    /// The connection broke; the attempt may still be running at the upstream.
    Interrupted,
    /// The upstream has sent nothing for some time; the attempt may still be running, and is not
    /// given up before another has been accepted.
    Silent,
    /// The upstream failed the attempt, no longer knows the attempt, or died.
    Lost,
    /// The upstream sent something that is not this attempt's response.
    InvalidResponse,
}

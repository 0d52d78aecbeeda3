//! What a caller was told.

use std::time::Duration;

/// What came of one sending, as the caller knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer came, and it is the answer to this request.
    Completed,
    /// An answer came as whole that is not the answer to this request.
    Wrong(String),
    /// It did not run, as the host says or because nothing was sent.
    NotRun {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// It may have run, as the host says.
    MayHaveRun(String),
    /// The connection broke before an outcome was told.
    Cut(String),
}

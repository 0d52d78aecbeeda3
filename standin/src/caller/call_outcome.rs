//! Outcome of sending a request.

use std::time::Duration;

/// The outcome of sending a request once, as the caller knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer arrived, and it is the expected answer.
    Completed,
    /// A complete answer arrived that is not the expected one; holds the difference.
    Wrong(String),
    /// The request did not run: the host said so, or nothing was sent.
    NotRun {
        /// The reason that the host gave.
        reason: String,
        /// How long to wait before sending the request again.
        retry_after: Option<Duration>,
    },
    /// The request may have run, as the host says; holds the reason.
    MayHaveRun(String),
    /// The connection broke, or the caller gave up, before an outcome was known.
    Cut(String),
}

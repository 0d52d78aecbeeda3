//! The outcome of a request as reported to its caller, and the verification of its answer.
//!
//! [`RunTracker`] tracks whether a request may have run, over all its attempts. [`AnswerCheck`]
//! passes only the next piece of the right answer.

mod answer_check;
mod answer_fault;
mod request_outcome;
mod run_tracker;

pub use answer_check::AnswerCheck;
pub use answer_check::AnswerStep;
pub use answer_fault::AnswerFault;
pub use request_outcome::Outcome;
pub use run_tracker::AfterFailure;
pub use run_tracker::RunTracker;

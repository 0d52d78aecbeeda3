//! What callers are told, truthfully: the three outcomes, and whose answer a piece is.
//!
//! [`RunTracker`] remembers of one request whether it may have run, over all its attempts.
//! [`AnswerCheck`] lets through only what is the next piece of the right answer.

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

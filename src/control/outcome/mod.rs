//! What callers are told, truthfully: the three outcomes, and whose answer a piece is.
//!
//! [`RunTracker`] remembers of one request whether it may have run, over all its attempts.
//! [`AnswerCheck`] lets through only what is the next piece of the right answer.

mod answer_check;
mod answer_fault;
mod run_record;
mod told;

pub use answer_check::AnswerCheck;
pub use answer_check::AnswerStep;
pub use answer_fault::AnswerFault;
pub use run_record::AfterFailure;
pub use run_record::RunTracker;
pub use told::Outcome;

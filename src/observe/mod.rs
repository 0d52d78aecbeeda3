//! Metrics, logs and explanations of what was decided.

mod board_totals;
mod error;
mod explanations;
mod gauges;
mod ledger_totals;
pub mod logs;
mod metrics;
mod step;

pub use crate::control::outcome::Outcome;
pub use error::ObserveError;
pub use explanations::Bounds;
pub use explanations::Explanations;
pub use ledger_totals::LedgerTotals;
pub use metrics::Metrics;
pub use step::Explanation;
pub use step::Step;
pub use step::StepKind;

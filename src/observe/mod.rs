//! Metrics, logs, and explanations of the decisions for a request.

mod error;
mod explanations;
mod gauges;
mod host_counts;
pub(crate) mod instruments;
mod latest_counts;
pub mod logs;
mod metrics;
mod seen_names;
mod step;

pub use crate::control::outcome::Outcome;
pub use error::ObserveError;
pub use explanations::ExplanationLimits;
pub use explanations::Explanations;
pub use host_counts::HostCounts;
pub use metrics::Metrics;
pub use seen_names::SeenNames;
pub use seen_names::Sighting;
pub use step::Explanation;
pub use step::Step;
pub use step::StepKind;

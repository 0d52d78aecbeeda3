//! Reports of this host, bounded in size and rate.

mod events;
mod report;
mod reporter;

pub use events::EventLog;
pub use events::EventReport;
pub use report::DomainReport;
pub use report::HomeReport;
pub use report::HostReport;
pub use report::StatusInputs;
pub use report::StatusReport;
pub use report::TargetReport;
pub use reporter::Reporter;
pub use reporter::ReporterAction;

//! Status reports of this host, bounded in size and rate.

mod event_log;
mod report;
mod reporter;

pub use event_log::EventLog;
pub use event_log::EventReport;
pub use report::DomainReport;
pub use report::HomeReport;
pub use report::HostReport;
pub use report::StatusInputs;
pub use report::StatusReport;
pub use report::TargetReport;
pub use reporter::Reporter;
pub use reporter::ReporterAction;

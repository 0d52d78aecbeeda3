//! What is kept of a quarantine beyond the life of a process.

use std::time::Duration;

use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::QuarantineId;

/// Parts that crash upstreams, with enough of the crashes to refuse them for as long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The parts, in ascending order: requests with all of them are refused.
    pub parts: Vec<RequestPart>,
    /// Whether the crashes were found to be under these parts. If not, they only suggest it.
    pub is_found: bool,
    /// The last crashes, each with its age.
    pub crashes: Vec<(CrashId, Duration)>,
    /// The ages of the probes since the quarantine began, in their order.
    pub probes: Vec<Duration>,
}

impl QuarantineRecord {
    /// The id, which depends on the parts alone.
    pub fn id(&self) -> QuarantineId {
        QuarantineId::of_parts(&self.parts)
    }

    /// The ids of the crashes.
    pub fn crash_ids(&self) -> impl Iterator<Item = CrashId> {
        self.crashes.iter().map(|(crash, _)| *crash)
    }
}

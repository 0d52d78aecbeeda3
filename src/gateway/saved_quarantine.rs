//! A quarantine as it is saved in the platform.

use std::time::Duration;
use std::time::SystemTime;

use crate::decide::QuarantineRecord;
use crate::decide::RequestPart;
use crate::units::CrashId;
use crate::units::QuarantineId;

/// How far a time of day may lie ahead, since the clocks of hosts differ.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(60);

/// A quarantine of parts that crash upstreams, as it is saved in the platform for hosts that start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedQuarantine {
    /// The parts, in ascending order: requests with all of them are refused.
    pub parts: Vec<RequestPart>,
    /// The last crashes, with the time of day.
    pub crashes: Vec<(CrashId, SystemTime)>,
}

impl SavedQuarantine {
    /// The record at this time of day.
    pub(crate) fn new(record: &QuarantineRecord, wall: SystemTime) -> Self {
        let crashes = record.crashes.iter();
        let crashes =
            crashes.filter_map(|(crash, age)| wall.checked_sub(*age).map(|at| (*crash, at)));
        Self {
            parts: record.parts.clone(),
            crashes: crashes.collect(),
        }
    }

    /// The id, which depends on the parts alone.
    pub fn id(&self) -> QuarantineId {
        QuarantineId::of_parts(&self.parts)
    }

    /// Whether this has all crashes of the other one.
    pub fn includes(&self, other: &Self) -> bool {
        let has = |crash: &CrashId| self.crashes.iter().any(|(known, _)| known == crash);
        other.crashes.iter().all(|(crash, _)| has(crash))
    }

    /// The record at this time of day. Crashes that lie in the future are left out.
    pub(crate) fn record(&self, wall: SystemTime) -> QuarantineRecord {
        let age = |at: SystemTime| match wall.duration_since(at) {
            Ok(age) => Some(age),
            Err(ahead) => (ahead.duration() <= CLOCK_SKEW_MAX).then_some(Duration::ZERO),
        };
        let crashes = self.crashes.iter();
        let crashes = crashes.filter_map(|(crash, at)| age(*at).map(|age| (*crash, age)));
        QuarantineRecord {
            parts: self.parts.clone(),
            crashes: crashes.collect(),
        }
    }
}

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
    /// Whether the crashes were found to be under these parts. If not, they only suggest it.
    pub is_found: bool,
    /// The last crashes, with the time of day.
    pub crashes: Vec<(CrashId, SystemTime)>,
    /// The times of day of the probes, in their order.
    pub probes: Vec<SystemTime>,
}

impl SavedQuarantine {
    /// The record at this time of day.
    pub(crate) fn new(record: &QuarantineRecord, wall: SystemTime) -> Self {
        let crashes = record.crashes.iter();
        let crashes =
            crashes.filter_map(|(crash, age)| wall.checked_sub(*age).map(|at| (*crash, at)));
        let probes = record.probes.iter();
        let probes = probes.map(|age| wall.checked_sub(*age).unwrap_or(wall));
        Self {
            is_found: record.is_found,
            parts: record.parts.clone(),
            crashes: crashes.collect(),
            probes: probes.collect(),
        }
    }

    /// The id, which depends on the parts alone.
    pub fn id(&self) -> QuarantineId {
        QuarantineId::of_parts(&self.parts)
    }

    /// Whether this has all crashes and probes of the other one.
    pub fn includes(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.iter();
        let is_found = self.is_found || !other.is_found;
        is_found
            && self.probes.len() >= other.probes.len()
            && crashes.all(|(crash, _)| self.has(*crash))
    }

    fn has(&self, crash: CrashId) -> bool {
        self.crashes.iter().any(|(known, _)| *known == crash)
    }

    /// Adds what the other one knows of the same parts.
    pub fn merge(&mut self, other: &Self) {
        let crashes = other.crashes.iter();
        let missing: Vec<_> = crashes
            .filter(|(crash, _)| !self.has(*crash))
            .copied()
            .collect();
        self.crashes.extend(missing);
        self.is_found |= other.is_found;
        if other.probes.len() > self.probes.len() {
            self.probes.clone_from(&other.probes);
        }
    }

    /// The record at this time of day. Crashes that lie in the future are left out, and probes count as
    /// of now: there are no fewer of them.
    pub(crate) fn record(&self, wall: SystemTime) -> QuarantineRecord {
        let age = |at: SystemTime| match wall.duration_since(at) {
            Ok(age) => Some(age),
            Err(ahead) => (ahead.duration() <= CLOCK_SKEW_MAX).then_some(Duration::ZERO),
        };
        let crashes = self.crashes.iter();
        let crashes = crashes.filter_map(|(crash, at)| age(*at).map(|age| (*crash, age)));
        QuarantineRecord {
            is_found: self.is_found,
            parts: self.parts.clone(),
            crashes: crashes.collect(),
            probes: self
                .probes
                .iter()
                .map(|at| age(*at).unwrap_or_default())
                .collect(),
        }
    }
}

//! When a host's report is written to the platform.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;

use crate::objects::Object;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::units::ObjectVersion;

/// The least time between two writes. At 400 hosts whose reports all change all the time, this is
/// 14 writes a second at most, of the several hundred that the platform takes.
const INTERVAL: Duration = Duration::from_secs(30);

/// A report that stays the same is still written this often, so that its age shows a dead host.
const INTERVAL_UNCHANGED: Duration = Duration::from_secs(300);

/// After an error. Jittered like all the others: when the platform comes back after an outage, all
/// hosts have something to write.
const RETRY: Duration = Duration::from_secs(30);

/// What the reporter wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReporterAction {
    /// Read this host's report, whose version is not known, and pass on the result.
    Read,
    /// Write the report and pass on the result.
    Write(Precondition),
}

/// When a host's report is written, without I/O.
#[derive(Debug)]
pub struct Reporter {
    rng: StdRng,
    expected: Option<Precondition>,
    written_hash: Option<u64>,
    hash: u64,
    next_at: Instant,
    unchanged_at: Instant,
    is_busy: bool,
}

impl Reporter {
    /// A reporter that has written nothing; its first write comes within the first interval.
    pub fn new(mut rng: StdRng, now: Instant) -> Self {
        let next_at = now + INTERVAL.mul_f64(rng.random());
        Self {
            rng,
            expected: None,
            written_hash: None,
            hash: 0,
            next_at,
            unchanged_at: next_at,
            is_busy: false,
        }
    }

    /// What to do now. `hash` is that of the report without its ages.
    pub fn tick(&mut self, hash: u64, now: Instant) -> Option<ReporterAction> {
        self.hash = hash;
        let has_changed = self.written_hash != Some(hash);
        let is_due = now >= self.next_at && (has_changed || now >= self.unchanged_at);
        if self.is_busy || !is_due {
            return None;
        }
        self.is_busy = true;
        Some(match self.expected {
            Some(expected) => ReporterAction::Write(expected),
            None => ReporterAction::Read,
        })
    }

    /// Takes in what a read gave; the write follows at the next tick.
    pub fn read(&mut self, result: &Result<Object, PlatformError>, now: Instant) {
        self.is_busy = false;
        match result {
            Ok(object) => self.expected = Some(Precondition::Version(object.version)),
            Err(PlatformError::NotFound) => self.expected = Some(Precondition::Absent),
            Err(_) => self.next_at = now + self.jittered(RETRY),
        }
    }

    /// Takes in what a write gave.
    pub fn written(&mut self, result: &Result<ObjectVersion, PlatformError>, now: Instant) {
        self.is_busy = false;
        match result {
            Ok(version) => {
                self.expected = Some(Precondition::Version(*version));
                self.written_hash = Some(self.hash);
                self.next_at = now + self.jittered(INTERVAL);
                self.unchanged_at = now + self.jittered(INTERVAL_UNCHANGED);
            }
            // An earlier process of this host, or a write whose answer was lost.
            Err(
                PlatformError::Conflict
                | PlatformError::NotFound
                | PlatformError::OutcomeUnknown(_),
            ) => {
                self.expected = None;
                self.next_at = now + self.jittered(RETRY);
            }
            Err(_) => self.next_at = now + self.jittered(RETRY),
        }
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(1.0..1.5))
    }
}

//! Scheduling of the writes of the status report to the platform.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::StdRng;

use crate::objects::Object;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::units::BoundedTime;
use crate::units::ObjectVersion;

/// Minimum time between two writes. If the reports of 400 hosts change all the time, this gives at
/// most 14 writes per second, of the several hundred that the platform can handle.
const WRITE_INTERVAL: Duration = Duration::from_secs(30);

/// Time after which an unchanged report is written again, so that its age shows a dead host.
const REFRESH_INTERVAL: Duration = Duration::from_secs(300);

/// Time until the next attempt after an error. It is jittered like the other intervals: after an
/// outage of the platform, all hosts have a report to write.
const RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// An action that the reporter requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReporterAction {
    /// Read the stored report of this host, whose version is not known, and pass the result to the
    /// reporter.
    Read,
    /// Write the report, if the stored version is as expected, and pass the result to the reporter.
    Write(Precondition),
}

/// Decides when the report of a host is written to the platform, as a state machine without I/O.
#[derive(Debug)]
pub struct Reporter {
    rng: StdRng,
    /// What the next write requires of the stored report; `None` if the stored version is not
    /// known.
    expected: Option<Precondition>,
    /// The hash of the report that was written last.
    written_hash: Option<u64>,
    /// The hash of the current report.
    hash: u64,
    /// No action is due before this time.
    next_at: Instant,
    /// From this time on, an unchanged report is written again.
    refresh_at: Instant,
    /// Whether the result of an action is outstanding.
    is_busy: bool,
}

impl Reporter {
    /// A reporter that has written nothing. Its first write comes at a random time within the first
    /// interval.
    pub fn new(mut rng: StdRng, now: Instant) -> Self {
        let next_at = now + WRITE_INTERVAL.scaled(rng.random());
        Self {
            rng,
            expected: None,
            written_hash: None,
            hash: 0,
            next_at,
            refresh_at: next_at,
            is_busy: false,
        }
    }

    /// Returns the action that is due. `hash` is the hash of the report without its ages. No
    /// further action is due until the result of this one is handled.
    pub fn tick(&mut self, hash: u64, now: Instant) -> Option<ReporterAction> {
        self.hash = hash;
        let has_changed = self.written_hash != Some(hash);
        let is_due = now >= self.next_at && (has_changed || now >= self.refresh_at);
        if self.is_busy || !is_due {
            return None;
        }
        self.is_busy = true;
        Some(match self.expected {
            Some(expected) => ReporterAction::Write(expected),
            None => ReporterAction::Read,
        })
    }

    /// Handles the result of a read. The write follows at the next tick, or after an error another
    /// read at a later one.
    pub fn on_read(&mut self, result: &Result<Object, PlatformError>, now: Instant) {
        self.is_busy = false;
        match result {
            Ok(object) => self.expected = Some(Precondition::Version(object.version)),
            Err(PlatformError::NotFound) => self.expected = Some(Precondition::Absent),
            Err(_) => self.next_at = now + self.jittered(RETRY_INTERVAL),
        }
    }

    /// Handles the result of a write. After a failure, the write is tried again later, and the
    /// stored version is read first if it is not known.
    pub fn on_written(&mut self, result: &Result<ObjectVersion, PlatformError>, now: Instant) {
        self.is_busy = false;
        match result {
            Ok(version) => {
                self.expected = Some(Precondition::Version(*version));
                self.written_hash = Some(self.hash);
                self.next_at = now + self.jittered(WRITE_INTERVAL);
                self.refresh_at = now + self.jittered(REFRESH_INTERVAL);
            }
            // The stored version is not known: an earlier process of this host wrote the report, or
            // the answer to a write was lost.
            Err(
                PlatformError::Conflict
                | PlatformError::NotFound
                | PlatformError::OutcomeUnknown(_),
            ) => {
                self.expected = None;
                self.next_at = now + self.jittered(RETRY_INTERVAL);
            }
            Err(_) => self.next_at = now + self.jittered(RETRY_INTERVAL),
        }
    }

    /// An interval extended at random by up to half of its length.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.scaled(self.rng.random_range(1.0..1.5))
    }
}

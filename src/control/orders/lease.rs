//! The lease of one pool.

use std::time::Duration;
use std::time::Instant;

use crate::objects::Object;
use crate::objects::PlatformError;
use crate::objects::Precondition;
use crate::units::FencingNumber;
use crate::units::HostId;
use crate::units::Incarnation;
use crate::units::ObjectVersion;

/// How long a lease lasts. A holder that dies delays changes of engines by this much, and serving
/// by nothing; a shorter one would cost the platform more writes.
const DURATION: Duration = Duration::from_secs(15);

/// A holder renews when a third of its time is gone, so that two writes may fail.
const RENEW_AFTER: Duration = Duration::from_secs(5);

/// What the holder leaves unused of its time, and what a taker waits beyond it: hosts' monotonic
/// clocks may differ in rate, but not by a tenth.
const MARGIN: Duration = Duration::from_millis(1_500);

/// Between two tries.
const RETRY: Duration = Duration::from_secs(1);

/// A lease as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LeaseSpec {
    /// Who holds it.
    pub holder: HostId,
    /// Of which process of that host.
    pub incarnation: Incarnation,
    /// For how long from the write on.
    pub duration_ms: u64,
    /// How often it was written by this holder; tells its writes apart when answers are lost.
    pub renewals: u64,
}

/// What a lease wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object and pass on the result.
    Read,
    /// Write the object and pass on the result.
    Write {
        /// The value.
        spec: LeaseSpec,
        /// What it must find.
        expected: Precondition,
    },
}

/// The lease of one pool, without I/O.
#[derive(Debug)]
pub struct Lease {
    host: HostId,
    incarnation: Incarnation,
    seen: Option<Seen>,
    held: Option<Held>,
    writing: Option<Writing>,
    renewals: u64,
    is_reading: bool,
    next_try: Instant,
}

/// The object as it was last read or written.
#[derive(Clone, Debug)]
struct Seen {
    version: Option<ObjectVersion>,
    duration: Duration,
    /// When this version was first seen here; other hosts' clocks are of no use.
    since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: FencingNumber,
    /// Before the last successful write was sent.
    written_at: Instant,
    /// When this holder took it, without a gap since.
    taken_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Writing {
    renewals: u64,
    sent_at: Instant,
}

impl Lease {
    /// A lease that this process does not hold.
    pub fn new(host: HostId, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            seen: None,
            held: None,
            writing: None,
            renewals: 0,
            is_reading: false,
            next_try: now,
        }
    }

    /// What to do to get or keep it. A lease that is not `wanted` is left to lapse.
    pub fn tick(&mut self, is_wanted: bool, now: Instant) -> Option<LeaseAction> {
        if self.held.is_some() && self.fencing(now).is_none() {
            log::info!("orders: a lease of this host has lapsed");
            self.held = None;
        }
        let is_busy = self.is_reading || self.writing.is_some();
        if !is_wanted || is_busy || now < self.next_try {
            return None;
        }
        if let Some(held) = self.held {
            let is_due = now >= held.written_at + RENEW_AFTER;
            return is_due.then(|| self.write(now));
        }
        match &self.seen {
            Some(seen) if seen.version.is_none() => Some(self.write(now)),
            // Unchanged for its whole time as this host's clock counts it: whoever holds it has
            // counted from an earlier moment on, and has stopped.
            Some(seen) if now >= seen.since + seen.duration + MARGIN => {
                self.next_try = now + RETRY;
                Some(self.write(now))
            }
            _ => {
                self.next_try = now + RETRY;
                self.is_reading = true;
                Some(LeaseAction::Read)
            }
        }
    }

    /// Takes in what a read gave.
    pub fn read(&mut self, result: Result<Object, PlatformError>, now: Instant) {
        self.is_reading = false;
        match result {
            Ok(object) => self.take_in(&object, now),
            Err(PlatformError::NotFound) => self.saw(None, Duration::ZERO, now),
            Err(error) => log::debug!("orders: can't read a lease: {error}"),
        }
    }

    /// Takes in what a write gave. One whose answer was lost is settled by the next read.
    pub fn written(&mut self, result: Result<ObjectVersion, PlatformError>, now: Instant) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        match result {
            Ok(version) => {
                self.saw(Some(version), DURATION, now);
                self.hold(version, writing.sent_at);
            }
            Err(PlatformError::OutcomeUnknown(why)) => {
                log::debug!("orders: a lease's write has no answer: {why}");
                self.writing = Some(writing);
                self.next_try = now;
            }
            Err(_) => self.seen = None,
        }
    }

    /// A read that settles a write whose answer was lost, if there is one.
    pub fn settle(&mut self, now: Instant) -> Option<LeaseAction> {
        if self.writing.is_none() || self.is_reading || now < self.next_try {
            return None;
        }
        self.next_try = now + RETRY;
        self.is_reading = true;
        Some(LeaseAction::Read)
    }

    /// The fencing number for an order that is sent right now; none when the lease's time is over.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        let held = self.held?;
        (now < held.written_at + DURATION - MARGIN).then_some(held.fencing)
    }

    /// Until when an order may be sent under it.
    pub fn valid_until(&self) -> Option<Instant> {
        self.held.map(|held| held.written_at + DURATION - MARGIN)
    }

    /// From when on orders may be sent to engines that ignore the fencing number, if one is on its
    /// way for `flight` at most.
    ///
    /// Failure: the holder before was paused right before it sent an order, and sends it when it
    /// wakes. It checks its time before it sends, but what it had handed to the network may arrive
    /// later. Its time and the longest flight after the take-over, nothing of it is left.
    pub fn quiet_from(&self, flight: Duration) -> Option<Instant> {
        self.held.map(|held| held.taken_at + DURATION + flight)
    }

    fn write(&mut self, now: Instant) -> LeaseAction {
        self.renewals += 1;
        self.writing = Some(Writing {
            renewals: self.renewals,
            sent_at: now,
        });
        let version = self.seen.as_ref().and_then(|seen| seen.version);
        LeaseAction::Write {
            spec: LeaseSpec {
                holder: self.host.clone(),
                incarnation: self.incarnation,
                duration_ms: u64::try_from(DURATION.as_millis()).unwrap_or(u64::MAX),
                renewals: self.renewals,
            },
            expected: version.map_or(Precondition::Absent, Precondition::Version),
        }
    }

    fn take_in(&mut self, object: &Object, now: Instant) {
        let Ok(spec) = serde_json::from_value::<LeaseSpec>(object.value.clone()) else {
            log::warn!("orders: {} is not a lease", object.key);
            self.saw(Some(object.version), DURATION, now);
            return;
        };
        let duration = Duration::from_millis(spec.duration_ms);
        self.saw(Some(object.version), duration, now);
        let Some(writing) = self.writing.take() else {
            return;
        };
        let is_ours = spec.holder == self.host && spec.incarnation == self.incarnation;
        if is_ours && spec.renewals == writing.renewals {
            self.hold(object.version, writing.sent_at);
        }
    }

    fn saw(&mut self, version: Option<ObjectVersion>, duration: Duration, now: Instant) {
        let is_same = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if !is_same {
            self.seen = Some(Seen {
                version,
                duration,
                since: now,
            });
        }
        if version.is_none() {
            self.writing = None;
        }
    }

    fn hold(&mut self, version: ObjectVersion, written_at: Instant) {
        // A lease that had lapsed before this write is a new one, also for the same process.
        let before = self
            .held
            .filter(|held| written_at < held.written_at + DURATION - MARGIN);
        self.held = Some(Held {
            fencing: FencingNumber(version.0),
            written_at,
            taken_at: before.map_or(written_at, |held| held.taken_at),
        });
    }
}

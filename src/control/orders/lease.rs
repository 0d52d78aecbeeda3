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

/// Duration of a lease. When a holder dies, changes of engines are delayed by this time, while
/// serving is not affected; a shorter duration would cost more writes to the platform.
const LEASE_DURATION: Duration = Duration::from_secs(15);

/// Time from a write to the next renewal: a third of the duration, so that two writes may fail.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// Safety margin for clocks. A holder stops using the lease this much early, and another host waits
/// this much longer before it takes over: the rates of monotonic clocks may differ between hosts,
/// but not by a tenth.
const CLOCK_MARGIN: Duration = Duration::from_millis(1_500);

/// Time between two attempts to read or write the lease.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The value of the lease object in the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct LeaseSpec {
    /// The host that holds the lease.
    pub holder: HostId,
    /// The incarnation of the process that holds the lease.
    pub incarnation: Incarnation,
    /// The duration of the lease from the write on, in milliseconds.
    pub duration_ms: u64,
    /// Number of writes by this holder. It identifies a write whose answer was lost.
    pub renewals: u64,
}

/// An action that the lease requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease object and pass the result to the lease.
    Read,
    /// Write the lease object and pass the result to the lease.
    Write {
        /// The value to write.
        spec: LeaseSpec,
        /// The version that the write must find.
        expected: Precondition,
    },
}

/// The lease of one pool, as a state machine without I/O.
#[derive(Debug)]
pub struct Lease {
    host: HostId,
    incarnation: Incarnation,
    observed: Option<ObservedVersion>,
    held: Option<HeldLease>,
    /// The write whose answer is outstanding or was lost.
    pending_write: Option<PendingWrite>,
    renewals: u64,
    is_reading: bool,
    /// No read or write of the lease begins before this time.
    next_try: Instant,
}

/// The version of the lease object that was last read or written. A version of `None` means that
/// the object does not exist.
#[derive(Clone, Debug)]
struct ObservedVersion {
    version: Option<ObjectVersion>,
    duration: Duration,
    /// When this host first saw this version. The clocks of other hosts cannot be compared with the
    /// own one.
    since: Instant,
}

/// The lease while this process holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fencing: FencingNumber,
    /// Time right before the last successful write was sent.
    written_at: Instant,
    /// When this process acquired the lease that it has held without a gap since.
    acquired_at: Instant,
}

/// A write of the lease whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    renewals: u64,
    sent_at: Instant,
}

impl Lease {
    /// A lease that this process does not hold.
    pub fn new(host: HostId, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            observed: None,
            held: None,
            pending_write: None,
            renewals: 0,
            is_reading: false,
            next_try: now,
        }
    }

    /// Returns the action that acquires or renews the lease, if one is due. A lease that is no
    /// longer wanted is left to expire.
    pub fn tick(&mut self, is_wanted: bool, now: Instant) -> Option<LeaseAction> {
        if self.held.is_some() && self.fencing(now).is_none() {
            log::info!("orders: a lease held by this host has expired");
            self.held = None;
        }
        let is_busy = self.is_reading || self.pending_write.is_some();
        if !is_wanted || is_busy || now < self.next_try {
            return None;
        }
        if let Some(held) = self.held {
            let is_due = now >= held.written_at + RENEW_INTERVAL;
            return is_due.then(|| self.begin_write(now));
        }
        match &self.observed {
            Some(observed) if observed.version.is_none() => Some(self.begin_write(now)),
            // The version has not changed for the whole duration by the clock of this host. The
            // holder started counting earlier, so it has stopped using the lease.
            Some(observed) if now >= observed.since + observed.duration + CLOCK_MARGIN => {
                self.next_try = now + RETRY_INTERVAL;
                Some(self.begin_write(now))
            }
            _ => {
                self.next_try = now + RETRY_INTERVAL;
                self.is_reading = true;
                Some(LeaseAction::Read)
            }
        }
    }

    /// Handles the result of a read, which may show that a write whose answer was lost has
    /// succeeded. Any further action comes from a later [`Lease::tick`].
    pub fn on_read(&mut self, result: Result<Object, PlatformError>, now: Instant) {
        self.is_reading = false;
        match result {
            Ok(object) => self.on_object(&object, now),
            Err(PlatformError::NotFound) => self.record_version(None, Duration::ZERO, now),
            Err(error) => log::debug!("orders: cannot read a lease: {error}"),
        }
    }

    /// Handles the result of a write. A success acquires or renews the lease from the time of the
    /// write on. A write whose answer was lost is resolved by the next read.
    pub fn on_written(&mut self, result: Result<ObjectVersion, PlatformError>, now: Instant) {
        let Some(pending) = self.pending_write.take() else {
            return;
        };
        match result {
            Ok(version) => {
                self.record_version(Some(version), LEASE_DURATION, now);
                self.acquire_or_renew(version, pending.sent_at);
            }
            Err(PlatformError::OutcomeUnknown(why)) => {
                log::debug!("orders: the outcome of a lease write is unknown: {why}");
                self.pending_write = Some(pending);
                self.next_try = now;
            }
            Err(_) => self.observed = None,
        }
    }

    /// Returns a read that resolves a write whose answer was lost, if there is one and a read is
    /// due.
    pub fn resolve_pending_write(&mut self, now: Instant) -> Option<LeaseAction> {
        if self.pending_write.is_none() || self.is_reading || now < self.next_try {
            return None;
        }
        self.next_try = now + RETRY_INTERVAL;
        self.is_reading = true;
        Some(LeaseAction::Read)
    }

    /// The fencing number for an order that is sent now; `None` if the lease is not held or has
    /// expired.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        let held = self.held?;
        (now < held.written_at + LEASE_DURATION - CLOCK_MARGIN).then_some(held.fencing)
    }

    /// The time until which orders may be sent under the lease; `None` if the lease is not held.
    pub fn valid_until(&self) -> Option<Instant> {
        self.held
            .map(|held| held.written_at + LEASE_DURATION - CLOCK_MARGIN)
    }

    /// The time from which on orders may be sent to engines that ignore fencing numbers, if an
    /// order takes at most `flight` to arrive.
    ///
    /// The failure this guards against: the previous holder was paused right before it sent an
    /// order. It checks its lease before it sends, but an order that it had already handed to the
    /// network may arrive later. After the duration of its lease plus the longest time in flight,
    /// counted from the takeover, no such order is left. `None` means that the lease is not held.
    pub fn exclusive_from(&self, flight: Duration) -> Option<Instant> {
        self.held
            .map(|held| held.acquired_at + LEASE_DURATION + flight)
    }

    /// Returns the write that acquires or renews the lease, and records it as pending. The write
    /// succeeds only if the object still has the observed version.
    fn begin_write(&mut self, now: Instant) -> LeaseAction {
        self.renewals += 1;
        self.pending_write = Some(PendingWrite {
            renewals: self.renewals,
            sent_at: now,
        });
        let version = self.observed.as_ref().and_then(|observed| observed.version);
        LeaseAction::Write {
            spec: LeaseSpec {
                holder: self.host.clone(),
                incarnation: self.incarnation,
                duration_ms: u64::try_from(LEASE_DURATION.as_millis()).unwrap_or(u64::MAX),
                renewals: self.renewals,
            },
            expected: version.map_or(Precondition::Absent, Precondition::Version),
        }
    }

    /// Records the version that was read, and acquires or renews the lease if a pending write by
    /// this process produced that version.
    fn on_object(&mut self, object: &Object, now: Instant) {
        let Ok(spec) = serde_json::from_value::<LeaseSpec>(object.value.clone()) else {
            log::warn!("orders: object {} is not a valid lease", object.key);
            self.record_version(Some(object.version), LEASE_DURATION, now);
            return;
        };
        let duration = Duration::from_millis(spec.duration_ms);
        self.record_version(Some(object.version), duration, now);
        let Some(pending) = self.pending_write.take() else {
            return;
        };
        let is_own = spec.holder == self.host && spec.incarnation == self.incarnation;
        if is_own && spec.renewals == pending.renewals {
            self.acquire_or_renew(object.version, pending.sent_at);
        }
    }

    /// Records a version of the object. The waiting time before a takeover starts over only if the
    /// version has changed. A missing object ends the pending write, which counts as failed.
    fn record_version(&mut self, version: Option<ObjectVersion>, duration: Duration, now: Instant) {
        let is_unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version);
        if !is_unchanged {
            self.observed = Some(ObservedVersion {
                version,
                duration,
                since: now,
            });
        }
        if version.is_none() {
            self.pending_write = None;
        }
    }

    /// Records that this process holds the lease as of a write. A renewal changes the fencing
    /// number and the expiry and keeps the time of acquisition; a write after the expiry acquires
    /// the lease anew.
    fn acquire_or_renew(&mut self, version: ObjectVersion, written_at: Instant) {
        // Another host may have held the lease after it had expired here, so a write after the
        // expiry starts a new tenure.
        let unexpired = self
            .held
            .filter(|held| written_at < held.written_at + LEASE_DURATION - CLOCK_MARGIN);
        self.held = Some(HeldLease {
            fencing: FencingNumber(version.0),
            written_at,
            acquired_at: unexpired.map_or(written_at, |held| held.acquired_at),
        });
    }
}

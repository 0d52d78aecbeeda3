//! The upstreams that have stated that they are leaving, or that they want no requests for a time,
//! and those whose failure domain operators have evacuated.
//!
//! Unlike the pauses of the health tracker, which this host chooses itself, these bind it: they end
//! neither when the upstream responds nor when no other upstream is left.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::UpstreamAvailability;
use crate::units::UpstreamId;

/// The longest backoff that an upstream can request. Without a bound, a single wrong value would
/// take an upstream out until it restarts.
pub const BACKOFF_MAX: Duration = Duration::from_secs(600);
/// How long an upstream that has left the list is remembered as leaving or evacuated. A store that
/// was restored from an older copy lists it again for a shorter time.
const RETENTION: Duration = Duration::from_secs(60);
/// How long a host broadcasts that an upstream is leaving, in several messages of which some may be
/// lost.
const BROADCAST_FOR: Duration = Duration::from_secs(2);

/// A time for which an upstream wants no requests.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    requested_at: Instant,
    ends_at: Instant,
}

/// What is known of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct AvailabilityRecord {
    /// When this host learned that the upstream is leaving; none if it is not.
    leaving_since: Option<Instant>,
    /// Since when this host has known that the failure domain of the upstream is evacuated; none if
    /// it is not.
    evacuated_since: Option<Instant>,
    /// The backoff that ends last.
    backoff: Option<Backoff>,
    /// When the upstream was first missing from the list; none while it is listed.
    unlisted_since: Option<Instant>,
}

impl AvailabilityRecord {
    /// Whether the record still matters.
    fn is_retained(&self, now: Instant) -> bool {
        let is_within = |since: Instant| now.saturating_duration_since(since) < RETENTION;
        let is_remembered = self.unlisted_since.is_none_or(is_within);
        let is_backing_off = self.backoff.is_some_and(|backoff| backoff.ends_at > now);
        let is_excluded = self.leaving_since.is_some() || self.evacuated_since.is_some();
        is_remembered && (is_excluded || is_backing_off)
    }
}

/// What upstreams state, and operators decide, about whether they accept requests, as this host
/// knows it.
#[derive(Debug, Default)]
pub struct AvailabilityTracker(IndexMap<UpstreamId, AvailabilityRecord>);

impl AvailabilityTracker {
    /// Records that an upstream is leaving. Returns whether this was unknown. An upstream never
    /// takes it back, so nothing but the end of its incarnation does.
    pub fn on_leaving(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        let record = self.0.entry(upstream.clone()).or_default();
        let is_new = record.leaving_since.is_none();
        record.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that an upstream wants no requests for `requested`, of which at most [`BACKOFF_MAX`]
    /// counts. Returns the backoff if it is not zero and ends later than a previous one, which
    /// otherwise stays.
    pub fn on_backoff(
        &mut self,
        upstream: &UpstreamId,
        requested: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let granted = requested.min(BACKOFF_MAX);
        if granted.is_zero() {
            return None;
        }
        let ends_at = now + granted;
        let record = self.0.entry(upstream.clone()).or_default();
        if record.backoff.is_some_and(|known| known.ends_at >= ends_at) {
            return None;
        }
        record.backoff = Some(Backoff {
            requested_at: now,
            ends_at,
        });
        Some(granted)
    }

    /// Records whether the failure domain of an upstream is evacuated. Returns whether that has
    /// changed.
    pub fn set_evacuated(
        &mut self,
        upstream: &UpstreamId,
        is_evacuated: bool,
        now: Instant,
    ) -> bool {
        if !is_evacuated {
            let record = self.0.get_mut(upstream);
            return record.is_some_and(|record| record.evacuated_since.take().is_some());
        }
        let record = self.0.entry(upstream.clone()).or_default();
        let is_new = record.evacuated_since.is_none();
        record.evacuated_since.get_or_insert(now);
        is_new
    }

    /// Whether the upstream accepts requests of this host at `now`, and if not, why.
    pub fn availability(&self, upstream: &UpstreamId, now: Instant) -> UpstreamAvailability {
        let Some(record) = self.0.get(upstream) else {
            return UpstreamAvailability::Available;
        };
        if record.leaving_since.is_some() {
            return UpstreamAvailability::Leaving;
        }
        if record.evacuated_since.is_some() {
            return UpstreamAvailability::Evacuated;
        }
        match record.backoff {
            Some(backoff) if backoff.ends_at > now => {
                UpstreamAvailability::BackingOff(backoff.ends_at - now)
            }
            _ => UpstreamAvailability::Available,
        }
    }

    /// Whether the upstream accepts requests of this host at `now`.
    pub fn is_available(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.availability(upstream, now) == UpstreamAvailability::Available
    }

    /// Whether the upstream is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let record = self.0.get(upstream);
        record.is_some_and(|record| record.leaving_since.is_some())
    }

    /// How long ago this host learned what keeps the upstream from getting requests
    /// at `now`; none if it is available.
    pub fn age(&self, upstream: &UpstreamId, now: Instant) -> Option<Duration> {
        let record = self.0.get(upstream)?;
        let backoff = record.backoff.filter(|backoff| backoff.ends_at > now);
        let since = record
            .leaving_since
            .or(record.evacuated_since)
            .or(backoff.map(|backoff| backoff.requested_at))?;
        Some(now.saturating_duration_since(since))
    }

    /// The upstreams of which this host learned within [`BROADCAST_FOR`] that they are leaving.
    pub fn recently_leaving(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        let is_recent = move |since: Instant| now.saturating_duration_since(since) < BROADCAST_FOR;
        let recent = self
            .0
            .iter()
            .filter(move |(_, record)| record.leaving_since.is_some_and(is_recent));
        recent.map(|(upstream, _)| upstream)
    }

    /// Applies a new list of upstreams: drops what no longer matters, and remembers upstreams that
    /// have left the list for [`RETENTION`].
    pub fn on_list(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        for (upstream, record) in &mut self.0 {
            if is_listed(upstream) {
                record.unlisted_since = None;
            } else {
                record.unlisted_since.get_or_insert(now);
            }
        }
        self.0.retain(|_, record| record.is_retained(now));
    }
}

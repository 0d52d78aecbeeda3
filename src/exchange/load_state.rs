//! The load at one upstream, with absolute times in place of the relative times of messages.

use std::time::Duration;
use std::time::Instant;

use crate::exchange::LoadEntry;
use crate::exchange::UpstreamHash;
use crate::units::whole_millis_u32;

/// Due times that differ by less than this count as equal: messages carry whole milliseconds, and
/// their latency varies.
const DUE_TOLERANCE: Duration = Duration::from_millis(20);

/// The load of one host, or of several together, at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadState {
    in_flight: u32,
    short_in_flight: u32,
    strictest_pause_ms: Option<u32>,
    held_tokens: u64,
    helping: u32,
    prefill_total_us: u64,
    /// When the upstream has finished the prefill of the requests, as estimated by their senders.
    prefill_until: Instant,
    /// The earliest deadline for a first event among the requests in prefill; none if there are no
    /// such requests.
    prefill_due: Option<Instant>,
}

impl LoadState {
    /// Converts an entry of a message that was received at `now`.
    pub(crate) fn from_entry(entry: &LoadEntry, now: Instant) -> Self {
        let after = |ms: u32| now + Duration::from_millis(ms.into());
        Self {
            in_flight: entry.in_flight,
            short_in_flight: entry.short_in_flight,
            strictest_pause_ms: (entry.strictest_pause_ms > 0).then_some(entry.strictest_pause_ms),
            held_tokens: entry.held_tokens,
            helping: entry.helping,
            prefill_total_us: entry.prefill_total_us,
            prefill_until: after(entry.prefill_remaining_ms),
            prefill_due: (entry.prefill_due_ms > 0).then(|| after(entry.prefill_due_ms)),
        }
    }

    /// Converts the load into an entry of a message that is sent at `now`.
    pub(crate) fn entry_at(&self, upstream: UpstreamHash, now: Instant) -> LoadEntry {
        let until = |at: Instant| whole_millis_u32(at.saturating_duration_since(now));
        LoadEntry {
            upstream: String::new(),
            upstream_hash: upstream.0,
            in_flight: self.in_flight,
            short_in_flight: self.short_in_flight,
            prefill_remaining_ms: until(self.prefill_until),
            prefill_total_us: self.prefill_total_us,
            strictest_pause_ms: self.strictest_pause_ms.unwrap_or(0),
            held_tokens: self.held_tokens,
            helping: self.helping,
            // An overdue time stays overdue until its host reports otherwise; 0 would mean that
            // nothing is due.
            prefill_due_ms: self.prefill_due.map_or(0, |at| until(at).max(1)),
        }
    }

    /// An entry which reports that no load is left at the upstream. It repeats the prefill total,
    /// so that recipients do not count the same prefill again.
    pub(crate) fn ended_entry(&self, upstream: UpstreamHash) -> LoadEntry {
        LoadEntry {
            upstream_hash: upstream.0,
            prefill_total_us: self.prefill_total_us,
            ..LoadEntry::default()
        }
    }

    /// Adds the load of another host at the same upstream.
    pub(crate) fn add(&mut self, other: &Self) {
        self.in_flight += other.in_flight;
        self.short_in_flight += other.short_in_flight;
        self.held_tokens += other.held_tokens;
        self.helping += other.helping;
        self.prefill_total_us += other.prefill_total_us;
        self.prefill_until = self.prefill_until.max(other.prefill_until);
        let pauses = [self.strictest_pause_ms, other.strictest_pause_ms];
        self.strictest_pause_ms = pauses.into_iter().flatten().min();
        let dues = [self.prefill_due, other.prefill_due];
        self.prefill_due = dues.into_iter().flatten().min();
    }

    /// Whether the load has to be sent again if `sent` was sent last. Changes that follow from the
    /// passage of time alone do not count.
    pub(crate) fn differs_from(&self, sent: &Self) -> bool {
        let counts = |load: &Self| {
            (
                load.in_flight,
                load.short_in_flight,
                load.strictest_pause_ms,
                load.held_tokens,
                load.helping,
                load.prefill_total_us,
            )
        };
        counts(self) != counts(sent) || !are_due_times_equal(self.prefill_due, sent.prefill_due)
    }
}

/// Whether two due times differ by less than [`DUE_TOLERANCE`], or neither is set.
fn are_due_times_equal(one: Option<Instant>, other: Option<Instant>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => {
            let apart = one.max(other).saturating_duration_since(one.min(other));
            apart < DUE_TOLERANCE
        }
        (one, other) => one.is_none() && other.is_none(),
    }
}

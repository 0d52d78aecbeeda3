//! This host's own load at one upstream.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HelperRelease;
use crate::decide::HostLoad;
use crate::decide::PrefillSent;
use crate::decide::RequestLoad;
use crate::units::Tokens;

/// How long a host goes on reporting the prefill that it has sent to an upstream when it has no
/// other load there. The time covers several reports, so that a lost report does no harm.
const PREFILL_REPORTED_FOR: Duration = Duration::from_secs(1);

/// The load at one upstream of the requests that this host has sent there.
#[derive(Clone, Debug)]
pub(crate) struct OwnLoad {
    in_flight: u32,
    short_in_flight: u32,
    helping: u32,
    /// The longest pauses that callers accept, each with the number of requests that accept it.
    pauses: IndexMap<Duration, u32>,
    held_tokens: Tokens,
    /// Total prefill time of all prompts that were sent, including those that have ended.
    prefill_total: Duration,
    /// When the last of the sent prompts is expected to have been read.
    prefill_until: Instant,
    /// When the last prompt was sent.
    prefill_sent_at: Instant,
    /// The times at which the first events of the prompts being read are due.
    due_times: Vec<Instant>,
}

impl OwnLoad {
    /// Creates a record without load, which is still reported to other hosts for
    /// [`PREFILL_REPORTED_FOR`].
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            short_in_flight: 0,
            helping: 0,
            pauses: IndexMap::new(),
            held_tokens: Tokens::ZERO,
            prefill_total: Duration::ZERO,
            prefill_until: now,
            prefill_sent_at: now,
            due_times: Vec::new(),
        }
    }

    /// Adds the load of a request that was sent. `prefill_until` is when the upstream is expected
    /// to have read the prompt; `None` if it has nothing to read.
    pub(crate) fn start_request(
        &mut self,
        load: &RequestLoad,
        prefill_until: Option<Instant>,
        now: Instant,
    ) {
        self.in_flight += u32::from(load.takes_slot);
        self.short_in_flight += u32::from(load.takes_slot && load.is_short);
        self.helping += u32::from(load.helper_release.is_some());
        if let Some(pause) = load.pause.filter(|_| load.takes_slot) {
            *self.pauses.entry(pause).or_default() += 1;
        }
        if let Some(prefill_until) = prefill_until {
            self.prefill_total += load.prefill_time;
            self.prefill_until = prefill_until;
            self.prefill_sent_at = now;
            self.due_times.extend(load.prefill_due);
        }
        self.held_tokens += load.held_tokens;
    }

    /// Records that the prompt of a request has been read. Subtracts the load that ends with that,
    /// and clears it in `load` so that [`OwnLoad::end_request`] does not subtract it again.
    pub(crate) fn finish_prefill(&mut self, load: &mut RequestLoad) {
        self.remove_due(load.prefill_due.take());
        if load.helper_release == Some(HelperRelease::PromptRead) {
            load.helper_release = None;
            self.helping = self.helping.saturating_sub(1);
        }
    }

    /// Removes one entry of this due time, if there is one.
    fn remove_due(&mut self, due: Option<Instant>) {
        let index = self.due_times.iter().position(|known| Some(*known) == due);
        if let Some(index) = index {
            self.due_times.swap_remove(index);
        }
    }

    /// Subtracts the load of a request that has ended. The running total of prefill time stays.
    pub(crate) fn end_request(&mut self, load: &RequestLoad) {
        self.remove_due(load.prefill_due);
        self.helping = self
            .helping
            .saturating_sub(u32::from(load.helper_release.is_some()));
        let slots = u32::from(load.takes_slot);
        self.in_flight = self.in_flight.saturating_sub(slots);
        self.short_in_flight = self
            .short_in_flight
            .saturating_sub(slots * u32::from(load.is_short));
        if let Some(pause) = load.pause.filter(|_| load.takes_slot)
            && let Some(count) = self.pauses.get_mut(&pause)
        {
            *count -= 1;
            if *count == 0 {
                self.pauses.swap_remove(&pause);
            }
        }
        self.held_tokens = self.held_tokens.saturating_sub(load.held_tokens);
    }

    /// The load at `now`, as it is reported to other hosts.
    pub(crate) fn snapshot(&self, now: Instant) -> HostLoad {
        HostLoad {
            in_flight: self.in_flight,
            short_in_flight: self.short_in_flight,
            helping: self.helping,
            strictest_pause: self.pauses.keys().min().copied(),
            held_tokens: self.held_tokens,
            prefill: PrefillSent {
                total: self.prefill_total,
                remaining: self.prefill_until.saturating_duration_since(now),
            },
            prefill_due: self.next_due(now),
        }
    }

    /// Time until the earliest due time that has not passed; `None` if there is none.
    fn next_due(&self, now: Instant) -> Option<Duration> {
        let open = self.due_times.iter().filter(|due| **due > now);
        open.min().map(|due| due.saturating_duration_since(now))
    }

    /// Whether there is load, or recently sent prefill, to report to other hosts.
    pub(crate) fn is_reported(&self, now: Instant) -> bool {
        self.in_flight > 0
            || self.helping > 0
            || self.held_tokens > Tokens::ZERO
            || now.saturating_duration_since(self.prefill_sent_at) < PREFILL_REPORTED_FOR
    }
}

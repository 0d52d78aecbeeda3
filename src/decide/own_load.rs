//! A host's own work at one upstream.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HelpsUntil;
use crate::decide::HostLoad;
use crate::decide::LoadShare;
use crate::decide::PrefillSent;
use crate::units::Tokens;

/// How long a host goes on telling what it has sent to an upstream to be read in, when it has nothing
/// else there. Longer than several messages take, so that a lost one is made up for.
const SENT_TOLD_FOR: Duration = Duration::from_secs(1);

/// A host's own work at one upstream.
#[derive(Clone, Debug)]
pub(crate) struct OwnLoad {
    in_flight: u32,
    short_in_flight: u32,
    helping: u32,
    /// How many requests accept which pause.
    pauses: IndexMap<Duration, u32>,
    held_tokens: Tokens,
    read_total: Duration,
    /// When the last of it will have been read.
    read_until: Instant,
    sent_at: Instant,
    /// When the prompts that are being read there are due.
    dues: Vec<Instant>,
}

impl OwnLoad {
    /// No work yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            short_in_flight: 0,
            helping: 0,
            pauses: IndexMap::new(),
            held_tokens: Tokens::ZERO,
            read_total: Duration::ZERO,
            read_until: now,
            sent_at: now,
            dues: Vec::new(),
        }
    }

    /// Takes in a request that was sent; what it adds to the reading there is read by `read_until`.
    pub(crate) fn start(&mut self, share: &LoadShare, read_until: Option<Instant>, now: Instant) {
        self.in_flight += u32::from(share.takes_place);
        self.short_in_flight += u32::from(share.takes_place && share.is_short);
        self.helping += u32::from(share.helps.is_some());
        if let Some(pause) = share.pause.filter(|_| share.takes_place) {
            *self.pauses.entry(pause).or_default() += 1;
        }
        if let Some(read_until) = read_until {
            self.read_total += share.read_time;
            self.read_until = read_until;
            self.sent_at = now;
            self.dues.extend(share.prefill_due);
        }
        self.held_tokens += share.held_tokens;
    }

    /// Takes in that its prompt has been read, and takes out of the share what has ended with it.
    pub(crate) fn read_done(&mut self, share: &mut LoadShare) {
        self.forget_due(share.prefill_due.take());
        if share.helps == Some(HelpsUntil::Read) {
            share.helps = None;
            self.helping = self.helping.saturating_sub(1);
        }
    }

    fn forget_due(&mut self, due: Option<Instant>) {
        let place = self.dues.iter().position(|known| Some(*known) == due);
        if let Some(place) = place {
            self.dues.swap_remove(place);
        }
    }

    /// Takes in that it has ended.
    pub(crate) fn end(&mut self, share: &LoadShare) {
        self.forget_due(share.prefill_due);
        self.helping = self
            .helping
            .saturating_sub(u32::from(share.helps.is_some()));
        let place = u32::from(share.takes_place);
        self.in_flight = self.in_flight.saturating_sub(place);
        self.short_in_flight = self
            .short_in_flight
            .saturating_sub(place * u32::from(share.is_short));
        if let Some(pause) = share.pause.filter(|_| share.takes_place)
            && let Some(count) = self.pauses.get_mut(&pause)
        {
            *count -= 1;
            if *count == 0 {
                self.pauses.swap_remove(&pause);
            }
        }
        self.held_tokens = self.held_tokens.saturating_sub(share.held_tokens);
    }

    /// What the others are told of it.
    pub(crate) fn seen_at(&self, now: Instant) -> HostLoad {
        HostLoad {
            in_flight: self.in_flight,
            short_in_flight: self.short_in_flight,
            helping: self.helping,
            strictest_pause: self.pauses.keys().min().copied(),
            held_tokens: self.held_tokens,
            read: PrefillSent {
                total: self.read_total,
                remaining: self.read_until.saturating_duration_since(now),
            },
            prefill_due: self.next_due(now),
        }
    }

    /// Time until the next one that can still be on time is due.
    fn next_due(&self, now: Instant) -> Option<Duration> {
        let open = self.dues.iter().filter(|due| **due > now);
        open.min().map(|due| due.saturating_duration_since(now))
    }

    /// Whether there is something to tell.
    pub(crate) fn is_told(&self, now: Instant) -> bool {
        self.in_flight > 0
            || self.helping > 0
            || self.held_tokens > Tokens::ZERO
            || now.saturating_duration_since(self.sent_at) < SENT_TOLD_FOR
    }
}

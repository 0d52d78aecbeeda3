//! What the other hosts have at one upstream, added up.

use std::time::Duration;
use std::time::Instant;

use crate::decide::HostLoad;
use crate::decide::UpstreamLoad;
use crate::units::Tokens;

/// The sum over the other hosts that are heard. It is kept up to date as each of them speaks.
///
/// Load it answers: a choice among 195 engines that adds up what 194 hosts have said of each looks
/// 38,000 names up; with sums it reads 195 numbers. Least times can't be subtracted again, so they
/// are kept one by one: few hosts have a prompt being read at the same engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerSum {
    in_flight: u32,
    short_in_flight: u32,
    helping: u32,
    held_tokens: Tokens,
    /// How many hosts have which strictest pause.
    pauses: Vec<(Duration, u32)>,
    /// When the first prompt of each host that is being read there is due.
    dues: Vec<Instant>,
}

impl PeerSum {
    /// Adds what one host said at `heard_at`.
    pub(crate) fn add(&mut self, load: &HostLoad, heard_at: Instant) {
        self.in_flight += load.in_flight;
        self.short_in_flight += load.short_in_flight;
        self.helping += load.helping;
        self.held_tokens += load.held_tokens;
        if let Some(pause) = load.strictest_pause {
            match self.pauses.iter_mut().find(|(known, _)| *known == pause) {
                Some((_, hosts)) => *hosts += 1,
                None => self.pauses.push((pause, 1)),
            }
        }
        self.dues.extend(due_at(load, heard_at));
    }

    /// Takes away what [`PeerSum::add`] added.
    pub(crate) fn remove(&mut self, load: &HostLoad, heard_at: Instant) {
        self.in_flight = self.in_flight.saturating_sub(load.in_flight);
        self.short_in_flight = self.short_in_flight.saturating_sub(load.short_in_flight);
        self.helping = self.helping.saturating_sub(load.helping);
        self.held_tokens = self.held_tokens.saturating_sub(load.held_tokens);
        if let Some(pause) = load.strictest_pause
            && let Some(at) = self.pauses.iter().position(|(known, _)| *known == pause)
        {
            self.pauses[at].1 -= 1;
            if self.pauses[at].1 == 0 {
                self.pauses.swap_remove(at);
            }
        }
        if let Some(due) = due_at(load, heard_at)
            && let Some(at) = self.dues.iter().position(|known| *known == due)
        {
            self.dues.swap_remove(at);
        }
    }

    /// The sum as it is now. What is overdue at another host stays due at once until that host says
    /// otherwise.
    pub(crate) fn seen_at(&self, now: Instant) -> UpstreamLoad {
        let due = self.dues.iter().min();
        UpstreamLoad {
            in_flight: self.in_flight,
            short_in_flight: self.short_in_flight,
            helping: self.helping,
            strictest_pause: self.pauses.iter().map(|(pause, _)| *pause).min(),
            prefill_backlog: Duration::ZERO,
            held_tokens: self.held_tokens,
            refused_tokens: None,
            prefill_due: due.map(|due| due.saturating_duration_since(now)),
        }
    }
}

fn due_at(load: &HostLoad, heard_at: Instant) -> Option<Instant> {
    load.prefill_due.map(|due| heard_at + due)
}

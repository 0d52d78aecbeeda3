//! The load of all peers at one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::decide::HostLoad;
use crate::decide::UpstreamLoad;
use crate::units::Tokens;

/// The sum of the load of all peers at one upstream, updated with each of their reports.
///
/// Without sums, a choice among 195 engines would look up 38,000 entries, one for each engine and
/// each of 194 peers; with sums it reads 195. A minimum cannot be subtracted again, so all pauses
/// and due times are kept in lists. The lists are short, since few hosts have a prompt being read
/// at the same engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerLoadSum {
    in_flight: u32,
    short_in_flight: u32,
    helping: u32,
    held_tokens: Tokens,
    /// The strictest pause of each host: each distinct value with the number of hosts that report
    /// it.
    pauses: Vec<(Duration, u32)>,
    /// For each host, the earliest time at which the first event of a prompt being read is due.
    due_times: Vec<Instant>,
}

impl PeerLoadSum {
    /// Adds the load from the report of one host that was received at `received_at`.
    pub(crate) fn add(&mut self, load: &HostLoad, received_at: Instant) {
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
        self.due_times.extend(due_at(load, received_at));
    }

    /// Subtracts a report that was added before. Both arguments must be those of the call of
    /// [`PeerLoadSum::add`].
    pub(crate) fn remove(&mut self, load: &HostLoad, received_at: Instant) {
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
        if let Some(due) = due_at(load, received_at)
            && let Some(at) = self.due_times.iter().position(|known| *known == due)
        {
            self.due_times.swap_remove(at);
        }
    }

    /// The sum at `now`, without the prefill backlog and refused memory, which sums do not hold. A
    /// prompt whose first event is overdue at another host counts as due now until that host
    /// reports otherwise.
    pub(crate) fn snapshot(&self, now: Instant) -> UpstreamLoad {
        let due = self.due_times.iter().min();
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

/// The time at which the earliest first event of the reported prompts is due.
fn due_at(load: &HostLoad, received_at: Instant) -> Option<Instant> {
    load.prefill_due.map(|due| received_at + due)
}

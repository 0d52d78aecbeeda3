//! Whether a call may be sent, as far as it may crash upstreams.
//!
//! Which request explains a crash is decided anew with each crash, and several requests that crash
//! upstreams at the same time explain the crashes of one another. How often a request may be sent
//! therefore does not depend on that: once several upstreams have ended under it, each further call is
//! a probe until an upstream survives one.

use std::time::Duration;
use std::time::Instant;

use crate::decide::CrashCheck;
use crate::decide::PartQuarantine;
use crate::decide::QuarantinedParts;
use crate::decide::RequestPart;
use crate::decide::crash_attribution::CRASHES_MIN;
use crate::decide::crash_attribution::CRASHES_MIN_IF_SERVED;
use crate::decide::part_quarantine::DatedCrash;
use crate::decide::part_quarantine::REQUEST_QUARANTINE_TIMES;

impl PartQuarantine {
    /// The quarantined parts because of which a request with these parts is refused, if any.
    pub fn find(&self, parts: &[RequestPart], now: Instant) -> Option<&QuarantinedParts> {
        let mut quarantined = self.quarantined.iter();
        quarantined.find(|known| known.applies_to(parts, now))
    }

    /// Whether a call with these parts may be sent.
    pub fn check(&self, parts: &[RequestPart], now: Instant) -> CrashCheck {
        let matching = self.quarantined.iter();
        let matching = matching.filter(|known| known.are_all_in(parts));
        match matching.max_by_key(|known| known.until) {
            Some(known) if now < known.until => CrashCheck::Refuse(known.clone()),
            Some(known) => CrashCheck::Probe(known.clone()),
            None => self.check_losses(parts, now),
        }
    }

    /// The same by the crashes in which the request as a whole was lost, whatever explains them.
    fn check_losses(&self, parts: &[RequestPart], now: Instant) -> CrashCheck {
        let mut whole = parts.iter().copied().filter(RequestPart::is_whole);
        let lost = whole.find(|part| {
            let crashes = self.lost_calls.crashes_with(*part, &self.served, now);
            crashes + 1 >= CRASHES_MIN
        });
        let Some(part) = lost else {
            return CrashCheck::Admit;
        };
        match self.suspected(part, now) {
            Some(known) if now < known.until => CrashCheck::Refuse(known),
            Some(known) => CrashCheck::Probe(known),
            None => CrashCheck::AdmitOnce,
        }
    }

    /// Whether [`PartQuarantine::check`] admits all calls, whatever their parts.
    pub fn admits_all(&self) -> bool {
        self.quarantined.is_empty() && self.lost_calls.is_empty()
    }

    /// The request as a whole, if as many upstreams have ended under it as begin a quarantine, although
    /// others may explain that. It may be probed at once, and after that less and less often.
    fn suspected(&self, part: RequestPart, now: Instant) -> Option<QuarantinedParts> {
        let losses = self.losses_of(part, now)?;
        let first = losses.iter().map(|(_, at)| *at).min()?;
        let last = losses.iter().map(|(_, at)| *at).max()?;
        let probes = self.probes.get(&vec![part]);
        let probes = probes.into_iter().flatten().filter(|at| **at >= first);
        let probes: Vec<Instant> = probes.copied().collect();
        Some(QuarantinedParts {
            parts: vec![part],
            crashes: losses.len(),
            is_found: false,
            until: probes
                .last()
                .map_or(last, |at| *at + time_between_probes(probes.len())),
        })
    }

    /// The crashes in which the request as a whole was lost, if they are as many as begin a quarantine. One
    /// that upstreams have survived before was probably only lost beside another.
    pub(super) fn losses_of(&self, part: RequestPart, now: Instant) -> Option<Vec<DatedCrash>> {
        if !part.is_whole() {
            return None;
        }
        let losses = self.lost_calls.losses_of(part, &self.served, now);
        let losses_min = match self.served.survived_at(part, now) {
            Some(_) => CRASHES_MIN_IF_SERVED,
            None => CRASHES_MIN,
        };
        (losses.len() >= losses_min).then_some(losses)
    }
}

/// How long after the last of so many probes of a suspected request the next one may be sent.
fn time_between_probes(probes: usize) -> Duration {
    let last = REQUEST_QUARANTINE_TIMES.len() - 1;
    REQUEST_QUARANTINE_TIMES[probes.saturating_sub(1).min(last)]
}

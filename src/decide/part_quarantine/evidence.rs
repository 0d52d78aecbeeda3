//! What hosts tell each other of requests that crash upstreams.

use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::PartEvidence;
use crate::decide::PartQuarantine;
use crate::decide::QuarantineChange;
use crate::decide::RequestPart;
use crate::decide::known_crash::KnownCrash;
use crate::decide::known_crash::time_before;
use crate::decide::part_quarantine::TELLING_TIME;
use crate::units::CrashId;

/// The number of suspected calls that other hosts are told of at a time. Those that prove quarantined
/// parts come first.
const TOLD_MAX: usize = 128;

impl PartQuarantine {
    /// Applies what another host has told. Returns what has changed.
    pub fn on_evidence(&mut self, evidence: PartEvidence, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = self.judge_due(now);
        changes.extend(self.apply(evidence, now));
        changes
    }

    fn apply(&mut self, evidence: PartEvidence, now: Instant) -> Vec<QuarantineChange> {
        match evidence {
            PartEvidence::Crash(suspect, age) => {
                self.note_served(&suspect.parts, now);
                let ended = suspect.crash;
                self.note_found_after_call(&suspect.parts);
                let mut changes = self.record_suspect(suspect, KnownCrash::told(age, now), now);
                changes.extend(self.suspect_ended_calls(ended, now));
                changes
            }
            PartEvidence::Lost(call, age) => {
                self.note_served(&call.parts, now);
                let (ended, crash) = (call.crash, KnownCrash::told(age, now));
                let mut changes = Vec::new();
                if call.point != LossPoint::AfterEnd {
                    changes = self.record_lost(&call, crash, now);
                } else if !self.lost_calls.has_ended_call(&call) {
                    changes = self.suspect_after_end(vec![(call, crash.at)], crash, now);
                }
                changes.extend(self.suspect_ended_calls(ended, now));
                changes
            }
            PartEvidence::Suspected(call, age) => {
                let crash = KnownCrash::told(age, now);
                self.lost_calls.restore(call, crash, &self.served);
                Vec::new()
            }
            PartEvidence::Counted(suspect, age) => {
                self.record_counted(suspect, KnownCrash::told(age, now), now)
            }
            PartEvidence::Tries(told) => {
                if told.teller != self.teller {
                    self.tallies.on_told(told);
                }
                Vec::new()
            }
            PartEvidence::Ended(crash, age) => {
                self.record_end(crash, KnownCrash::told(age, now), now)
            }
            PartEvidence::Alive(crash, age) => self.clear_crash(crash, time_before(now, age), now),
            PartEvidence::Served(part, age) | PartEvidence::Released(part, age) => {
                let served_at = time_before(now, age);
                self.lost_calls.on_served(served_at);
                if self.has_crashed_since(part, served_at) {
                    return Vec::new();
                }
                self.served.on_survived(part, served_at);
                self.release_counted(part, served_at);
                self.evaluate_if_suspected(&[part], now)
            }
        }
    }

    /// Notes those of these parts that were found after calls with them had ended: an answer does not
    /// clear them.
    pub(super) fn note_found_after_call(&mut self, parts: &[RequestPart]) {
        for part in parts {
            if self.lost_calls.has_ended_call_with(*part) {
                self.served.on_found_after_call(*part);
            }
        }
    }

    /// Notes those of these parts of a prompt, suspected by another host, that are known to have been
    /// served: that host may not know it.
    fn note_served(&mut self, parts: &[RequestPart], now: Instant) {
        for part in parts.iter().filter(|part| !part.is_whole()) {
            if self.served.survived_at(*part, now).is_some() {
                self.suspected_elsewhere.insert(*part, now);
            }
        }
    }

    /// What other hosts are told now: the upstreams that have not crashed, the parts that are refused
    /// no longer, the suspected calls that prove quarantined parts, those of this host that are recent,
    /// and when the parts of these calls, and those that other hosts suspect, were last served.
    pub fn evidence(&self, now: Instant) -> Vec<PartEvidence> {
        if self.is_empty() {
            return Vec::new();
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_recent = |crash: &KnownCrash| crash.is_own && age(crash.at) < TELLING_TIME;
        let (proofs, others): (Vec<_>, Vec<_>) = self
            .suspects
            .iter()
            .partition(|(suspect, _)| self.proofs.contains(*suspect));
        let recent = others.into_iter().filter(|(_, crash)| is_recent(crash));
        let told = proofs.into_iter().chain(recent).take(TOLD_MAX);
        let elsewhere = self.suspected_elsewhere.iter();
        let elsewhere = elsewhere.filter(|(_, at)| age(**at) < TELLING_TIME);
        let suspected = told.clone().flat_map(|(suspect, _)| &suspect.parts);
        let parts: IndexMap<RequestPart, Instant> = suspected
            .chain(elsewhere.map(|(part, _)| part))
            .filter(|part| !self.counted.contains_key(*part))
            .filter_map(|part| Some((*part, self.served.survived_at(*part, now)?)))
            .collect();
        let lost = self.lost_calls.calls();
        // What is suspected although its call says little by itself has been judged here. Other hosts need
        // not judge it again by their own calls.
        let lost: IndexMap<(CrashId, RequestPart), &LostCall> = lost
            .filter(|(call, crash)| !call.is_weak() && is_recent(crash))
            .map(|(call, _)| ((call.crash, call.request.into()), call))
            .collect();
        let crashes = told.map(|(suspect, crash)| {
            let lost = match suspect.parts.as_slice() {
                [part] => lost.get(&(suspect.crash, *part)),
                _ => None,
            };
            let is_counted =
                matches!(suspect.parts[..], [part] if self.counted.contains_key(&part));
            if is_counted {
                return PartEvidence::Counted(suspect.clone(), age(crash.at));
            }
            lost.map_or_else(
                || PartEvidence::Crash(suspect.clone(), age(crash.at)),
                |call| PartEvidence::Lost((*call).clone(), age(crash.at)),
            )
        });
        let weak = self.lost_calls.calls();
        let weak = weak.filter(|(call, crash)| call.is_weak() && is_recent(crash));
        let weak = weak.map(|(call, crash)| PartEvidence::Lost(call.clone(), age(crash.at)));
        let ended = self.ended.iter().filter(|(_, end)| is_recent(end));
        let ended = ended.map(|(crash, end)| PartEvidence::Ended(*crash, age(end.at)));
        let served = parts
            .into_iter()
            .map(|(part, at)| PartEvidence::Served(part, age(at)));
        let alive = self.alive.iter().filter(|(_, at)| age(**at) < TELLING_TIME);
        let alive = alive.map(|(crash, at)| PartEvidence::Alive(*crash, age(*at)));
        let released = self.released.iter();
        let released = released.filter(|(_, release)| age(release.known_at) < TELLING_TIME);
        let released =
            released.map(|(part, release)| PartEvidence::Released(*part, age(release.served_at)));
        // What had ended before its upstream comes first: it tells how the suspects are cleared.
        let lost = weak.take(TOLD_MAX).chain(crashes);
        let told = alive.chain(released).chain(ended).chain(lost);
        let suspected = self.suspected_losses(now).take(TOLD_MAX);
        let tries = self.tallies.tries(self.teller).take(TOLD_MAX);
        let tries = tries.map(PartEvidence::Tries);
        told.chain(tries).chain(served).chain(suspected).collect()
    }

    /// The crashes of the requests that were probed without being found, for hosts that start.
    fn suspected_losses(&self, now: Instant) -> impl Iterator<Item = PartEvidence> {
        let probed = self.probes.keys();
        let probed = probed.filter(|parts| !self.causes.contains_key(*parts));
        let probed = probed.filter_map(|parts| parts.first().copied());
        probed.flat_map(move |part| {
            let losses = self.losses_of(part, now).unwrap_or_default().into_iter();
            losses.filter_map(move |(crash, at)| {
                let call = LostCall {
                    crash,
                    request: part.request()?,
                    parts: Vec::new(),
                    point: LossPoint::AfterEnd,
                };
                let age = now.saturating_duration_since(at);
                Some(PartEvidence::Suspected(call, age))
            })
        })
    }
}

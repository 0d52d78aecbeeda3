//! Detection and refusal of requests that crash every upstream which begins an answer on them.
//!
//! Such requests have nothing in common but a part: a part of their prompts, or the request as a
//! whole, which comes again. Each crash breaks many calls that only ran on the same upstream, on
//! several hosts, so single crashes say little: a part is refused once several upstreams have crashed
//! under it and no request with it was served since.

mod admission;
mod counted;
mod ended;
mod evidence;
mod lost;
mod probes;
mod records;
mod served;

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::PartCount;
use crate::decide::QuarantineChange;
use crate::decide::QuarantinedParts;
use crate::decide::RequestPart;
use crate::decide::crash_attribution::CRASHES_MIN;
use crate::decide::crash_attribution::Explanation;
use crate::decide::crash_attribution::explain_crashes;
use crate::decide::ended_calls::EndedCalls;
use crate::decide::known_crash::KnownCrash;
use crate::decide::lost_calls::LostCalls;
use crate::decide::lost_calls::repeated_parts;
use crate::decide::part_quarantine::ended::UnjudgedCalls;
use crate::decide::part_tallies::PartTallies;
use crate::decide::served_record::ServedRecord;
use crate::units::CrashId;
use crate::units::TellerId;
use crate::units::UpstreamId;

/// The number of suspected calls that are kept.
const SUSPECTS_MAX: usize = 1_024;
/// The number of suspected calls that are dropped together when there are more.
const DROP_BATCH: usize = 128;
/// How long the parts of the prompt of a suspected call are kept while its crash is not explained.
const PART_RETENTION: Duration = Duration::from_secs(600);
/// How long requests with quarantined parts of a prompt are refused after the last crash or probe, by the
/// number of probes. The parts do not change, so this ends only for upstreams that were replaced by a
/// repaired version.
const PART_QUARANTINE_TIMES: [Duration; 3] = [
    Duration::from_secs(3_600),
    Duration::from_secs(6 * 3_600),
    Duration::from_secs(24 * 3_600),
];
/// How long a single request is refused after the last crash or probe, by the number of probes and of
/// crashes beyond those that begin the quarantine. A request that was only lost beside others is soon
/// served again, and one that does crash upstreams ends one or two more in a day.
const REQUEST_QUARANTINE_TIMES: [Duration; 3] = [
    Duration::from_secs(30),
    Duration::from_secs(600),
    Duration::from_secs(24 * 3_600),
];
/// How long a suspected call is kept if its crash is explained, and otherwise the call as a whole,
/// which its first answer clears. After a quarantine that is shorter, one more crash begins it again.
const CRASH_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// How long after a crash a call may be sent whose answer shows that the upstream has not crashed.
/// Upstreams take longer to start again, under a name that they may keep.
const ALIVE_WITHIN: Duration = Duration::from_secs(1);
/// How long other hosts are told of a suspected call of this host while its crash is not explained.
const TELLING_TIME: Duration = Duration::from_secs(10);

/// That a part was released.
#[derive(Clone, Copy, Debug)]
struct Release {
    /// When a request with it was served.
    served_at: Instant,
    /// When this host learned that the upstream has lived on.
    known_at: Instant,
}

/// A crash and its time.
type DatedCrash = (CrashId, Instant);

/// What one host knows of parts that crash upstreams, from its own calls and from other hosts. What is
/// refused follows from it alone, so that hosts which know the same refuse the same.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    /// The suspected calls.
    suspects: IndexMap<CrashSuspect, KnownCrash>,
    lost_calls: LostCalls,
    /// How many tries with each part were lost and served.
    tallies: PartTallies,
    /// The parts that crash upstreams by these counts, with the crashes. What else is known does not end
    /// that.
    counted: IndexMap<RequestPart, Vec<DatedCrash>>,
    /// What the counts have said since this was last taken.
    part_counts: Vec<PartCount>,
    /// The id under which this host tells others what it has counted.
    teller: TellerId,
    /// The calls of this host whose upstreams are not known to have lived on.
    ended_calls: EndedCalls,
    /// The calls that had ended at upstreams which have ended since, until they are judged.
    unjudged: VecDeque<UnjudgedCalls>,
    /// The upstreams that have ended recently.
    ended: IndexMap<CrashId, KnownCrash>,
    /// Upstreams that have answered soon after their connections broke, with the time of this.
    alive: IndexMap<CrashId, Instant>,
    served: ServedRecord,
    quarantined: Vec<QuarantinedParts>,
    /// The suspected calls that belong to quarantined parts.
    explained: IndexSet<CrashSuspect>,
    /// Those of them which suffice for hosts that start to refuse the same parts for as long.
    proofs: IndexSet<CrashSuspect>,
    /// The parts that are or were quarantined, with the crashes of these, the latest first.
    causes: IndexMap<Vec<RequestPart>, Vec<DatedCrash>>,
    /// When probes of quarantined parts were sent.
    probes: IndexMap<Vec<RequestPart>, Vec<Instant>>,
    /// The parts that were refused, and the whole requests that were suspected, until this host had
    /// such a request served.
    released: IndexMap<RequestPart, Release>,
    /// The parts that this host knows to have been served, and another host suspected at this time.
    suspected_elsewhere: IndexMap<RequestPart, Instant>,
}

impl PartQuarantine {
    /// Creates what a process knows at its start.
    pub fn new(teller: TellerId) -> Self {
        Self {
            teller,
            ..Self::default()
        }
    }

    /// The id of the crash of an upstream on which a call that arrived at this time was lost: another
    /// one than those that were known by then.
    pub fn crash_id(&self, upstream: &UpstreamId, arrived_at: Instant) -> CrashId {
        let mut crash = CrashId::from(upstream);
        while self.known_at(crash).is_some_and(|at| at < arrived_at) {
            crash = crash.next();
        }
        crash
    }

    /// Whether there is nothing to refuse, and nothing to tell other hosts.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty()
            && self.suspects.is_empty()
            && self.alive.is_empty()
            && self.released.is_empty()
            && !self.lost_calls.has_weak()
    }

    /// All quarantined parts.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = &QuarantinedParts> {
        let quarantined = self.quarantined.iter();
        quarantined.filter(move |known| now < known.until)
    }

    /// Records a suspected call of this host. Returns what has changed.
    pub fn on_crash(&mut self, suspect: CrashSuspect, now: Instant) -> Vec<QuarantineChange> {
        let ended = suspect.crash;
        self.count_lost_open(&suspect.parts, suspect.crash);
        let mut changes = self.record_suspect(suspect, KnownCrash::own(now), now);
        changes.extend(self.suspect_ended_calls(ended, now));
        changes
    }

    /// Records that an upstream, whose first crash would have this id, has answered a call that was
    /// sent at `sent_at`. If its connections broke shortly before that, it has not crashed. Returns
    /// what has changed.
    pub fn on_alive(
        &mut self,
        first: CrashId,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let mut changes = self.on_life_sign(first, sent_at, now);
        let mut crash = first;
        while self.known_at(crash).is_some() || self.lost_calls.weak_at(crash).is_some() {
            if self.is_refuted(crash, sent_at) {
                changes.extend(self.clear_crash(crash, now, now));
            }
            crash = crash.next();
        }
        changes
    }

    /// Whether a suspected or lost call of this crash was lost shortly before an upstream was sent a call that
    /// it has answered.
    fn is_refuted(&self, crash: CrashId, sent_at: Instant) -> bool {
        let suspects = self.suspects.iter();
        let suspected = suspects.filter(|(suspect, _)| suspect.crash == crash);
        let mut lost_at = suspected
            .map(|(_, known)| known.at)
            .chain(self.lost_calls.weak_at(crash));
        lost_at.any(|at| at < sent_at && sent_at - at < ALIVE_WITHIN)
    }

    fn record_crash(
        &mut self,
        suspect: CrashSuspect,
        crash: KnownCrash,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        self.expire(now);
        let is_known = self.suspects.contains_key(&suspect);
        let has_answered = self.alive.contains_key(&suspect.crash);
        let is_expired = is_older_than(crash.at, CRASH_RETENTION, now);
        if suspect.parts.is_empty() || is_known || has_answered || is_expired {
            return Vec::new();
        }
        if self.suspects.len() >= SUSPECTS_MAX {
            self.drop_oldest();
        }
        let parts = suspect.parts.clone();
        self.suspects.insert(suspect, crash);
        if self.may_explain(&parts) {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// Whether one of these parts is in suspected calls of enough crashes to be quarantined.
    fn may_explain(&self, parts: &[RequestPart]) -> bool {
        parts.iter().any(|part| {
            let suspects = self.suspects.keys();
            let with_part = suspects.filter(|suspect| suspect.parts.contains(part));
            let crashes: IndexSet<CrashId> = with_part.map(|suspect| suspect.crash).collect();
            crashes.len() >= CRASHES_MIN
        })
    }

    /// When a crash happened that is known, or that was found not to be one.
    fn known_at(&self, crash: CrashId) -> Option<Instant> {
        let mut suspects = self.suspects.iter();
        let suspected = suspects.find(|(suspect, _)| suspect.crash == crash);
        let suspected_at = suspected.map(|(_, known)| known.at);
        suspected_at.or_else(|| self.alive.get(&crash).copied())
    }

    /// Clears all calls that were suspected of a crash, since the upstream is alive.
    fn clear_crash(&mut self, crash: CrashId, at: Instant, now: Instant) -> Vec<QuarantineChange> {
        self.expire(now);
        self.alive.insert(crash, at);
        self.lost_calls.clear_crash(crash);
        let known = self.suspects.len();
        self.suspects.retain(|suspect, _| suspect.crash != crash);
        if self.suspects.len() < known {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// Forgets what is too old to count.
    fn expire(&mut self, now: Instant) {
        let explained = &self.explained;
        let mut expired = Vec::new();
        self.suspects.retain(|suspect, crash| {
            if is_older_than(crash.at, CRASH_RETENTION, now) {
                return false;
            }
            let is_kept = explained.contains(suspect)
                || suspect.parts.iter().all(RequestPart::is_whole)
                || !is_older_than(crash.known_at, PART_RETENTION, now);
            if !is_kept {
                expired.push((suspect.clone(), *crash));
            }
            is_kept
        });
        for (mut suspect, crash) in expired {
            suspect.parts.retain(RequestPart::is_whole);
            if !suspect.parts.is_empty() {
                self.suspects.entry(suspect).or_insert(crash);
            }
        }
        let is_told = |at: &Instant| !is_older_than(*at, TELLING_TIME, now);
        self.alive.retain(|_, at| is_told(at));
        self.released
            .retain(|_, release| is_told(&release.known_at));
        self.suspected_elsewhere.retain(|_, at| is_told(at));
        self.ended.retain(|_, end| is_told(&end.known_at));
    }

    /// Drops the oldest suspected calls: if possible some that have no part in common with a suspected
    /// call of another crash, else one whose crash is not explained.
    fn drop_oldest(&mut self) {
        let repeated = self.repeated_parts();
        let is_single = |suspect: &CrashSuspect| {
            let mut parts = suspect.parts.iter();
            parts.all(|part| !repeated.contains(part))
        };
        let single = self.suspects.keys().filter(|suspect| is_single(suspect));
        let single: IndexSet<CrashSuspect> = single.take(DROP_BATCH).cloned().collect();
        if single.is_empty() {
            let mut open = self.suspects.keys();
            let index = open.position(|suspect| !self.explained.contains(suspect));
            self.suspects.shift_remove_index(index.unwrap_or(0));
        } else {
            self.suspects.retain(|suspect, _| !single.contains(suspect));
        }
    }

    /// The parts that are in suspected calls of several crashes.
    fn repeated_parts(&self) -> IndexSet<RequestPart> {
        let suspects = self.suspects.keys();
        let parts = suspects.flat_map(|suspect| {
            let parts = suspect.parts.iter();
            parts.map(|part| (*part, suspect.crash))
        });
        repeated_parts(parts)
    }

    /// Evaluates anew if a suspected call has one of these parts.
    fn evaluate_if_suspected(
        &mut self,
        parts: &[RequestPart],
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if self.is_suspected(parts) {
            self.evaluate(now)
        } else {
            Vec::new()
        }
    }

    /// Whether a suspected call has one of these parts.
    fn is_suspected(&self, parts: &[RequestPart]) -> bool {
        let mut suspects = self.suspects.keys();
        suspects.any(|suspect| suspect.parts.iter().any(|part| parts.contains(part)))
    }

    /// Finds anew which parts are quarantined.
    fn evaluate(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let mut explanations = self.counted_explanations();
        let counted = self.counted.values().flatten();
        let counted: IndexSet<CrashId> = counted.map(|(crash, _)| *crash).collect();
        let suspects = self.suspects.iter();
        let open = suspects.filter(|(suspect, _)| !counted.contains(&suspect.crash));
        let open = open.map(|(suspect, crash)| (suspect, crash.at));
        explanations.extend(explain_crashes(open, &self.served, now));
        let is_explained =
            |parts: &Vec<RequestPart>| explanations.iter().any(|found| found.parts == *parts);
        let probes = std::mem::take(&mut self.probes).into_iter();
        let probes = probes
            .filter(|(parts, _)| is_explained(parts) || self.is_lost_often(parts, now))
            .collect();
        self.probes = probes;
        let quarantined = explanations
            .iter()
            .map(|found| self.quarantine_of(found, now));
        let quarantined: Vec<QuarantinedParts> = quarantined.collect();
        let changes = changes_between(&self.quarantined, &quarantined, now);
        self.quarantined = quarantined;
        self.proofs.clear();
        self.causes.clear();
        for found in &explanations {
            let proof = found.proof(further_crashes(&found.parts));
            self.proofs.extend(proof.iter().map(|(s, _)| s.clone()));
            let mut crashes: Vec<DatedCrash> = proof
                .iter()
                .map(|(suspect, at)| (suspect.crash, *at))
                .collect();
            crashes.sort_by_key(|(_, at)| Reverse(*at));
            self.causes.insert(found.parts.clone(), crashes);
        }
        let causes = &self.causes;
        self.served
            .retain(|part| causes.keys().any(|parts| parts.contains(&part)));
        let explained = explanations.into_iter().flat_map(|e| e.suspects);
        self.explained = explained.map(|(suspect, _)| suspect).collect();
        changes
    }

    fn quarantine_of(&self, explanation: &Explanation, now: Instant) -> QuarantinedParts {
        let suspects = &explanation.suspects;
        let crashes: IndexSet<CrashId> = suspects.iter().map(|(s, _)| s.crash).collect();
        let crashed_at = suspects.first().map_or(now, |(_, at)| *at);
        let probes = self.probes.get(&explanation.parts);
        let probes = probes.map_or(&[][..], Vec::as_slice);
        let from = probes.iter().fold(crashed_at, |from, at| from.max(*at));
        QuarantinedParts {
            parts: explanation.parts.clone(),
            crashes: crashes.len(),
            is_found: true,
            until: from + quarantine_time(explanation, crashes.len(), probes.len()),
        }
    }
}

/// The number of crashes beyond those that begin the quarantine of these parts which still make it
/// longer.
fn further_crashes(parts: &[RequestPart]) -> usize {
    if parts.iter().any(RequestPart::is_whole) {
        REQUEST_QUARANTINE_TIMES.len() - 1
    } else {
        0
    }
}

/// How long requests are refused after the last of so many crashes and probes.
fn quarantine_time(explanation: &Explanation, crashes: usize, probes: usize) -> Duration {
    if !explanation.parts.iter().any(RequestPart::is_whole) {
        let last = PART_QUARANTINE_TIMES.len() - 1;
        return PART_QUARANTINE_TIMES[probes.min(last)];
    }
    let further = crashes.saturating_sub(explanation.crashes_min) + probes;
    let last = REQUEST_QUARANTINE_TIMES.len() - 1;
    REQUEST_QUARANTINE_TIMES[further.min(last)]
}

/// Whether something of this time is at least this old now.
pub(in crate::decide) fn is_older_than(at: Instant, age: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) >= age
}

fn changes_between(
    before: &[QuarantinedParts],
    after: &[QuarantinedParts],
    now: Instant,
) -> Vec<QuarantineChange> {
    let is_in = |list: &[QuarantinedParts], parts: &[RequestPart]| {
        list.iter().any(|known| known.parts == parts)
    };
    let was_refused = |parts: &[RequestPart]| {
        let mut before = before.iter();
        before.any(|known| known.parts == parts && now < known.until)
    };
    let begun = after
        .iter()
        .filter(|known| now < known.until && !was_refused(&known.parts));
    let ended = before.iter().filter(|known| !is_in(after, &known.parts));
    let begun = begun.cloned().map(QuarantineChange::Begun);
    begun
        .chain(ended.cloned().map(QuarantineChange::Ended))
        .collect()
}

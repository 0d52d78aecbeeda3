//! Parts of prompts, and requests as a whole, that crash upstreams, found by calls that were lost with
//! them at any point of their answers, or had ended there shortly before.
//!
//! A crash loses all calls that wait at the upstream, so that each of them says little. A part is the
//! cause only if it was lost in several crashes, each time with another request and none of them
//! served, while requests without it were served between the crashes. Upstreams that end together or
//! all of them, for other reasons, therefore count once. A request as a whole is judged in the same way,
//! over its repeats.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::RequestPart;
use crate::decide::crash_attribution::CRASHES_MIN;
use crate::decide::known_crash::KnownCrash;
use crate::decide::part_losses::PartLosses;
use crate::decide::part_quarantine::is_older_than;
use crate::decide::served_record::ServedRecord;
use crate::units::CrashId;
use crate::units::RequestHash;

/// The number of lost calls that are kept.
const CALLS_MAX: usize = 1_024;
/// The number of lost calls that are dropped together when there are more.
const DROP_BATCH: usize = 128;
/// How long a lost call counts for the parts of its prompt.
const PARTS_RETENTION: Duration = Duration::from_secs(600);
/// How long a lost call counts for the request as a whole.
const REQUEST_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// The shortest time between crashes that count separately. Upstreams that end together may do so for
/// one reason, which need not be a request.
pub(crate) const APART_MIN: Duration = Duration::from_millis(200);
/// The same for the repeats of one request if no request was served between the crashes.
const REPEATS_APART_MIN: Duration = Duration::from_secs(1);
/// The number of the last lost calls whose suspicions are kept beyond the life of a process.
const SUSPECTED_CALLS_MAX: usize = 64;
/// The number of times at which requests were served that are kept.
const SERVES_MAX: usize = 64;
/// The shortest time between the ones that are kept.
const SERVES_APART: Duration = Duration::from_millis(50);

/// The calls that were lost with upstreams, and when requests were served.
#[derive(Debug, Default)]
pub(crate) struct LostCalls {
    /// The lost calls, each with the last time before it at which a request was served.
    calls: IndexMap<LostCall, (KnownCrash, Option<Instant>)>,
    serves: VecDeque<Instant>,
}

impl LostCalls {
    /// Records that a request was served.
    pub(crate) fn on_served(&mut self, at: Instant) {
        if self.serves.back().is_some_and(|last| *last >= at) {
            return;
        }
        let kept = self.serves.len();
        let is_near = |last: Instant| at.saturating_duration_since(last) < SERVES_APART;
        if kept >= 2 && is_near(self.serves[kept - 2]) {
            self.serves[kept - 1] = at;
            return;
        }
        if kept >= SERVES_MAX {
            self.serves.pop_front();
        }
        self.serves.push_back(at);
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether there are calls that count for the request as a whole and suspect nothing by themselves.
    pub(crate) fn has_weak(&self) -> bool {
        self.calls.keys().any(LostCall::is_weak)
    }

    /// When the last such call was lost in this crash; none if none was.
    pub(crate) fn weak_at(&self, crash: CrashId) -> Option<Instant> {
        let calls = self.calls.iter().rev();
        let mut lost = calls.filter(|(call, _)| call.is_weak() && call.crash == crash);
        lost.next().map(|(_, (known, _))| known.at)
    }

    /// The requests of such calls in this crash.
    pub(crate) fn weak_requests_in(&self, crash: CrashId) -> impl Iterator<Item = RequestHash> {
        let calls = self.calls.keys();
        let of_crash = calls.filter(move |call| call.is_weak() && call.crash == crash);
        of_crash.map(|call| call.request)
    }

    /// Whether there are such calls of this request.
    pub(crate) fn has_weak_of(&self, request: RequestHash) -> bool {
        let mut calls = self.calls.keys();
        calls.any(|call| call.is_weak() && call.request == request)
    }

    /// Whether this call, which had ended before its upstream, is known.
    pub(crate) fn has_ended_call(&self, call: &LostCall) -> bool {
        let mut known = self.calls.keys();
        known.any(|known| {
            let is_same = known.crash == call.crash && known.request == call.request;
            is_same && known.point == LossPoint::AfterEnd
        })
    }

    /// Whether there are lost calls with the part that had ended before their upstreams.
    pub(crate) fn has_ended_call_with(&self, part: RequestPart) -> bool {
        let mut ended = self
            .calls
            .keys()
            .filter(|call| call.point == LossPoint::AfterEnd);
        ended.any(|call| call.all_parts().contains(&part))
    }

    /// Records a lost call. Returns whether it is a new one.
    pub(crate) fn record(
        &mut self,
        call: LostCall,
        crash: KnownCrash,
        served: &ServedRecord,
    ) -> bool {
        let now = crash.known_at;
        if is_older_than(crash.at, REQUEST_RETENTION, now) || self.calls.contains_key(&call) {
            return false;
        }
        self.calls
            .retain(|_, (known, _)| !is_older_than(known.known_at, REQUEST_RETENTION, now));
        if self.calls.len() >= CALLS_MAX {
            self.drop_oldest(served, now);
        }
        let mut serves = self.serves.iter().rev();
        let served_before = serves.find(|served_at| **served_at < crash.at).copied();
        self.calls.insert(call, (crash, served_before));
        true
    }

    /// Drops the oldest calls: if possible those that have nothing in common with a call of another crash,
    /// apart from what was served.
    fn drop_oldest(&mut self, served: &ServedRecord, now: Instant) {
        let is_unserved = |part: &RequestPart| served.survived_at(*part, now).is_none();
        let repeated = self.repeated_parts();
        let is_single = |call: &LostCall| {
            let mut parts = call.all_parts().into_iter().filter(is_unserved);
            parts.all(|part| !repeated.contains(&part))
        };
        let single = self.calls.keys().filter(|call| is_single(call));
        let single: IndexSet<LostCall> = single.take(DROP_BATCH).cloned().collect();
        if single.is_empty() {
            self.calls.drain(..DROP_BATCH);
        } else {
            self.calls.retain(|call, _| !single.contains(call));
        }
    }

    /// What calls of several crashes have in common.
    fn repeated_parts(&self) -> IndexSet<RequestPart> {
        let calls = self.calls.keys();
        let parts = calls.flat_map(|call| {
            let parts = call.all_parts().into_iter();
            parts.map(|part| (part, call.crash))
        });
        repeated_parts(parts)
    }

    /// Forgets the calls that were lost in a crash that is none.
    pub(crate) fn clear_crash(&mut self, crash: CrashId) {
        self.calls.retain(|call, _| call.crash != crash);
    }

    /// The lost calls with their crashes.
    pub(crate) fn calls(&self) -> impl Iterator<Item = (&LostCall, &KnownCrash)> {
        self.calls.iter().map(|(call, (crash, _))| (call, crash))
    }

    /// What the calls lately lost have in common with others, unless an upstream has answered it since, with
    /// the crashes that count separately.
    pub(crate) fn suspected(
        &self,
        served: &ServedRecord,
        now: Instant,
    ) -> Vec<(RequestPart, Vec<(CrashId, Instant)>)> {
        let latest = self.calls.keys().rev().take(SUSPECTED_CALLS_MAX);
        let parts: IndexSet<RequestPart> = latest.flat_map(LostCall::all_parts).collect();
        let with_crashes = parts.into_iter().map(|part| {
            let losses = self.calls_with(part, served, now);
            (part, separate_crashes(part, losses))
        });
        with_crashes
            .filter(|(_, crashes)| !crashes.is_empty())
            .collect()
    }

    /// Adds a lost call that is known to count separately from those of other crashes.
    pub(crate) fn restore(&mut self, call: LostCall, crash: KnownCrash, served: &ServedRecord) {
        let is_known = self
            .calls
            .keys()
            .any(|known| known.crash == call.crash && has_in_common(known, &call));
        if is_known || is_older_than(crash.at, REQUEST_RETENTION, crash.known_at) {
            return;
        }
        if self.calls.len() >= CALLS_MAX {
            self.drop_oldest(served, crash.known_at);
        }
        let served_before = crash.at.checked_sub(Duration::from_millis(1));
        self.calls.insert(call, (crash, served_before));
    }

    /// The crashes that some of these parts of a lost call explain, or the request as a whole, with these
    /// and the time of the crash. Calls of which the crash `is_explained` otherwise are left out.
    pub(crate) fn find_causes(
        &self,
        parts: Vec<RequestPart>,
        served: &ServedRecord,
        is_explained: impl Fn(&LostCall) -> bool,
        now: Instant,
    ) -> Vec<(CrashSuspect, Instant)> {
        let is_new =
            |part: &RequestPart| part.is_whole() || served.survived_at(*part, now).is_none();
        let suspected = parts.into_iter().filter(is_new);
        let suspected: Vec<RequestPart> = suspected
            .filter(|part| self.crashes_with(*part, served, now) >= CRASHES_MIN)
            .collect();
        if suspected.is_empty() {
            return Vec::new();
        }
        let explained = self.calls.keys().filter(|call| is_explained(call));
        let explained: IndexSet<CrashId> = explained.map(|call| call.crash).collect();
        let open = self.crashes_under_open_calls(served, now);
        let mut causes: IndexMap<(CrashId, Instant), Vec<RequestPart>> = IndexMap::new();
        for part in suspected {
            let with_part = self.calls_with(part, served, now);
            let losses = with_part.filter(|(call, ..)| match call.point {
                LossPoint::AfterEnd => {
                    !explained.contains(&call.crash) && !open.contains(&call.crash)
                }
                LossPoint::Early | LossPoint::MidStream => !explained.contains(&call.crash),
            });
            let crashes = separate_crashes(part, losses);
            if crashes.len() >= CRASHES_MIN {
                for crash in crashes {
                    causes.entry(crash).or_default().push(part);
                }
            }
        }
        let causes = causes.into_iter();
        causes
            .map(|((crash, at), parts)| (CrashSuspect { crash, parts }, at))
            .collect()
    }

    /// The lost calls that count for a part, with their crashes and the last times before these at which
    /// a request was served.
    fn calls_with(
        &self,
        part: RequestPart,
        served: &ServedRecord,
        now: Instant,
    ) -> impl Iterator<Item = Loss<'_>> {
        let answered_at = served.answered_at(part, now);
        let survived_at = served.survived_at(part, now);
        let calls = self.calls.iter();
        let with_part = calls.filter(move |(call, (crash, _))| {
            let cleared_at = match call.point {
                LossPoint::AfterEnd => survived_at,
                LossPoint::Early | LossPoint::MidStream => answered_at,
            };
            match part.request() {
                None => {
                    let is_kept = !is_older_than(crash.known_at, PARTS_RETENTION, now);
                    is_kept && cleared_at.is_none() && call.parts.contains(&part)
                }
                Some(request) => {
                    call.request == request && cleared_at.is_none_or(|at| at < crash.at)
                }
            }
        });
        with_part.map(|(call, (crash, served_before))| (call, crash, *served_before))
    }

    /// The losses of calls with a part of a prompt, whatever was served with it, apart from those in crashes
    /// that are `explained` otherwise.
    pub(crate) fn losses_with(
        &self,
        part: RequestPart,
        explained: &IndexSet<CrashId>,
        now: Instant,
    ) -> PartLosses {
        let open = self.calls().filter(|(call, crash)| {
            let is_kept = !is_older_than(crash.known_at, PARTS_RETENTION, now);
            is_kept && !explained.contains(&call.crash)
        });
        PartLosses::among(open, part)
    }

    /// The crashes in which calls were open that have something in common which was lost in several of
    /// them and never answered. That is more likely to be the cause than calls that had ended.
    fn crashes_under_open_calls(&self, served: &ServedRecord, now: Instant) -> IndexSet<CrashId> {
        let mut crashes: IndexMap<RequestPart, IndexSet<CrashId>> = IndexMap::new();
        let open = self.calls.iter();
        let open = open.filter(|(call, _)| call.point != LossPoint::AfterEnd);
        for (call, (crash, _)) in open {
            for part in call.all_parts() {
                let answered_at = served.answered_at(part, now);
                if answered_at.is_none_or(|at| part.is_whole() && at < crash.at) {
                    crashes.entry(part).or_default().insert(call.crash);
                }
            }
        }
        let repeated = crashes
            .into_values()
            .filter(|crashes| crashes.len() >= CRASHES_MIN);
        repeated.flatten().collect()
    }

    /// The crashes in which the part was lost and that count separately, whatever else explains them. All
    /// crashes under calls that were open and had no answer count.
    pub(crate) fn losses_of(
        &self,
        part: RequestPart,
        served: &ServedRecord,
        now: Instant,
    ) -> Vec<(CrashId, Instant)> {
        let early = self.calls_with(part, served, now);
        let early = early.filter(|(call, ..)| call.point == LossPoint::Early);
        let early: IndexMap<CrashId, Instant> = early
            .map(|(call, crash, _)| (call.crash, crash.at))
            .collect();
        let separate = separate_crashes(part, self.calls_with(part, served, now));
        if early.len() >= separate.len() {
            early.into_iter().collect()
        } else {
            separate
        }
    }

    /// The requests that were lost in at least this number of crashes.
    pub(crate) fn requests_lost_in(&self, crashes_min: usize) -> Vec<RequestHash> {
        let mut crashes: IndexMap<RequestHash, IndexSet<CrashId>> = IndexMap::new();
        for call in self.calls.keys() {
            crashes.entry(call.request).or_default().insert(call.crash);
        }
        crashes.retain(|_, crashes| crashes.len() >= crashes_min);
        crashes.into_keys().collect()
    }

    /// The number of crashes in which a call with the part was lost.
    pub(crate) fn crashes_with(
        &self,
        part: RequestPart,
        served: &ServedRecord,
        now: Instant,
    ) -> usize {
        let calls = self.calls_with(part, served, now);
        let crashes: IndexSet<CrashId> = calls.map(|(call, ..)| call.crash).collect();
        crashes.len()
    }
}

fn has_in_common(known: &LostCall, call: &LostCall) -> bool {
    known.request == call.request || call.parts.iter().any(|part| known.parts.contains(part))
}

/// A lost call, with its crash and the last time before that at which a request was served.
type Loss<'a> = (&'a LostCall, &'a KnownCrash, Option<Instant>);

/// The crashes among these losses of calls with the part that count separately, in order.
fn separate_crashes<'a>(
    part: RequestPart,
    losses: impl Iterator<Item = Loss<'a>>,
) -> Vec<(CrashId, Instant)> {
    let mut losses: Vec<Loss<'a>> = losses.collect();
    losses.sort_by_key(|(_, crash, _)| crash.at);
    let mut separate: Vec<(CrashId, Instant)> = Vec::new();
    let mut requests: IndexSet<RequestHash> = IndexSet::new();
    for (call, crash, served_before) in losses {
        let is_separate = separate.last().is_none_or(|(_, last)| {
            let is_served_between = served_before.is_some_and(|served_at| served_at > *last);
            let is_repeat_apart =
                part.is_whole() && is_older_than(*last, REPEATS_APART_MIN, crash.at);
            is_older_than(*last, APART_MIN, crash.at) && (is_served_between || is_repeat_apart)
        });
        // One request that is lost again and again says nothing of the parts of its prompt.
        if is_separate && (part.is_whole() || requests.insert(call.request)) {
            separate.push((call.crash, crash.at));
        }
    }
    separate
}

/// The parts that are listed with several crashes.
pub(crate) fn repeated_parts(
    listed: impl Iterator<Item = (RequestPart, CrashId)>,
) -> IndexSet<RequestPart> {
    let mut first: IndexMap<RequestPart, CrashId> = IndexMap::new();
    let mut repeated = IndexSet::new();
    for (part, crash) in listed {
        if *first.entry(part).or_insert(crash) != crash {
            repeated.insert(part);
        }
    }
    repeated
}

//! Parts of prompts that crash upstreams, found by calls that were lost with them at any point of their
//! answers.
//!
//! A crash loses all calls that wait at the upstream, so that each of them says little. A part is the
//! cause only if it was lost in several crashes, each time with another request and none of them
//! served, while requests without it were served between the crashes. Upstreams that end together or
//! all of them, for other reasons, therefore count once. A request as a whole that was lost after
//! events of its answers is judged in the same way, over its repeats.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::LostCall;
use crate::decide::RequestPart;
use crate::decide::crash_attribution::CRASHES_MIN;
use crate::decide::known_crash::KnownCrash;
use crate::decide::part_quarantine::is_older_than;
use crate::decide::served_parts::ServedParts;
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
const APART_MIN: Duration = Duration::from_millis(200);
/// The same for the repeats of one request if no request was served between the crashes.
const REPEATS_APART_MIN: Duration = Duration::from_secs(1);
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

    /// Whether there are calls that were lost in the middle of their streams. They count for the request
    /// as a whole.
    pub(crate) fn has_mid_stream(&self) -> bool {
        self.calls.keys().any(|call| call.is_mid_stream)
    }

    /// When the last call was lost in the middle of its stream in this crash; none if none was.
    pub(crate) fn mid_stream_at(&self, crash: CrashId) -> Option<Instant> {
        let calls = self.calls.iter().rev();
        let mut lost = calls.filter(|(call, _)| call.is_mid_stream && call.crash == crash);
        lost.next().map(|(_, (known, _))| known.at)
    }

    /// Whether there are calls of this request that were lost in the middle of their streams.
    pub(crate) fn has_mid_stream_of(&self, request: RequestHash) -> bool {
        let mut calls = self.calls.keys();
        calls.any(|call| call.is_mid_stream && call.request == request)
    }

    /// Records a lost call, of whose parts those that were served before are left out.
    pub(crate) fn record(&mut self, mut call: LostCall, crash: KnownCrash, served: &ServedParts) {
        let now = crash.known_at;
        call.parts
            .retain(|part| served.served_at(*part, now).is_none());
        if retention(&call).is_none_or(|time| is_older_than(crash.at, time, now)) {
            return;
        }
        self.calls.retain(|call, (known, _)| {
            retention(call).is_some_and(|time| !is_older_than(known.known_at, time, now))
        });
        if self.calls.len() >= CALLS_MAX {
            self.calls.drain(..DROP_BATCH);
        }
        let mut serves = self.serves.iter().rev();
        let served_before = serves.find(|served_at| **served_at < crash.at).copied();
        self.calls.entry(call).or_insert((crash, served_before));
    }

    /// Forgets the calls that were lost in a crash that is none.
    pub(crate) fn clear_crash(&mut self, crash: CrashId) {
        self.calls.retain(|call, _| call.crash != crash);
    }

    /// The lost calls with their crashes.
    pub(crate) fn calls(&self) -> impl Iterator<Item = (&LostCall, &KnownCrash)> {
        self.calls.iter().map(|(call, (crash, _))| (call, crash))
    }

    /// The crashes that some of the parts of a lost call explain, or the request as a whole, with these
    /// and the time of the crash. Calls of which the crash `is_explained` otherwise are left out.
    pub(crate) fn find_causes(
        &self,
        call: &LostCall,
        served: &ServedParts,
        is_explained: impl Fn(&LostCall) -> bool,
        now: Instant,
    ) -> Vec<(CrashSuspect, Instant)> {
        let is_new = |part: &RequestPart| part.is_whole() || served.served_at(*part, now).is_none();
        let suspected = call.all_parts().into_iter().filter(is_new);
        let suspected: Vec<RequestPart> = suspected
            .filter(|part| self.crashes_with(*part, served, now) >= CRASHES_MIN)
            .collect();
        if suspected.is_empty() {
            return Vec::new();
        }
        let explained = self.calls.keys().filter(|call| is_explained(call));
        let explained: IndexSet<CrashId> = explained.map(|call| call.crash).collect();
        let mut causes: IndexMap<(CrashId, Instant), Vec<RequestPart>> = IndexMap::new();
        for part in suspected {
            let crashes = self.separate_crashes(part, &explained, served, now);
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
        served: &ServedParts,
        now: Instant,
    ) -> impl Iterator<Item = (&LostCall, &KnownCrash, Option<Instant>)> {
        let served_at = served.served_at(part, now);
        let calls = self.calls.iter();
        let with_part = calls.filter(move |(call, (crash, _))| match part.request() {
            None => {
                call.parts.contains(&part) && !is_older_than(crash.known_at, PARTS_RETENTION, now)
            }
            Some(request) => {
                let is_unserved = served_at.is_none_or(|served_at| served_at < crash.at);
                call.is_mid_stream && call.request == request && is_unserved
            }
        });
        with_part.map(|(call, (crash, served_before))| (call, crash, *served_before))
    }

    /// The number of crashes in which a call with the part was lost.
    fn crashes_with(&self, part: RequestPart, served: &ServedParts, now: Instant) -> usize {
        let calls = self.calls_with(part, served, now);
        let crashes: IndexSet<CrashId> = calls.map(|(call, ..)| call.crash).collect();
        crashes.len()
    }

    /// The crashes in which a call with the part was lost and that count separately, in order.
    fn separate_crashes(
        &self,
        part: RequestPart,
        explained: &IndexSet<CrashId>,
        served: &ServedParts,
        now: Instant,
    ) -> Vec<(CrashId, Instant)> {
        let with_part = self.calls_with(part, served, now);
        let open = with_part.filter(|(call, ..)| !explained.contains(&call.crash));
        let mut losses: Vec<_> = open.collect();
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
}

/// How long a lost call is kept; none if it counts for nothing.
fn retention(call: &LostCall) -> Option<Duration> {
    if call.is_mid_stream {
        Some(REQUEST_RETENTION)
    } else {
        (!call.parts.is_empty()).then_some(PARTS_RETENTION)
    }
}

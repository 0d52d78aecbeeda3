//! The losses of calls with one part of their prompts.

use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::LossPoint;
use crate::decide::LostCall;
use crate::decide::RequestPart;
use crate::decide::known_crash::KnownCrash;
use crate::decide::lost_calls::APART_MIN;
use crate::decide::part_quarantine::is_older_than;
use crate::units::CrashId;
use crate::units::RequestHash;

/// A lost call and its crash.
type Loss<'a> = (&'a LostCall, &'a KnownCrash);

/// The losses of calls with one part of their prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PartLosses {
    /// The crashes that count separately, in order, each with its time.
    pub(crate) crashes: Vec<(CrashId, Instant)>,
    /// Those of them that lost a call which was open.
    pub(crate) open_crashes: usize,
    /// The number of different requests.
    pub(crate) requests: usize,
    /// The number of all crashes since the first of them that count separately, whatever calls they lost.
    pub(crate) all_crashes: usize,
    /// Those of them that lost a call which was open.
    pub(crate) all_open_crashes: usize,
}

impl PartLosses {
    /// The losses among these of calls with a part.
    pub(crate) fn among<'a>(lost: impl Iterator<Item = Loss<'a>>, part: RequestPart) -> Self {
        let mut all: Vec<Loss<'a>> = lost.collect();
        all.sort_by_key(|(_, crash)| crash.at);
        let has_part = |(call, _): &&Loss<'a>| call.parts.contains(&part);
        let Some(first) = all.iter().position(|lost| has_part(&lost)) else {
            return Self::default();
        };
        let all = &all[first..];
        let with_part: Vec<Loss<'a>> = all.iter().filter(has_part).copied().collect();
        let requests = with_part.iter().map(|(call, _)| call.request);
        let requests: IndexSet<RequestHash> = requests.collect();
        let (all_crashes, all_open_crashes) = crashes_apart(all);
        let (crashes, open_crashes) = crashes_apart(&with_part);
        Self {
            crashes,
            open_crashes,
            requests: requests.len(),
            all_crashes: all_crashes.len(),
            all_open_crashes,
        }
    }
}

/// The crashes of these losses, in the order of their times, that lie apart, and the number of those that
/// lost a call which was open.
fn crashes_apart(losses: &[Loss<'_>]) -> (Vec<(CrashId, Instant)>, usize) {
    let open = losses.iter();
    let open = open.filter(|(call, _)| call.point != LossPoint::AfterEnd);
    let open: IndexSet<CrashId> = open.map(|(call, _)| call.crash).collect();
    let mut crashes: Vec<(CrashId, Instant)> = Vec::new();
    for (call, crash) in losses {
        let last = crashes.last();
        if last.is_none_or(|(_, last)| is_older_than(*last, APART_MIN, crash.at)) {
            crashes.push((call.crash, crash.at));
        }
    }
    let open_crashes = crashes.iter().filter(|(id, _)| open.contains(id)).count();
    (crashes, open_crashes)
}

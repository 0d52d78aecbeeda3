//! Which parts of prompts explain the crashes of upstreams.

use std::cmp::Reverse;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::CrashSuspect;
use crate::decide::RequestPart;
use crate::decide::served_record::ServedRecord;
use crate::units::CrashId;

/// The number of upstreams that must have crashed under a part that is not known to have been
/// served. One crash may have any cause, and calls that begin at the same moment on the same
/// upstream are suspected together.
pub(crate) const CRASHES_MIN: usize = 3;
/// The same for a part that was served before the crashes.
pub(crate) const CRASHES_MIN_IF_SERVED: usize = 12;

/// Parts that explain crashes. All of them were in a suspected call of each crash.
#[derive(Debug)]
pub(crate) struct Explanation {
    /// The parts, in ascending order.
    pub(crate) parts: Vec<RequestPart>,
    /// The suspected calls of these crashes that have the part with the most crashes, each with the
    /// time of the crash, the latest first.
    pub(crate) suspects: Vec<(CrashSuspect, Instant)>,
    /// The number of crashes that suffice for the explanation.
    pub(crate) crashes_min: usize,
}

impl Explanation {
    /// Some of the suspected calls, which suffice for the explanation: of as many crashes as it
    /// needs and `further` ones, the latest first, and before that those that differ in their parts.
    pub(crate) fn proof(&self, further: usize) -> Vec<&(CrashSuspect, Instant)> {
        let mut seen: IndexSet<&[RequestPart]> = IndexSet::new();
        let (different, repeated): (Vec<_>, Vec<_>) = self
            .suspects
            .iter()
            .partition(|(suspect, _)| seen.insert(&suspect.parts));
        let mut crashes: IndexSet<CrashId> = IndexSet::new();
        let of_new_crashes = different
            .into_iter()
            .chain(repeated)
            .filter(|(suspect, _)| crashes.insert(suspect.crash));
        of_new_crashes.take(self.crashes_min + further).collect()
    }
}

/// The crashes under one part: those in which a suspected call had it.
type CrashesByPart = IndexMap<RequestPart, IndexSet<CrashId>>;

/// Finds the parts that explain crashes: repeatedly takes the part with the most crashes that are
/// not explained yet. Each crash has one cause, so that all other calls that are suspected of it are
/// cleared. Parts that were served after a crash do not explain it.
pub(crate) fn explain_crashes<'a>(
    suspects: impl Iterator<Item = (&'a CrashSuspect, Instant)>,
    served: &ServedRecord,
    now: Instant,
) -> Vec<Explanation> {
    let mut open: Vec<(&CrashSuspect, Instant)> = suspects.collect();
    let mut explanations = Vec::new();
    loop {
        let crashes = crashes_by_part(&open, served, now);
        let Some(main) = most_suspected(&crashes, served, now) else {
            return explanations;
        };
        let (explained, rest): (Vec<_>, Vec<_>) = open
            .into_iter()
            .partition(|(suspect, _)| crashes[&main].contains(&suspect.crash));
        open = rest;
        let with_main = explained.into_iter();
        let with_main = with_main.filter(|(suspect, _)| suspect.parts.contains(&main));
        let mut suspects: Vec<(&CrashSuspect, Instant)> = with_main.collect();
        suspects.sort_by_key(|(_, at)| Reverse(*at));
        explanations.push(Explanation {
            parts: inseparable_parts(main, &suspects, &crashes, served, now),
            suspects: suspects
                .into_iter()
                .map(|(s, at)| (s.clone(), at))
                .collect(),
            crashes_min: crashes_min(main, served, now),
        });
    }
}

fn crashes_by_part(
    open: &[(&CrashSuspect, Instant)],
    served: &ServedRecord,
    now: Instant,
) -> CrashesByPart {
    let mut crashes = CrashesByPart::new();
    for (suspect, at) in open {
        for part in &suspect.parts {
            let cleared_at = served.cleared_at(*part, now);
            if cleared_at.is_none_or(|cleared_at| cleared_at < *at) {
                crashes.entry(*part).or_default().insert(suspect.crash);
            }
        }
    }
    crashes
}

/// The part with the most crashes among those that have enough. Parts that were served before come
/// after the others: sound requests share them with those that crash upstreams.
fn most_suspected(
    crashes: &CrashesByPart,
    served: &ServedRecord,
    now: Instant,
) -> Option<RequestPart> {
    let enough = crashes
        .iter()
        .filter(|(part, crashes)| crashes.len() >= crashes_min(**part, served, now));
    let rank = |(part, crashes): &(&RequestPart, &IndexSet<CrashId>)| {
        let is_new = served.cleared_at(**part, now).is_none();
        (is_new, crashes.len())
    };
    enough.max_by_key(rank).map(|(part, _)| *part)
}

fn crashes_min(part: RequestPart, served: &ServedRecord, now: Instant) -> usize {
    match served.cleared_at(part, now) {
        Some(_) => CRASHES_MIN_IF_SERVED,
        None => CRASHES_MIN,
    }
}

/// The part, and those that may be the cause as well since a suspected call had them together with
/// it in each of the crashes. A part that was served before is left out unless the main one was too.
fn inseparable_parts(
    main: RequestPart,
    suspects: &[(&CrashSuspect, Instant)],
    crashes: &CrashesByPart,
    served: &ServedRecord,
    now: Instant,
) -> Vec<RequestPart> {
    let of_main = &crashes[&main];
    let crashes_with = |part: RequestPart| {
        let with_part = suspects.iter().filter(|(s, _)| s.parts.contains(&part));
        let found: IndexSet<CrashId> = with_part.map(|(suspect, _)| suspect.crash).collect();
        found.len()
    };
    let min_of_main = crashes_min(main, served, now);
    let together = crashes.iter().filter(|(part, _)| {
        crashes_min(**part, served, now) <= min_of_main && crashes_with(**part) == of_main.len()
    });
    let mut parts: Vec<RequestPart> = together.map(|(part, _)| *part).collect();
    // A request as a whole always has the same other parts.
    if let Some(whole) = parts.iter().copied().find(RequestPart::is_whole) {
        return vec![whole];
    }
    parts.sort_unstable();
    parts
}

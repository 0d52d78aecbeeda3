//! Checks that hosts that have lost their links to all upstreams go on serving their callers.

use crate::checks::SETTLING_TIME;
use crate::checks::Violation;
use crate::history::CallerAttempt;
use crate::history::CallerOutcome;
use crate::history::FaultRecord;
use crate::history::FaultScope;
use crate::history::Observations;

/// Number of attempts on each side below which their shares are not compared.
const ATTEMPTS_MIN: usize = 20;
/// Number of attempts that may fail in addition to a fiftieth of all.
const FAILED_MAX: usize = 10;

/// Attempts that were served, and all attempts.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    served: usize,
    all: usize,
}

impl Counts {
    fn add(&mut self, attempt: &CallerAttempt) {
        self.all += 1;
        self.served += usize::from(matches!(attempt.outcome, CallerOutcome::Success { .. }));
    }
}

/// Returns a violation for each cut during which the hosts concerned served their callers less than
/// two thirds as often as the other hosts.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    let cuts = observations.faults.iter();
    let cuts = cuts.filter_map(|fault| match &fault.scope {
        FaultScope::UpstreamPaths(hosts) => Some((fault, hosts.as_slice())),
        _ => None,
    });
    let violations = cuts.filter_map(|(fault, hosts)| check_cut(observations, fault, hosts));
    violations.collect()
}

fn check_cut(observations: &Observations, cut: &FaultRecord, hosts: &[usize]) -> Option<Violation> {
    let is_other_cut = |fault: &&FaultRecord| {
        matches!(fault.scope, FaultScope::UpstreamPaths(_))
            && !std::ptr::eq(*fault, cut)
            && fault.overlaps(cut.from, cut.to)
    };
    if observations.faults.iter().any(|fault| is_other_cut(&fault)) {
        return None;
    }
    let (mut at_cut, mut at_others) = (Counts::default(), Counts::default());
    let host_count = observations.host_count();
    let attempts = observations.attempts.values();
    for attempt in
        attempts.filter(|attempt| is_counted(observations, cut, hosts, host_count, attempt))
    {
        if hosts.contains(&attempt.host) {
            at_cut.add(attempt);
        } else {
            at_others.add(attempt);
        }
    }
    let is_comparable = at_cut.all >= ATTEMPTS_MIN && at_others.all >= ATTEMPTS_MIN;
    let is_worse = at_cut.served * at_others.all * 3 < at_others.served * at_cut.all * 2;
    let failed = at_cut.all - at_cut.served;
    let has_failed = failed > FAILED_MAX + (at_cut.all + at_others.all) / 50;
    (is_comparable && is_worse && has_failed).then(|| Violation {
        guarantee: "hosts without links to upstreams serve their callers",
        details: format!("{cut:?}: {at_cut:?} there, {at_others:?} at the others"),
    })
}

/// Whether an attempt is compared: it was made while hosts on both sides were affected by no other
/// fault, its own host included, so that both sides are compared at the same times.
fn is_counted(
    observations: &Observations,
    cut: &FaultRecord,
    hosts: &[usize],
    host_count: usize,
    attempt: &CallerAttempt,
) -> bool {
    let is_in_time = attempt.sent_at >= cut.from + SETTLING_TIME && attempt.ended_at <= cut.to;
    if !is_in_time || !attempt.is_owed() {
        return false;
    }
    let from = attempt.sent_at.saturating_sub(SETTLING_TIME);
    // During an outage no host serves its callers.
    if observations.is_outage(from, attempt.ended_at) {
        return false;
    }
    let is_undisturbed =
        |host: usize| !observations.is_host_disturbed(host, from, attempt.ended_at);
    let all_hosts = 0..host_count;
    let (mut cut_hosts, mut others) = (
        all_hosts.clone().filter(|host| hosts.contains(host)),
        all_hosts.filter(|host| !hosts.contains(host)),
    );
    is_undisturbed(attempt.host) && cut_hosts.any(is_undisturbed) && others.any(is_undisturbed)
}

//! Checks that upstreams get no more requests than the rate limit that they advertise.

use std::time::Duration;

use crate::checks::SETTLING_TIME;
use crate::checks::Violation;
use crate::history::LimitPeriod;
use crate::history::Observations;
use crate::history::Timestamp;
use crate::history::UpstreamRun;

/// Time from the first response that advertises a limit until the limit must be enforced.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// Time from the arrival of a response that advertises the limit at a host until the host must obey
/// the limit.
const HOST_REACTION_TIME: Duration = Duration::from_millis(500);
/// Time from the start of a run until its response has reached the host.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// The sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the requests in a window may exceed the limit.
const EXCESS_FACTOR: f64 = 1.5;
/// Number of requests by which a window may exceed the limit in addition to the factor.
const EXCESS_REQUESTS: f64 = 5.0;

/// Returns the upstreams that got more than their limit allows from hosts that knew the limit and
/// were not affected by a fault.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    observations
        .limit_periods
        .iter()
        .filter_map(|limit| check_limit(observations, limit))
        .collect()
}

/// Returns a violation if a sliding window within a limit period had more requests than the limit
/// and the permitted excess. Only requests of hosts that must know the limit and were not affected
/// by a fault are counted. Windows are checked from `ENFORCED_AFTER` after the first response that
/// advertises the limit until the first run that advertises another limit or none.
fn check_limit(observations: &Observations, limit: &LimitPeriod) -> Option<Violation> {
    let runs = observations.runs.iter().flat_map(|(request, runs)| {
        let host = observations
            .attempts
            .get(request)
            .map(|attempt| attempt.host);
        let at_limited = runs.iter().filter(|run| run.upstream == limit.upstream);
        at_limited.filter_map(move |run| Some((host?, run)))
    });
    let runs: Vec<(usize, &UpstreamRun)> = runs.collect();
    let advertises_limit = |run: &UpstreamRun| run.advertised_limit_per_s == Some(limit.per_s);
    let runs_since_start = || runs.iter().filter(|(_, run)| run.arrived_at >= limit.from);
    let first = runs_since_start().filter(|(_, run)| advertises_limit(run));
    let advertised_at = first.map(|(_, run)| run.arrived_at).min()? + RESPONSE_TIME;
    let others = runs_since_start()
        .filter(|(_, run)| run.arrived_at > advertised_at && !advertises_limit(run));
    let to = others.map(|(_, run)| run.arrived_at).min();
    let to = to.map_or(limit.to, |to| to.min(limit.to));
    let allowed = EXCESS_FACTOR * limit.per_s * WINDOW.as_secs_f64() + EXCESS_REQUESTS;
    let ends = runs.iter().map(|(_, run)| run.arrived_at);
    ends.filter(|end| *end >= advertised_at + ENFORCED_AFTER && *end <= to)
        .find_map(|end| {
            let from = end.saturating_sub(WINDOW);
            let counted = |(host, run): &&(usize, &UpstreamRun)| {
                (from..=end).contains(&run.arrived_at)
                    && must_know_limit(&runs, *host, limit, end)
                    && is_undisturbed(observations, *host, from.min(limit.from), end)
            };
            let count = runs.iter().filter(counted).count();
            (count as f64 > allowed).then(|| Violation {
                guarantee: "an upstream gets no more requests than its advertised limit",
                details: format!("{count} at {end:?}, {allowed} allowed: {limit:?}"),
            })
        })
}

/// Whether a host must obey the limit at `at`: it had sent a request to the upstream within the
/// limit period, early enough for the response to arrive and take effect. The response itself is
/// not checked.
fn must_know_limit(
    runs: &[(usize, &UpstreamRun)],
    host: usize,
    limit: &LimitPeriod,
    at: Timestamp,
) -> bool {
    let until = at.saturating_sub(HOST_REACTION_TIME + RESPONSE_TIME);
    runs.iter()
        .any(|(run_host, run)| *run_host == host && (limit.from..=until).contains(&run.arrived_at))
}

/// Whether no fault other than one of the store affected a host from `SETTLING_TIME` before `from`
/// until `to`. Faults of the store are allowed because a host still learns of limits from its
/// peers.
fn is_undisturbed(
    observations: &Observations,
    host: usize,
    from: Timestamp,
    to: Timestamp,
) -> bool {
    !observations.is_host_disturbed(host, from.saturating_sub(SETTLING_TIME), to)
}

//! The upstreams of a service that may receive a call now.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::AvailabilityTracker;
use crate::decide::UpstreamAvailability;
use crate::gateway::Call;
use crate::gateway::ExcludedRecord;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::units::UpstreamId;
use crate::units::whole_millis;

/// The upstreams that a call may be sent to, and what is known of the others.
pub(crate) struct Candidates<'a> {
    /// The upstreams that the call may be sent to: the untried ones that accept requests and are
    /// healthy, or all that accept requests if none of these is healthy.
    pub(crate) usable: Vec<&'a ListedUpstream>,
    /// Whether upstreams are listed, and none of them in a region that the call allows.
    pub(crate) is_outside_regions: bool,
    /// The upstreams that accept no requests; none if all do.
    pub(crate) excluded: Option<ExcludedRecord>,
    /// The upstreams that the call has to wait for; none if it can be sent now, or if no upstream
    /// will accept requests again.
    pub(crate) backoff: Option<ServiceBackoff>,
}

/// When the upstreams of a service accept requests again, if none that a call could be sent to
/// does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceBackoff {
    /// Time until the first upstream accepts requests again.
    pub(crate) ends_in: Duration,
    /// Whether an upstream that the call was already sent to accepts requests.
    pub(crate) has_tried_available: bool,
    /// Time until the first upstream that the call was not sent to accepts requests; none if it was
    /// sent to all.
    pub(crate) untried_ends_in: Option<Duration>,
}

/// An upstream of the list with its availability.
struct Candidate<'a> {
    upstream: &'a ListedUpstream,
    availability: UpstreamAvailability,
    is_tried: bool,
}

impl Candidate<'_> {
    /// Time until the backoff of the upstream ends; none if it is not backing off.
    fn backoff_left(&self) -> Option<Duration> {
        match self.availability {
            UpstreamAvailability::BackingOff(left) => Some(left),
            UpstreamAvailability::Available
            | UpstreamAvailability::Evacuated
            | UpstreamAvailability::Leaving => None,
        }
    }
}

impl<'a> Candidates<'a> {
    /// Selects among the listed upstreams of the call's service in the regions that the call
    /// allows. `avoided` are those that the call is not sent to, such as those it was sent to before.
    pub(crate) fn select(
        gateway: &Gateway,
        call: &Call,
        listed: &'a [ListedUpstream],
        avoided: &IndexSet<UpstreamId>,
        now: Instant,
    ) -> Self {
        let availability = gateway.availability();
        let regions = &gateway.conf.regions;
        // Most calls have no such limit, and each choice compares all upstreams.
        let may_run_anywhere = call.may_run_anywhere();
        let allowed = listed
            .iter()
            .filter(|upstream| may_run_anywhere || call.may_run_in(regions.get(&upstream.domain)));
        let candidates = allowed.map(|upstream| Candidate {
            upstream,
            availability: availability.availability(&upstream.id, now),
            is_tried: avoided.contains(&upstream.id),
        });
        let candidates: Vec<Candidate<'a>> = candidates.collect();
        let is_outside_regions = candidates.is_empty() && !listed.is_empty();
        let excluded = excluded_record(&availability, &candidates, now);
        drop(availability);
        let sendable = candidates.iter().filter(|candidate| {
            candidate.availability == UpstreamAvailability::Available && !candidate.is_tried
        });
        let sendable: Vec<&ListedUpstream> = sendable.map(|c| c.upstream).collect();
        Self {
            backoff: sendable
                .is_empty()
                .then(|| service_backoff(&candidates))
                .flatten(),
            usable: prefer_healthy(gateway, sendable, now),
            excluded,
            is_outside_regions,
        }
    }
}

/// When the upstreams accept requests again; none if no upstream is backing off.
fn service_backoff(candidates: &[Candidate<'_>]) -> Option<ServiceBackoff> {
    let backing_off = || candidates.iter().filter_map(Candidate::backoff_left);
    let untried = candidates.iter().filter(|candidate| !candidate.is_tried);
    Some(ServiceBackoff {
        ends_in: backing_off().min()?,
        has_tried_available: candidates
            .iter()
            .any(|candidate| candidate.availability == UpstreamAvailability::Available),
        untried_ends_in: untried.filter_map(Candidate::backoff_left).min(),
    })
}

/// The healthy ones of these upstreams, or all if none is healthy.
fn prefer_healthy<'a>(
    gateway: &Gateway,
    upstreams: Vec<&'a ListedUpstream>,
    now: Instant,
) -> Vec<&'a ListedUpstream> {
    let health = gateway.health();
    let is_healthy =
        |upstream: &&&ListedUpstream| health.is_usable(&upstream.id, &upstream.domain, now);
    let healthy: Vec<&ListedUpstream> = upstreams.iter().filter(is_healthy).copied().collect();
    if healthy.is_empty() {
        upstreams
    } else {
        healthy
    }
}

/// The upstreams that accept no requests; none if all do.
fn excluded_record(
    availability: &AvailabilityTracker,
    candidates: &[Candidate<'_>],
    now: Instant,
) -> Option<ExcludedRecord> {
    let excluded = candidates
        .iter()
        .filter(|candidate| candidate.availability != UpstreamAvailability::Available);
    let excluded: Vec<&Candidate<'_>> = excluded.collect();
    if excluded.is_empty() {
        return None;
    }
    let ages = excluded
        .iter()
        .filter_map(|candidate| availability.age(&candidate.upstream.id, now));
    let is_evacuated = |c: &&&Candidate<'_>| c.availability == UpstreamAvailability::Evacuated;
    let evacuated = excluded.iter().filter(is_evacuated).count();
    let backing_off = excluded.iter().filter_map(|c| c.backoff_left()).count();
    Some(ExcludedRecord {
        leaving: excluded.len() - backing_off - evacuated,
        backing_off,
        evacuated,
        latest_age_ms: whole_millis(ages.min().unwrap_or_default()),
    })
}

//! The upstreams of a service that may receive a call now.

use std::time::Instant;

use crate::decide::AvailabilityTracker;
use crate::decide::UpstreamAvailability;
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
    /// The upstreams that accept no requests; none if all do.
    pub(crate) excluded: Option<ExcludedRecord>,
}

impl<'a> Candidates<'a> {
    /// Selects among the listed upstreams of a service. `tried` are those that the call was sent
    /// to.
    pub(crate) fn select(
        gateway: &Gateway,
        listed: &'a [ListedUpstream],
        tried: &[UpstreamId],
        now: Instant,
    ) -> Self {
        let availability = gateway.availability();
        let is_available = |upstream: &&ListedUpstream| {
            availability.availability(&upstream.id, now) != UpstreamAvailability::Leaving
        };
        let available: Vec<&ListedUpstream> = listed.iter().filter(is_available).collect();
        let excluded = (available.len() < listed.len())
            .then(|| excluded_record(&availability, listed, now))
            .flatten();
        drop(availability);
        let untried = available
            .into_iter()
            .filter(|upstream| !tried.contains(&upstream.id));
        Self {
            usable: prefer_healthy(gateway, untried.collect(), now),
            excluded,
        }
    }
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

/// The upstreams of a list that accept no requests; none if all do.
fn excluded_record(
    availability: &AvailabilityTracker,
    listed: &[ListedUpstream],
    now: Instant,
) -> Option<ExcludedRecord> {
    let mut leaving = 0;
    for upstream in listed {
        match availability.availability(&upstream.id, now) {
            UpstreamAvailability::Available | UpstreamAvailability::BackingOff(_) => {}
            UpstreamAvailability::Leaving => leaving += 1,
        }
    }
    let ages = listed
        .iter()
        .filter_map(|upstream| availability.age(&upstream.id, now));
    let age = ages.min().filter(|_| leaving > 0);
    age.map(|age| ExcludedRecord {
        leaving,
        latest_age_ms: whole_millis(age),
    })
}

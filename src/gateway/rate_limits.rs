//! The rate limits that upstreams advertise, as this host knows them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::HostCoverage;
use crate::decide::LimitReport;
use crate::decide::LoadSource;
use crate::decide::RateLimitTracker;
use crate::exchange::ListedHost;
use crate::gateway::AdvertisedLimit;
use crate::gateway::DecisionEvent;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::routing::ColdStart;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::RequestsPerSecond;
use crate::units::ServiceId;
use crate::units::UpstreamId;
use crate::units::whole_millis;

/// The transit time of a broadcast, in addition to the interval between broadcasts.
const BROADCAST_LATENCY: Duration = Duration::from_millis(10);

/// The rate limits that upstreams advertise, and the calls that wait for them.
#[derive(Debug)]
pub(crate) struct RateLimits {
    tracker: Mutex<RateLimitTracker>,
    /// The number of calls of each service that wait for a limit to allow one more request.
    waiting: Mutex<IndexMap<ServiceId, u32>>,
}

impl RateLimits {
    /// The state of a host that starts at `now` and knows no limits.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tracker: Mutex::new(RateLimitTracker::new(now)),
            waiting: Mutex::default(),
        }
    }

    /// Locks the state of the limits.
    pub(crate) fn tracker(&self) -> MutexGuard<'_, RateLimitTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this host sends a request to these upstreams.
    pub(crate) fn on_sent<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
        now: Instant,
    ) {
        let mut tracker = self.tracker();
        for upstream in upstreams {
            tracker.on_sent(upstream, now);
        }
    }

    /// Whether any of these upstreams has a limit at `now`.
    pub(crate) fn has_any_limit(&self, upstreams: &[&ListedUpstream], now: Instant) -> bool {
        let tracker = self.tracker();
        upstreams
            .iter()
            .any(|u| tracker.limit(&u.id, now).is_some())
    }

    /// The number of calls of a service that wait on this host for a limit.
    pub(crate) fn waiting(&self, service: &ServiceId) -> u32 {
        self.lock_waiting().get(service).copied().unwrap_or(0)
    }

    /// Counts one more call of a service that waits for a limit, until [`Self::end_wait`] is
    /// called.
    pub(crate) fn begin_wait(&self, service: &ServiceId) {
        *self.lock_waiting().entry(service.clone()).or_default() += 1;
    }

    /// Counts one call less that waits for a limit.
    pub(crate) fn end_wait(&self, service: &ServiceId) {
        if let Some(waiting) = self.lock_waiting().get_mut(service) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    fn lock_waiting(&self) -> MutexGuard<'_, IndexMap<ServiceId, u32>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops the state of upstreams that are off the list.
    pub(crate) fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.tracker().retain(&is_listed);
    }
}

impl Gateway {
    /// Records the limit that an upstream's response advertises. A changed limit is logged and
    /// triggers a broadcast; a malformed one is logged and changes nothing.
    pub(crate) fn on_response_limit(&self, upstream: &UpstreamId, advertised: &AdvertisedLimit) {
        let limit = match advertised {
            AdvertisedLimit::Absent => return,
            AdvertisedLimit::Unlimited => None,
            AdvertisedLimit::Limited(limit) => Some(*limit),
            AdvertisedLimit::Malformed(value) => {
                self.on_malformed_notice(upstream, "limit", value);
                return;
            }
        };
        let now = self.clock.now();
        let mut tracker = self.rate_limits.tracker();
        let is_change = tracker.on_answer(upstream, limit, now);
        drop(tracker);
        if is_change {
            self.on_limit_change(upstream, limit, None, Duration::ZERO);
        }
    }

    /// Records the limit of an upstream as reported by another host or a collector. A changed limit
    /// is logged and triggers a broadcast.
    pub(crate) fn on_limit_report(
        &self,
        source: &LoadSource,
        upstream: &UpstreamId,
        report: &LimitReport,
        now: Instant,
    ) {
        let mut tracker = self.rate_limits.tracker();
        let is_change = tracker.on_report(source.clone(), upstream, report, now);
        drop(tracker);
        if is_change {
            let age = report.age.unwrap_or_default();
            self.on_limit_change(upstream, report.limit, Some(source.host()), age);
        }
    }

    /// Applies the limits of cold upstreams: for how long the list says that each upstream remains
    /// cold, and what the manifest allows meanwhile.
    pub(crate) fn apply_cold_limits(&self) {
        let now = self.clock.now();
        self.update_cold_limits(|tracker, upstream, cold| {
            tracker.set_cold(&upstream.id, upstream.cold_left, cold.rate, now);
        });
    }

    /// Assumes that the upstreams of these failure domains, whose evacuation has ended, are as cold
    /// as after a start: they may have started meanwhile, and the list may lag.
    pub(crate) fn assume_cold(&self, domains: &IndexSet<FailureDomainId>) {
        let now = self.clock.now();
        self.update_cold_limits(|tracker, upstream, cold| {
            if domains.contains(&upstream.domain) {
                tracker.assume_cold(&upstream.id, cold.time, cold.rate, now);
            }
        });
    }

    /// Calls `update` for each listed upstream with what the manifest says of cold upstreams of its
    /// service.
    fn update_cold_limits(
        &self,
        update: impl Fn(&mut RateLimitTracker, &ListedUpstream, ColdStart),
    ) {
        let (Some(listed), Some(routes)) =
            (self.catalog_cache.upstreams(), self.platform_view.routes())
        else {
            return;
        };
        let mut tracker = self.rate_limits.tracker();
        for upstream in listed.iter() {
            let service = routes.services.get(&upstream.service);
            let cold = service.map_or_else(ColdStart::default, |service| service.cold);
            update(&mut tracker, upstream, cold);
        }
    }

    /// Logs a changed limit, and broadcasts at once how many requests this host has sent to the
    /// upstream.
    fn on_limit_change(
        &self,
        upstream: &UpstreamId,
        limit: Option<RequestsPerSecond>,
        told_by: Option<&HostId>,
        age: Duration,
    ) {
        self.log.record(DecisionEvent::UpstreamLimit {
            upstream: upstream.to_string(),
            limit_per_s: limit.map(|limit| limit.0),
            told_by: told_by.map(ToString::to_string),
            age_ms: whole_millis(age),
        });
        self.broadcast_now.notify_one();
    }

    /// How many of the listed hosts are heard by this one, directly or through the collector of
    /// their failure domain.
    pub(crate) fn hosts_heard(&self, now: Instant) -> HostCoverage {
        if self.platform_view.sharing_hosts().is_none() {
            return HostCoverage::UNKNOWN;
        }
        let hosts = self.platform_view.hosts();
        HostCoverage {
            listed: hosts.len(),
            heard: self.heard_hosts(&hosts, now).count(),
        }
    }

    /// Those of the hosts that are heard by this one, directly or through the collector of their
    /// failure domain, and this host.
    pub(crate) fn heard_hosts<'a>(
        &'a self,
        hosts: &'a [ListedHost],
        now: Instant,
    ) -> impl Iterator<Item = &'a ListedHost> {
        let ledger = self.ledger();
        let has_collector = |listed: &&ListedHost| ledger.is_collector_live(&listed.host, now);
        let collected_domains = hosts
            .iter()
            .filter(has_collector)
            .map(|listed| &listed.domain);
        let collected_domains: IndexSet<&FailureDomainId> = collected_domains.collect();
        hosts.iter().filter(move |listed| {
            listed.host == self.conf.host
                || collected_domains.contains(&listed.domain)
                || ledger.is_host_live(&listed.host, now)
        })
    }

    /// The time until this host's sends are known to the other hosts.
    pub(crate) fn send_visibility_delay(&self) -> Duration {
        let route = self.update_route();
        route.local_age_max.max(route.remote_age_max) + BROADCAST_LATENCY
    }
}

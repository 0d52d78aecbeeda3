//! The limits that upstreams name, as this host knows them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide::HostsHeard;
use crate::decide::LimitReport;
use crate::decide::LoadSource;
use crate::decide::RateLimitBook;
use crate::exchange::ListedHost;
use crate::gateway::AdvertisedLimit;
use crate::gateway::Event;
use crate::gateway::Gateway;
use crate::gateway::ListedUpstream;
use crate::units::FailureDomainId;
use crate::units::HostId;
use crate::units::RequestsPerSecond;
use crate::units::ServiceId;
use crate::units::UpstreamId;
use crate::units::whole_millis;

/// Between two log lines on malformed limits of one upstream.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What a message of another host takes beside the interval at which hosts send.
const NEWS_WAY: Duration = Duration::from_millis(10);

/// The limits that upstreams name.
#[derive(Debug)]
pub(crate) struct RateLimits {
    book: Mutex<RateLimitBook>,
    /// When a malformed limit was logged last.
    malformed_logged_at: Mutex<IndexMap<UpstreamId, Instant>>,
    /// Calls of each service that wait for a limit to allow one more.
    waiting: Mutex<IndexMap<ServiceId, u32>>,
}

impl RateLimits {
    /// No limits, on a host that starts now.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            book: Mutex::new(RateLimitBook::new(now)),
            malformed_logged_at: Mutex::default(),
            waiting: Mutex::default(),
        }
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, RateLimitBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that this host sends a request to these upstreams.
    pub(crate) fn on_sent<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
        now: Instant,
    ) {
        let mut book = self.book();
        for upstream in upstreams {
            book.on_sent(upstream, now);
        }
    }

    /// Whether one of these upstreams has a limit.
    pub(crate) fn is_any_limited(&self, upstreams: &[&ListedUpstream]) -> bool {
        let book = self.book();
        upstreams.iter().any(|u| book.limit(&u.id).is_some())
    }

    /// Calls of a service that wait on this host for a limit.
    pub(crate) fn waiting(&self, service: &ServiceId) -> u32 {
        self.lock_waiting().get(service).copied().unwrap_or(0)
    }

    pub(crate) fn begin_wait(&self, service: &ServiceId) {
        *self.lock_waiting().entry(service.clone()).or_default() += 1;
    }

    pub(crate) fn end_wait(&self, service: &ServiceId) {
        if let Some(waiting) = self.lock_waiting().get_mut(service) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    fn lock_waiting(&self) -> MutexGuard<'_, IndexMap<ServiceId, u32>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets upstreams that are off the list.
    pub(crate) fn keep(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.book().keep(&is_listed);
        self.malformed_logged()
            .retain(|upstream, _| is_listed(upstream));
    }

    /// Whether a malformed limit is to be logged now.
    fn logs_malformed(&self, upstream: &UpstreamId, now: Instant) -> bool {
        let mut logged = self.malformed_logged();
        let is_due = logged
            .get(upstream)
            .is_none_or(|at| now.saturating_duration_since(*at) >= MALFORMED_LOG_INTERVAL);
        if is_due {
            logged.insert(upstream.clone(), now);
        }
        is_due
    }

    fn malformed_logged(&self) -> MutexGuard<'_, IndexMap<UpstreamId, Instant>> {
        let logged = self.malformed_logged_at.lock();
        logged.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Takes in what an upstream's answer says of its limit. What can't be read changes nothing.
    pub(crate) fn on_limit_said(&self, upstream: &UpstreamId, said: &AdvertisedLimit) {
        let limit = match said {
            AdvertisedLimit::Absent => return,
            AdvertisedLimit::Unlimited => None,
            AdvertisedLimit::Limited(limit) => Some(*limit),
            AdvertisedLimit::Malformed(value) => {
                self.on_malformed_limit(upstream, value);
                return;
            }
        };
        let now = self.clock.now();
        let mut book = self.rate_limits.book();
        let is_change = book.on_answer(upstream, limit, now);
        drop(book);
        if is_change {
            self.note_limit(upstream, limit, None, Duration::ZERO);
        }
    }

    /// Takes in what another host, or a collector, tells of an upstream's limit.
    pub(crate) fn hear_limit(
        &self,
        source: &LoadSource,
        upstream: &UpstreamId,
        report: &LimitReport,
        now: Instant,
    ) {
        let mut book = self.rate_limits.book();
        let is_change = book.hear(source.clone(), upstream, report, now);
        drop(book);
        if is_change {
            self.note_limit(upstream, report.limit, Some(source.host()), report.age);
        }
    }

    /// Logs another limit than before, and tells the others at once what was sent there.
    fn note_limit(
        &self,
        upstream: &UpstreamId,
        limit: Option<RequestsPerSecond>,
        told_by: Option<&HostId>,
        age: Duration,
    ) {
        self.log.note(Event::UpstreamLimit {
            upstream: upstream.to_string(),
            limit_per_s: limit.map(|limit| limit.0),
            told_by: told_by.map(ToString::to_string),
            age_ms: whole_millis(age),
        });
        self.load_urgent.notify_one();
    }

    /// How many of the listed hosts this one hears, by their own word or by that of their domain's collector.
    pub(crate) fn hosts_heard(&self, now: Instant) -> HostsHeard {
        let hosts = self.platform_view.hosts();
        let ledger = self.ledger();
        let speaks = |listed: &&ListedHost| ledger.speaks_for_domain(&listed.host, now);
        let spoken_for = hosts.iter().filter(speaks).map(|listed| &listed.domain);
        let spoken_for: IndexSet<&FailureDomainId> = spoken_for.collect();
        let is_heard = |listed: &&ListedHost| {
            listed.host == self.conf.host
                || spoken_for.contains(&listed.domain)
                || ledger.is_heard(&listed.host, now)
        };
        HostsHeard {
            listed: hosts.len(),
            heard: hosts.iter().filter(is_heard).count(),
        }
    }

    /// How long it takes until hosts hear of each other's sends.
    pub(crate) fn sends_seen_within(&self) -> Duration {
        let route = self.news_route();
        route.near_age.max(route.far_age) + NEWS_WAY
    }

    fn on_malformed_limit(&self, upstream: &UpstreamId, value: &str) {
        let now = self.clock.now();
        self.meters.fault("malformed_limit");
        if self.rate_limits.logs_malformed(upstream, now) {
            self.log.note(Event::LimitMalformed {
                upstream: upstream.to_string(),
                value: value.to_owned(),
            });
        }
    }
}

//! Tracks the rate limits of upstreams for all hosts together, and the requests sent to those
//! upstreams. An upstream advertises a limit itself, or has the limit of cold upstreams for a time.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostCoverage;
use crate::decide::LIMIT_BURST_WINDOW;
use crate::decide::LIMIT_WINDOW;
use crate::decide::LoadSource;
use crate::decide::RateLimitView;
use crate::decide::RecentCount;
use crate::decide::RecentSends;
use crate::units::RequestsPerSecond;
use crate::units::UpstreamId;

/// How long the end of a limit is reported, and how long a host goes on reporting after its last
/// send; longer than the limit window, so that the last report contains no sends.
const END_REPORT_TIME: Duration = Duration::from_secs(5);

/// The report of one host, or of all hosts of a failure domain, about the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The advertised limit; none if it has ended, or if the hosts know none.
    pub limit: Option<RequestsPerSecond>,
    /// Time since the upstream stated the limit or its end; none if the hosts know no statement.
    pub age: Option<Duration>,
    /// The requests that the reporting hosts have sent to the upstream.
    pub sent: RecentSends,
}

/// What an upstream has stated about its limit.
#[derive(Clone, Copy, Debug)]
struct LimitStatement {
    /// The limit; none if it has ended.
    limit: Option<RequestsPerSecond>,
    stated_at: Instant,
    /// Whether this host received the limit from the upstream itself.
    is_first_hand: bool,
}

impl LimitStatement {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.stated_at)
    }

    /// Whether this host reports the statement to other hosts.
    fn is_reported(&self, now: Instant) -> bool {
        self.is_first_hand && (self.limit.is_some() || self.age(now) < END_REPORT_TIME)
    }
}

/// The time for which an upstream is cold.
#[derive(Clone, Copy, Debug)]
struct ColdPeriod {
    /// The remaining time on the list from which the end was last computed. A list that is applied
    /// again with the same value must not extend the period.
    listed: Duration,
    ends_at: Instant,
    /// The limit of cold upstreams of the service; none if they have none.
    limit: Option<RequestsPerSecond>,
}

/// The known limits of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct KnownLimit {
    /// The latest statement of the upstream; none if none is known.
    advertised: Option<LimitStatement>,
    /// None if the upstream is not cold.
    cold: Option<ColdPeriod>,
    /// Since when the limits have allowed another request; none if they allow no request now.
    open_since: Option<Instant>,
}

impl KnownLimit {
    fn advertised_limit(&self) -> Option<RequestsPerSecond> {
        self.advertised.and_then(|statement| statement.limit)
    }

    fn cold_limit(&self, now: Instant) -> Option<RequestsPerSecond> {
        let cold = self.cold.filter(|cold| cold.ends_at > now)?;
        cold.limit
    }

    /// The lowest limit in force at `now`.
    fn limit(&self, now: Instant) -> Option<RequestsPerSecond> {
        let limits = [self.advertised_limit(), self.cold_limit(now)];
        let limits = limits.into_iter().flatten();
        limits.min_by(|a, b| a.0.total_cmp(&b.0))
    }
}

/// The sends to one upstream that one source has reported.
#[derive(Clone, Copy, Debug)]
struct ReportedSends {
    sent: RecentSends,
    received_at: Instant,
}

impl ReportedSends {
    /// Whether the limit window may still contain some of the sends, measured from when the report
    /// was received, not from the sends.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < LIMIT_WINDOW
    }
}

/// The rate limits of upstreams, and the requests that all hosts have sent there.
#[derive(Debug)]
pub struct RateLimitTracker {
    started_at: Instant,
    hosts: HostCoverage,
    update_age_max: Duration,
    limits: IndexMap<UpstreamId, KnownLimit>,
    /// The sends of this host, including those to upstreams without a limit: when an upstream names
    /// a limit, earlier requests count towards it.
    own_sent: IndexMap<UpstreamId, RecentCount>,
    reported: IndexMap<UpstreamId, IndexMap<LoadSource, ReportedSends>>,
}

impl RateLimitTracker {
    /// Creates the tracker of a host that starts now and knows no other host.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            hosts: HostCoverage {
                listed: 1,
                heard: 1,
            },
            update_age_max: Duration::ZERO,
            limits: IndexMap::new(),
            own_sent: IndexMap::new(),
            reported: IndexMap::new(),
        }
    }

    /// Records that this host sends a request, or a part of a request, to an upstream.
    pub fn on_sent(&mut self, upstream: &UpstreamId, now: Instant) {
        match self.own_sent.get_mut(upstream) {
            Some(sent) => sent.add(now),
            None => {
                let mut sent = RecentCount::new(now);
                sent.add(now);
                self.own_sent.insert(upstream.clone(), sent);
            }
        }
        // Updates `open_since`.
        self.view(upstream, now);
    }

    /// Records the limit in an answer to this host. Returns whether the limit has changed.
    pub fn on_answer(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<RequestsPerSecond>,
        now: Instant,
    ) -> bool {
        self.record_limit(upstream, limit, now, true)
    }

    /// Records the report of another host or collector. Returns whether the limit has changed.
    pub fn on_report(
        &mut self,
        source: LoadSource,
        upstream: &UpstreamId,
        report: &LimitReport,
        now: Instant,
    ) -> bool {
        let reported = ReportedSends {
            sent: report.sent,
            received_at: now,
        };
        let sources = self.reported.entry(upstream.clone()).or_default();
        sources.retain(|_, reported| reported.is_recent(now));
        sources.insert(source, reported);
        let is_change = report.age.is_some_and(|age| {
            let stated_at = now.checked_sub(age).unwrap_or(now);
            self.record_limit(upstream, report.limit, stated_at, false)
        });
        // Updates `open_since` even while no request waits for this upstream.
        self.view(upstream, now);
        is_change
    }

    /// Records a limit unless a more recent statement of the upstream is known. Returns whether the
    /// limit has changed.
    fn record_limit(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<RequestsPerSecond>,
        stated_at: Instant,
        is_first_hand: bool,
    ) -> bool {
        let statement = LimitStatement {
            limit,
            stated_at,
            is_first_hand,
        };
        let known = self.limits.get(upstream);
        let before = known.and_then(|known| known.advertised);
        let is_superseded = before.is_some_and(|before| stated_at < before.stated_at);
        if is_superseded || (before.is_none() && limit.is_none()) {
            return false;
        }
        self.limits.entry(upstream.clone()).or_default().advertised = Some(statement);
        before.and_then(|before| before.limit) != limit
    }

    /// Records for how long the list says that an upstream remains cold, and the limit of cold
    /// upstreams of its service. A value that the list had before changes only the limit.
    pub fn set_cold(
        &mut self,
        upstream: &UpstreamId,
        listed: Duration,
        limit: Option<RequestsPerSecond>,
        now: Instant,
    ) {
        let known = self.limits.get_mut(upstream);
        let cold = known.and_then(|known| known.cold.as_mut());
        match cold {
            Some(cold) if cold.listed == listed => cold.limit = limit,
            None if listed.is_zero() => {}
            _ => {
                let cold = ColdPeriod {
                    listed,
                    ends_at: now + listed,
                    limit,
                };
                self.limits.entry(upstream.clone()).or_default().cold = Some(cold);
            }
        }
    }

    /// Assumes that an upstream is cold for this time from `now` on, until the list says otherwise.
    pub fn assume_cold(
        &mut self,
        upstream: &UpstreamId,
        time: Duration,
        limit: Option<RequestsPerSecond>,
        now: Instant,
    ) {
        let known = self.limits.entry(upstream.clone()).or_default();
        let listed = known.cold.map_or(Duration::ZERO, |cold| cold.listed);
        let ends_at = known.cold.map_or(now, |cold| cold.ends_at).max(now + time);
        known.cold = Some(ColdPeriod {
            listed,
            ends_at,
            limit,
        });
    }

    /// The limit of an upstream at `now`; none if it has none.
    pub fn limit(&self, upstream: &UpstreamId, now: Instant) -> Option<RequestsPerSecond> {
        self.limits.get(upstream).and_then(|known| known.limit(now))
    }

    /// Sets which hosts share the limits, and the maximum age of their reports.
    pub fn set_hosts(&mut self, hosts: HostCoverage, update_age_max: Duration) {
        self.hosts = hosts;
        self.update_age_max = update_age_max;
    }

    /// The state of an upstream that has a limit at `now`; none for other upstreams. Each call also
    /// records whether the limit allows another request at `now`, from which
    /// [`RateLimitView::open_for`] is computed.
    pub fn view(&mut self, upstream: &UpstreamId, now: Instant) -> Option<RateLimitView> {
        let known = self.limits.get(upstream)?;
        let limit = known.limit(now)?;
        let mut view = RateLimitView {
            limit,
            is_cold: known.cold_limit(now) == Some(limit),
            sent: self.recent_sends(upstream, now),
            own_unreported: self.own_sent_within(upstream, self.update_age_max, now),
            open_for: None,
            hosts: self.hosts,
            uptime: now.saturating_duration_since(self.started_at),
            update_age_max: self.update_age_max,
        };
        let known = self.limits.get_mut(upstream)?;
        known.open_since = if view.is_open() {
            known.open_since.or(Some(now))
        } else {
            None
        };
        let open_since = known.open_since;
        view.open_for = open_since.map(|since| now.saturating_duration_since(since));
        Some(view)
    }

    /// The reports that this host sends to other hosts: about limits that it received from the
    /// upstream itself, or under which it has sent requests recently, and about limits whose end
    /// the upstream has recently stated to this host.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, LimitReport)> {
        self.limits.iter().filter_map(move |(upstream, known)| {
            let statement = known.advertised;
            let has_sent = self.own_sent_within(upstream, END_REPORT_TIME, now) > 0;
            let is_reported = statement.is_some_and(|statement| statement.is_reported(now))
                || (known.limit(now).is_some() && has_sent);
            let report = LimitReport {
                limit: known.advertised_limit(),
                age: statement.map(|statement| statement.age(now)),
                sent: self.own_recent_sends(upstream, now),
            };
            is_reported.then_some((upstream, report))
        })
    }

    /// Forgets all upstreams for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.limits.retain(|id, _| is_listed(id));
        self.own_sent.retain(|id, _| is_listed(id));
        self.reported.retain(|id, _| is_listed(id));
    }

    fn recent_sends(&self, upstream: &UpstreamId, now: Instant) -> RecentSends {
        let reported = self
            .reported
            .get(upstream)
            .into_iter()
            .flat_map(|reported| reported.values());
        let own = self.own_recent_sends(upstream, now);
        reported
            .filter(|reported| reported.is_recent(now))
            .fold(own, |sum, reported| sum.combined_with(reported.sent))
    }

    fn own_recent_sends(&self, upstream: &UpstreamId, now: Instant) -> RecentSends {
        RecentSends {
            in_window: self.own_sent_within(upstream, LIMIT_WINDOW, now),
            in_burst_window: self.own_sent_within(upstream, LIMIT_BURST_WINDOW, now),
        }
    }

    fn own_sent_within(&self, upstream: &UpstreamId, time: Duration, now: Instant) -> u32 {
        let sent = self.own_sent.get(upstream);
        sent.map_or(0, |sent| sent.within(time, now))
    }
}

//! Tracks the rate limits that upstreams name for all hosts together, and the requests sent to
//! those upstreams.

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
    /// The limit; none if it has ended.
    pub limit: Option<RequestsPerSecond>,
    /// Time since the upstream stated the limit.
    pub age: Duration,
    /// The requests that the reporting hosts have sent to the upstream.
    pub sent: RecentSends,
}

/// The known limit of one upstream.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// The limit; none if it has ended.
    limit: Option<RequestsPerSecond>,
    stated_at: Instant,
    /// Whether this host received the limit from the upstream itself.
    is_first_hand: bool,
    /// Since when the limit has allowed another request; none if it allows no request now.
    open_since: Option<Instant>,
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
        let stated_at = now.checked_sub(report.age).unwrap_or(now);
        let is_change = self.record_limit(upstream, report.limit, stated_at, false);
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
        let Some(known) = self.limits.get_mut(upstream) else {
            if limit.is_some() {
                let known = KnownLimit {
                    limit,
                    stated_at,
                    is_first_hand,
                    open_since: None,
                };
                self.limits.insert(upstream.clone(), known);
            }
            return limit.is_some();
        };
        if stated_at < known.stated_at {
            return false;
        }
        let is_change = known.limit != limit;
        known.limit = limit;
        known.stated_at = stated_at;
        known.is_first_hand = is_first_hand;
        is_change
    }

    /// The limit of an upstream; none if the upstream has not named one or the limit has ended.
    pub fn limit(&self, upstream: &UpstreamId) -> Option<RequestsPerSecond> {
        self.limits.get(upstream).and_then(|known| known.limit)
    }

    /// Sets which hosts share the limits, and the maximum age of their reports.
    pub fn set_hosts(&mut self, hosts: HostCoverage, update_age_max: Duration) {
        self.hosts = hosts;
        self.update_age_max = update_age_max;
    }

    /// The state of an upstream that has named a limit; none for other upstreams. Each call also
    /// records whether the limit allows another request at `now`, from which
    /// [`RateLimitView::open_for`] is computed.
    pub fn view(&mut self, upstream: &UpstreamId, now: Instant) -> Option<RateLimitView> {
        let limit = self.limit(upstream)?;
        let mut view = RateLimitView {
            limit,
            sent: self.recent_sends(upstream, now),
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
            let age = now.saturating_duration_since(known.stated_at);
            let has_sent = self.own_sent_within(upstream, END_REPORT_TIME, now) > 0;
            let is_reported = match known.limit {
                Some(_) => known.is_first_hand || has_sent,
                None => known.is_first_hand && age < END_REPORT_TIME,
            };
            let report = LimitReport {
                limit: known.limit,
                age,
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

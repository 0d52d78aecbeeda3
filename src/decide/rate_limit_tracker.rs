//! Which upstreams take only so many requests a second from all hosts together, by their own word, and how
//! many they got.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostsHeard;
use crate::decide::LIMIT_BURST_WINDOW;
use crate::decide::LIMIT_WINDOW;
use crate::decide::LoadSource;
use crate::decide::RateLimitView;
use crate::decide::RecentCount;
use crate::decide::RecentSends;
use crate::units::RequestsPerSecond;
use crate::units::UpstreamId;

/// How long the end of a limit is told, and what was sent after the last of it has left the window.
const END_REPORT_TIME: Duration = Duration::from_secs(5);

/// What one host, or all hosts of a failure domain, tell of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The limit; none if it has ended.
    pub limit: Option<RequestsPerSecond>,
    /// The time since the upstream said so.
    pub age: Duration,
    /// What they have sent there.
    pub sent: RecentSends,
}

/// What is known of one upstream's limit.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// None if it has ended.
    limit: Option<RequestsPerSecond>,
    stated_at: Instant,
    /// Whether this host has it from the upstream itself.
    is_first_hand: bool,
    /// Since when the limit allows one more request; none if it doesn't.
    open_since: Option<Instant>,
}

/// What a source has told of its sends to one upstream.
#[derive(Clone, Copy, Debug)]
struct ReportedSends {
    sent: RecentSends,
    received_at: Instant,
}

impl ReportedSends {
    /// Whether any of it may still be in the window.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < LIMIT_WINDOW
    }
}

/// The limits of upstreams, and the requests that all hosts have sent there.
#[derive(Debug)]
pub struct RateLimitTracker {
    started_at: Instant,
    hosts: HostsHeard,
    update_age_max: Duration,
    known: IndexMap<UpstreamId, KnownLimit>,
    /// This host's sends, also to upstreams without a limit: when one names it, what it got before counts.
    own_sent: IndexMap<UpstreamId, RecentCount>,
    reported: IndexMap<UpstreamId, IndexMap<LoadSource, ReportedSends>>,
}

impl RateLimitTracker {
    /// The book of a host that starts now and knows of no other.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            hosts: HostsHeard {
                listed: 1,
                heard: 1,
            },
            update_age_max: Duration::ZERO,
            known: IndexMap::new(),
            own_sent: IndexMap::new(),
            reported: IndexMap::new(),
        }
    }

    /// Takes in that this host sends a request, or a part of one, to an upstream.
    pub fn on_sent(&mut self, upstream: &UpstreamId, now: Instant) {
        match self.own_sent.get_mut(upstream) {
            Some(sent) => sent.add(now),
            None => {
                let mut sent = RecentCount::new(now);
                sent.add(now);
                self.own_sent.insert(upstream.clone(), sent);
            }
        }
        self.view(upstream, now);
    }

    /// Takes in what an answer to this host says. Returns whether that is another limit than before.
    pub fn on_answer(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<RequestsPerSecond>,
        now: Instant,
    ) -> bool {
        self.record_limit(upstream, limit, now, true)
    }

    /// Takes in what another host tells. Returns whether that is another limit than before.
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
        // Notes since when the limit allows one more request, also while nothing wants to go there.
        self.view(upstream, now);
        is_change
    }

    /// Keeps what the upstream has said last.
    fn record_limit(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<RequestsPerSecond>,
        stated_at: Instant,
        is_first_hand: bool,
    ) -> bool {
        let Some(known) = self.known.get_mut(upstream) else {
            if limit.is_some() {
                let known = KnownLimit {
                    limit,
                    stated_at,
                    is_first_hand,
                    open_since: None,
                };
                self.known.insert(upstream.clone(), known);
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

    /// The limit of an upstream; none if it takes as many requests as come.
    pub fn limit(&self, upstream: &UpstreamId) -> Option<RequestsPerSecond> {
        self.known.get(upstream).and_then(|known| known.limit)
    }

    /// Takes in which hosts are heard, and how old news of their sends may be.
    pub fn set_hosts(&mut self, hosts: HostsHeard, update_age_max: Duration) {
        self.hosts = hosts;
        self.update_age_max = update_age_max;
    }

    /// What is known of an upstream that has named a limit; none of the others.
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
        let known = self.known.get_mut(upstream)?;
        known.open_since = if view.is_open() {
            known.open_since.or(Some(now))
        } else {
            None
        };
        let open_since = known.open_since;
        view.open_for = open_since.map(|since| now.saturating_duration_since(since));
        Some(view)
    }

    /// What this host has to tell the others.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, LimitReport)> {
        self.known.iter().filter_map(move |(upstream, known)| {
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

    /// Forgets upstreams that are off the list.
    pub fn keep(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.known.retain(|id, _| is_listed(id));
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

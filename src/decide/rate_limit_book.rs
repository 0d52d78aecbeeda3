//! Which upstreams take only so many requests a second from all hosts together, by their own word, and how
//! many they got.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::HostCoverage;
use crate::decide::LIMIT_BURST_WINDOW;
use crate::decide::LIMIT_WINDOW;
use crate::decide::LoadSource;
use crate::decide::RateLimitView;
use crate::decide::RecentCount;
use crate::decide::SentLately;
use crate::units::RequestsPerSecond;
use crate::units::UpstreamId;

/// How long the end of a limit is told, and what was sent after the last of it has left the window.
const ENDED_TOLD_FOR: Duration = Duration::from_secs(5);

/// What one host, or all hosts of a failure domain, tell of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The limit; none if it has ended.
    pub limit: Option<RequestsPerSecond>,
    /// The time since the upstream said so.
    pub age: Duration,
    /// What they have sent there.
    pub sent: SentLately,
}

/// What is known of one upstream's limit.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// None if it has ended.
    limit: Option<RequestsPerSecond>,
    said_at: Instant,
    /// Whether this host has it from the upstream itself.
    is_own: bool,
    /// Since when the limit allows one more request; none if it doesn't.
    open_since: Option<Instant>,
}

/// What a source has told of its sends to one upstream.
#[derive(Clone, Copy, Debug)]
struct Told {
    sent: SentLately,
    at: Instant,
}

impl Told {
    /// Whether any of it may still be in the window.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < LIMIT_WINDOW
    }
}

/// The limits of upstreams, and the requests that all hosts have sent there.
#[derive(Debug)]
pub struct RateLimitBook {
    started_at: Instant,
    hosts: HostCoverage,
    news_age: Duration,
    known: IndexMap<UpstreamId, Known>,
    /// This host's sends, also to upstreams without a limit: when one names it, what it got before counts.
    own_sent: IndexMap<UpstreamId, RecentCount>,
    told: IndexMap<UpstreamId, IndexMap<LoadSource, Told>>,
}

impl RateLimitBook {
    /// The book of a host that starts now and knows of no other.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            hosts: HostCoverage {
                listed: 1,
                heard: 1,
            },
            news_age: Duration::ZERO,
            known: IndexMap::new(),
            own_sent: IndexMap::new(),
            told: IndexMap::new(),
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
        self.take_in(upstream, limit, now, true)
    }

    /// Takes in what another host tells. Returns whether that is another limit than before.
    pub fn hear(
        &mut self,
        source: LoadSource,
        upstream: &UpstreamId,
        report: &LimitReport,
        now: Instant,
    ) -> bool {
        let told = Told {
            sent: report.sent,
            at: now,
        };
        let sources = self.told.entry(upstream.clone()).or_default();
        sources.retain(|_, told| told.is_recent(now));
        sources.insert(source, told);
        let said_at = now.checked_sub(report.age).unwrap_or(now);
        let is_change = self.take_in(upstream, report.limit, said_at, false);
        // Notes since when the limit allows one more request, also while nothing wants to go there.
        self.view(upstream, now);
        is_change
    }

    /// Keeps what the upstream has said last.
    fn take_in(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<RequestsPerSecond>,
        said_at: Instant,
        is_own: bool,
    ) -> bool {
        let Some(known) = self.known.get_mut(upstream) else {
            if limit.is_some() {
                let known = Known {
                    limit,
                    said_at,
                    is_own,
                    open_since: None,
                };
                self.known.insert(upstream.clone(), known);
            }
            return limit.is_some();
        };
        if said_at < known.said_at {
            return false;
        }
        let is_change = known.limit != limit;
        known.limit = limit;
        known.said_at = said_at;
        known.is_own = is_own;
        is_change
    }

    /// The limit of an upstream; none if it takes as many requests as come.
    pub fn limit(&self, upstream: &UpstreamId) -> Option<RequestsPerSecond> {
        self.known.get(upstream).and_then(|known| known.limit)
    }

    /// Takes in which hosts are heard, and how old news of their sends may be.
    pub fn set_fleet(&mut self, hosts: HostCoverage, news_age: Duration) {
        self.hosts = hosts;
        self.news_age = news_age;
    }

    /// What is known of an upstream that has named a limit; none of the others.
    pub fn view(&mut self, upstream: &UpstreamId, now: Instant) -> Option<RateLimitView> {
        let limit = self.limit(upstream)?;
        let mut view = RateLimitView {
            limit,
            sent: self.sent_lately(upstream, now),
            open_for: None,
            hosts: self.hosts,
            runs_for: now.saturating_duration_since(self.started_at),
            news_age: self.news_age,
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
            let age = now.saturating_duration_since(known.said_at);
            let has_sent = self.own_sent_within(upstream, ENDED_TOLD_FOR, now) > 0;
            let is_told = match known.limit {
                Some(_) => known.is_own || has_sent,
                None => known.is_own && age < ENDED_TOLD_FOR,
            };
            let report = LimitReport {
                limit: known.limit,
                age,
                sent: self.own_sent_lately(upstream, now),
            };
            is_told.then_some((upstream, report))
        })
    }

    /// Forgets upstreams that are off the list.
    pub fn keep(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.known.retain(|id, _| is_listed(id));
        self.own_sent.retain(|id, _| is_listed(id));
        self.told.retain(|id, _| is_listed(id));
    }

    fn sent_lately(&self, upstream: &UpstreamId, now: Instant) -> SentLately {
        let told = self.told.get(upstream).into_iter().flat_map(|t| t.values());
        let own = self.own_sent_lately(upstream, now);
        told.filter(|told| told.is_recent(now))
            .fold(own, |sum, told| sum.plus(told.sent))
    }

    fn own_sent_lately(&self, upstream: &UpstreamId, now: Instant) -> SentLately {
        SentLately {
            in_window: self.own_sent_within(upstream, LIMIT_WINDOW, now),
            in_burst_window: self.own_sent_within(upstream, LIMIT_BURST_WINDOW, now),
        }
    }

    fn own_sent_within(&self, upstream: &UpstreamId, time: Duration, now: Instant) -> u32 {
        let sent = self.own_sent.get(upstream);
        sent.map_or(0, |sent| sent.within(time, now))
    }
}
